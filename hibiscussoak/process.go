package hibiscussoak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// A process of the system as a child of the soak. It is started again under the same settings, like on the users' VMs, and
// signals go only to the id of the child that runs.

// process is safe for concurrent use.
type process struct {
	name    string
	binary  string
	args    []string
	logPath string
	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	// asked says that the soak ended the child that runs, or is about to; an end of its own is a fault.
	exitExpected bool
	paused       bool
	incarnation  int
	addViolation func(format string, args ...any)
}

func newProcess(dir, name, binary, role, settings string, fault func(format string, args ...any)) *process {
	return &process{
		name: name, binary: binary, args: []string{role, "--platform", "--settings", settings}, logPath: filepath.Join(dir, name+".log"),
		addViolation: fault,
	}
}

// start starts the process; one that runs stays.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.binary, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.CombineErrors(err, out.Close())
	}
	p.cmd, p.exitExpected, p.paused, p.exited = cmd, false, false, make(chan struct{})
	p.incarnation++
	go p.wait(cmd, out, p.exited)
	return nil
}

// wait notes the end of a child.
func (p *process) wait(cmd *exec.Cmd, out *os.File, ended chan struct{}) {
	defer close(ended)
	err := errors.CombineErrors(cmd.Wait(), out.Close())
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.exitExpected {
		p.addViolation("process %s ended by itself: %v", p.name, err)
	}
	p.cmd = nil
}

// signal sends a signal to the child that runs, and says whether there is one.
func (p *process) signal(s syscall.Signal, ends bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	p.exitExpected = p.exitExpected || ends
	switch s {
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	default:
	}
	if err := p.cmd.Process.Signal(s); err != nil {
		// It has just ended, which wait notes.
		return false
	}
	return true
}

// state returns how many times the process was started, and whether it runs and is not paused.
func (p *process) state() (life int, running bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation, p.cmd != nil && !p.exitExpected && !p.paused
}

// stop asks the process to end, kills it after grace, and returns how long it took and whether it had to be killed.
func (p *process) stop(grace time.Duration) (took time.Duration, killed bool) {
	p.mu.Lock()
	ended := p.exited
	p.mu.Unlock()
	began := time.Now()
	if !p.signal(syscall.SIGTERM, true) {
		return 0, false
	}
	// A paused process gets the signal when it goes on.
	p.signal(syscall.SIGCONT, true)
	select {
	case <-ended:
	case <-time.After(grace):
		p.kill()
		return grace, true
	}
	return time.Since(began), false
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	ended := p.exited
	p.mu.Unlock()
	if p.signal(syscall.SIGKILL, true) {
		<-ended
	}
}

// writeSettings writes a settings file and returns its path.
func writeSettings(dir, name, format string, args ...any) (string, error) {
	path := filepath.Join(dir, name+".yaml")
	return path, os.WriteFile(path, fmt.Appendf(nil, "failure_domain: a\nshared_key: a shared key for the soak only\n"+format, args...), 0o600)
}
