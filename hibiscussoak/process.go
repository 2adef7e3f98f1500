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
	name   string
	binary string
	args   []string
	log    string
	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	// asked says that the soak ended the child that runs, or is about to; an end of its own is a fault.
	asked  bool
	paused bool
	life   int
	fault  func(format string, args ...any)
}

func newProcess(dir, name, binary, role, settings string, fault func(format string, args ...any)) *process {
	return &process{
		name: name, binary: binary, args: []string{role, "--platform", "--settings", settings}, log: filepath.Join(dir, name+".log"),
		fault: fault,
	}
}

// start starts the process; one that runs stays.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.binary, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.CombineErrors(err, out.Close())
	}
	p.cmd, p.asked, p.paused, p.ended = cmd, false, false, make(chan struct{})
	p.life++
	go p.wait(cmd, out, p.ended)
	return nil
}

// wait notes the end of a child.
func (p *process) wait(cmd *exec.Cmd, out *os.File, ended chan struct{}) {
	defer close(ended)
	err := errors.CombineErrors(cmd.Wait(), out.Close())
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.asked {
		p.fault("process %s ended by itself: %v", p.name, err)
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
	p.asked = p.asked || ends
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

// lifeNumber returns how many times the process was started, and whether it runs and is not paused.
func (p *process) lifeNumber() (life int, running bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life, p.cmd != nil && !p.asked && !p.paused
}

// stop asks the process to end, kills it after grace, and returns how long it took and whether it had to be killed.
func (p *process) stop(grace time.Duration) (took time.Duration, killed bool) {
	p.mu.Lock()
	ended := p.ended
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
	ended := p.ended
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
