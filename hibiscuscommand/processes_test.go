package hibiscuscommand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// The real processes: one binary, started once for each process of a small deployment on loopback.

const (
	buildTimeout = 2 * time.Minute
	stepTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	testWorkers  = 3
	testToken    = "a token for tests only"
)

// processes is a deployment of real processes; the test is their parent and ends each of them by its id.
type processes struct {
	t        *testing.T
	dir      string
	binary   string
	commands []*exec.Cmd
	logs     []*bytes.Buffer
}

func startProcesses(t *testing.T) *processes {
	// The linker leaves out what the test binary does not call, and go test keeps the result of an equal binary. Without this
	// call a change of the entry would not run the test again.
	if code := RunContext(context.Background(), []string{"--help"}, io.Discard, io.Discard); code != exitOK {
		t.Fatalf("--help: exit code %d", code)
	}
	dir := t.TempDir()
	p := &processes{t: t, dir: dir, binary: filepath.Join(dir, "hibiscusrouter")}
	ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
	defer cancel()
	out, err := exec.CommandContext(ctx, "go", "build", "-o", p.binary, "hibiscusrouter/cmd/hibiscusrouter").CombinedOutput()
	p.must(err, string(out))
	t.Cleanup(p.kill)
	return p
}

func (p *processes) must(err error, detail string) {
	p.t.Helper()
	if err != nil {
		p.t.Fatalf("%v\n%s", err, detail)
	}
}

func (p *processes) start(args ...string) {
	log := &bytes.Buffer{}
	command := exec.Command(p.binary, args...)
	command.Stdout, command.Stderr = log, log
	p.must(command.Start(), "")
	p.commands = append(p.commands, command)
	p.logs = append(p.logs, log)
}

// writeSettings writes a settings file and returns its path.
func (p *processes) writeSettings(name, format string, args ...any) string {
	path := filepath.Join(p.dir, name)
	p.must(os.WriteFile(path, fmt.Appendf(nil, "failure_domain: a\nshared_key: a key for tests only\n"+format, args...), 0o600), "")
	return path
}

// stop asks every process to stop, in the order of their start, and returns their exit codes.
func (p *processes) stop() []int {
	codes := make([]int, len(p.commands))
	for i, command := range p.commands {
		p.must(command.Process.Signal(syscall.SIGTERM), "")
		late := time.AfterFunc(stepTimeout, func() { _ = command.Process.Kill() })
		_ = command.Wait()
		late.Stop()
		codes[i] = command.ProcessState.ExitCode()
	}
	return codes
}

func (p *processes) kill() {
	for i, command := range p.commands {
		if command.ProcessState == nil {
			_ = command.Process.Kill()
			_ = command.Wait()
		}
		if p.t.Failed() {
			p.t.Logf("%v\n%s", command.Args[1:], p.logs[i])
		}
	}
}

// await polls an URL until it answers with 200.
func (p *processes) await(url string) {
	p.t.Helper()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	late := time.After(stepTimeout)
	for {
		if status, _ := p.get(url); status == http.StatusOK {
			return
		}
		select {
		case <-ticker.C:
		case <-late:
			p.t.Fatalf("%s did not answer as hoped within %v", url, stepTimeout)
		}
	}
}

func (p *processes) get(url string) (status int, body []byte) {
	response, err := http.Get(url)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	body, _ = io.ReadAll(response.Body)
	return response.StatusCode, body
}

// apply runs the apply command as a process and returns its exit code.
func (p *processes) apply(entry, file string) int {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, p.binary, "apply", "--entry", entry, file)
	command.Env = append(os.Environ(), "HIBISCUSROUTER_TOKEN="+testToken)
	out, _ := command.CombinedOutput()
	p.t.Logf("apply: %s", out)
	return command.ProcessState.ExitCode()
}

