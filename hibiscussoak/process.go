package hibiscussoak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// process is a process of the system, run as a child of the soak. It is restarted with the same settings, as on the users' VMs,
// and signals are sent only to the id of the running child. It is safe for concurrent use.
type process struct {
	name    string
	binary  string
	args    []string
	logPath string
	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	// exitExpected is set when the soak has ended the running child or is about to; any other exit is a violation.
	exitExpected bool
	paused       bool
	// incarnation counts the starts of the process.
	incarnation  int
	addViolation func(format string, args ...any)
}

func newProcess(dir, name, binary, role, settings string, addViolation func(format string, args ...any)) *process {
	return &process{
		name: name, binary: binary, args: []string{role, "--platform", "--settings", settings}, logPath: filepath.Join(dir, name+".log"),
		addViolation: addViolation,
	}
}

// start starts the process unless it is running.
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

// wait waits for the exit of a child and reports it as a violation if it was not expected.
func (p *process) wait(cmd *exec.Cmd, out *os.File, exited chan struct{}) {
	defer close(exited)
	err := errors.CombineErrors(cmd.Wait(), out.Close())
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.exitExpected {
		p.addViolation("process %s ended by itself: %v", p.name, err)
	}
	p.cmd = nil
}

// signal sends a signal to the running child and reports whether there is one; expectExit marks its exit as expected.
func (p *process) signal(s syscall.Signal, expectExit bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	p.exitExpected = p.exitExpected || expectExit
	switch s {
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	default:
	}
	if err := p.cmd.Process.Signal(s); err != nil {
		// It has just exited, which wait handles.
		return false
	}
	return true
}

// state returns the number of the process's incarnation, and whether it is running and not paused.
func (p *process) state() (incarnation int, running bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation, p.cmd != nil && !p.exitExpected && !p.paused
}

// owns reports whether an address is the local end of a TCP connection of the running child.
func (p *process) owns(address *net.TCPAddr) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	// After an error the child owns nothing: it has just exited.
	table, _ := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", p.cmd.Process.Pid))
	descriptors, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.cmd.Process.Pid))
	sockets := map[string]bool{}
	for _, path := range descriptors {
		if target, err := os.Readlink(path); err == nil {
			sockets[target] = true
		}
	}
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line)
		if len(f) > 9 && strings.HasSuffix(f[1], fmt.Sprintf(":%04X", address.Port)) && sockets["socket:["+f[9]+"]"] {
			return true
		}
	}
	return false
}

// stop sends SIGTERM, kills the process after grace, and returns how long it took and whether the process was killed.
func (p *process) stop(grace time.Duration) (took time.Duration, killed bool) {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	began := time.Now()
	if !p.signal(syscall.SIGTERM, true) {
		return 0, false
	}
	// A paused process handles the signal only once it is resumed.
	p.signal(syscall.SIGCONT, true)
	select {
	case <-exited:
	case <-time.After(grace):
		p.kill()
		return grace, true
	}
	return time.Since(began), false
}

// kill sends SIGKILL and waits for the process to exit.
func (p *process) kill() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if p.signal(syscall.SIGKILL, true) {
		<-exited
	}
}

// writeSettings writes a settings file and returns its path; it adds the settings that all processes have in common.
func writeSettings(dir, name, domain, format string, args ...any) (string, error) {
	path := filepath.Join(dir, name+".yaml")
	common := fmt.Sprintf("failure_domain: %s\nmemory_mb: %d\nshared_key: a shared key for the soak only\n", domain, processMemoryMB)
	return path, os.WriteFile(path, fmt.Appendf(nil, common+format, args...), 0o600)
}