// submit runs the submit command as a process and returns its exit code and the answer.
func (p *processes) submit(args ...string) (int, answerView) {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	var out, errOut bytes.Buffer
	command := exec.CommandContext(ctx, p.binary, append([]string{"submit", "--output", "json"}, args...)...)
	command.Stdout, command.Stderr = &out, &errOut
	_ = command.Run()
	var view answerView
	if json.Unmarshal(out.Bytes(), &view) != nil {
		p.t.Fatalf("submit: %s %s", &out, &errOut)
	}
	return command.ProcessState.ExitCode(), view
}

// countStarts adds up what the endpoints tell.
func (p *processes) countStarts(endpoints []string) (tasks, countStarts, repeated int) {
	for _, address := range endpoints {
		var body struct{ Tasks, Starts, Repeated int }
		_, raw := p.get("http://" + address + "/starts")
		p.must(json.Unmarshal(raw, &body), string(raw))
		tasks, countStarts, repeated = tasks+body.Tasks, countStarts+body.Starts, repeated+body.Repeated
	}
	return tasks, countStarts, repeated
}

// TestRealProcesses guards against processes that work together in one address space only: wrong flags or settings, a job
// that is lost or run twice between real sockets, an applied configuration that does not reach every entry, a resubmission that starts tasks again, a stop that hangs or fails.
func TestRealProcesses(t *testing.T) {
	p := startProcesses(t)
	at, err := freeAddresses(5 + 2*testWorkers)
	p.must(err, "")
	callers, sessions, endpoints := at[1:3], at[3:5], at[5:5+testWorkers]
	p.start("platform", "--listen", at[0])
	for i := range callers {
		p.start("entry", "--settings", p.writeSettings(fmt.Sprintf("entry_%d.yaml", i),
			"caller_address: %s\nsession_address: %s\nplatform_address: %s\nseed_entries: [%s]\noperator_token: %s\ndrain_ms: 100\n",
			callers[i], sessions[i], at[0], sessions[1-i], testToken))
	}
	for i, endpoint := range endpoints {
		agent := at[5+testWorkers+i]
		p.start("agent", "--settings", p.writeSettings(fmt.Sprintf("agent_%d.yaml", i),
			"endpoint_address: %s\nplatform_address: %s\nseed_entries: [%s, %s]\n", agent, at[0], sessions[0], sessions[1]))
		p.start("endpoint", "--service", "sighting", "--listen", endpoint, "--agent", agent, "--slots", "16")
	}
	p.await("http://" + at[0] + "/v1/counters")
	for _, address := range callers {
		p.await("http://" + address + "/healthz")
	}
	status, _ := p.get("http://" + callers[1] + "/readyz")
	applied := p.apply(callers[0], "../examples/nokkhao.yaml")
	for _, address := range callers {
		p.await("http://" + address + "/readyz")
	}
	job, err := json.Marshal(exampleJob("nokkhao", 1800, 5))
	p.must(err, "")
	file := filepath.Join(p.dir, "job.json")
	p.must(os.WriteFile(file, job, 0o600), "")

	convey.Convey("A job of 1,800 tasks is answered whole once a configuration was applied", t, func() {
		convey.So(status, convey.ShouldEqual, http.StatusServiceUnavailable)
		convey.So(applied, convey.ShouldEqual, exitOK)
		code, first := p.submit("--entry", callers[0], "--retry-ms", "20000", file)
		convey.So(first.State, convey.ShouldEqual, "complete")
		convey.So(code, convey.ShouldEqual, exitOK)
		convey.So(first.Tasks, convey.ShouldHaveLength, 1800)
		tasks, starts, repeated := p.countStarts(endpoints)
		convey.So([]int{tasks, starts, repeated}, convey.ShouldResemble, []int{1800, 1800, 0})

		convey.Convey("and the other entry gives the same answer without a start", func() {
			code, second := p.submit("--entry", callers[1], "--key", first.Key, file)
			convey.So(code, convey.ShouldEqual, exitOK)
			convey.So(second, convey.ShouldResemble, first)
			_, starts, _ := p.countStarts(endpoints)
			convey.So(starts, convey.ShouldEqual, 1800)

			convey.Convey("and every process stops with exit code 0", func() {
				convey.So(p.stop(), convey.ShouldResemble, make([]int, len(p.commands)))
			})
		})
	})
}
