package hibiscusprocess

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscusstandin"
	"hibiscusrouter/hibiscusstate"
	"hibiscusrouter/hibiscustransport"
)

// pausedEntry is an entry in a process of its own on loopback, with an agent and an endpoint in the test's process.
type pausedEntry struct {
	t              *testing.T
	cmd            *exec.Cmd
	callerAddress  string
	sessionAddress string
	endpoint       *hibiscusstandin.Endpoint
	// sessionLost and sessionUp receive a value when the agent loses its session to the entry and when it has connected again.
	sessionLost chan struct{}
	sessionUp   chan struct{}
	started     chan struct{}
	goroutines  sync.WaitGroup
}

func (p *pausedEntry) must(err error) {
	p.t.Helper()
	if err != nil {
		p.t.Fatal(err)
	}
}

// Write receives the agent's log lines.
func (p *pausedEntry) Write(b []byte) (int, error) {
	switch line := string(b); {
	case strings.Contains(line, "session: peer lost"):
		p.sessionLost <- struct{}{}
	case strings.Contains(line, "session: peer connected"):
		p.sessionUp <- struct{}{}
	}
	return len(b), nil
}

// freeAddress returns a loopback address that was free when it was checked.
func (p *pausedEntry) freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	p.must(err)
	defer l.Close()
	return l.Addr().String()
}

func startPausedEntry(t *testing.T) *pausedEntry {
	// yamux keeps timers in a sync.Pool. A timer of a bubble must not be used here, and a timer of this test not in a later
	// bubble.
	runtime.GC()
	runtime.GC()
	p := &pausedEntry{t: t, sessionLost: make(chan struct{}, 100), sessionUp: make(chan struct{}, 100), started: make(chan struct{}, 100)}
	p.callerAddress, p.sessionAddress = p.freeAddress(), p.freeAddress()
	binary, settings := filepath.Join(t.TempDir(), "hibiscusrouter"), filepath.Join(t.TempDir(), "entry.yaml")
	build := exec.Command("go", "build", "-o", binary, "hibiscusrouter/cmd/hibiscusrouter")
	build.Stderr = os.Stderr
	p.must(build.Run())
	p.must(os.WriteFile(settings, fmt.Appendf(nil, "caller_address: %s\nsession_address: %s\nfailure_domain: a\nshared_key: %s\n",
		p.callerAddress, p.sessionAddress, testSecret), 0o600))
	p.cmd = exec.Command(binary, "entry", "--settings", settings)
	log, err := p.cmd.StdoutPipe()
	p.must(err)
	p.must(p.cmd.Start())
	t.Cleanup(func() {
		p.goroutines.Wait()
		p.must(p.cmd.Process.Kill())
		if err := p.cmd.Wait(); err == nil {
			t.Error("the entry exited before it was killed")
		}
	})
	lines := bufio.NewScanner(log)
	for lines.Scan() && !strings.Contains(lines.Text(), "serving callers") {
	}
	go func() {
		for lines.Scan() {
		}
	}()
	p.configure()
	p.startWorker()
	return p
}

// configure sends the entry its configuration, as another entry would.
func (p *pausedEntry) configure() {
	document, err := hibiscusprotocol.ParseConfiguration("test", []byte(testConfiguration))
	p.must(err)
	done := make(chan struct{})
	connector := hibiscustransport.NewConnector(hibiscustransport.NewTCPNetwork(), []byte(testSecret), hibiscustransport.NewSessionHandlers(
		func() hibiscuscoordination.Hello {
			return hibiscuscoordination.NewHello(hibiscuscoordination.RoleEntry, 77, "127.0.0.1:1", "a", 1, hibiscuscoordination.Capacity{})
		},
		func(peer *hibiscuscoordination.Peer) error {
			peer.Send(hibiscuscoordination.NewConfigurationMessage(hibiscusstate.NewConfiguration(1, testConfiguration, document)))
			close(done)
			return nil
		},
		func(*hibiscuscoordination.Peer, hibiscuscoordination.Message) error { return nil },
		func(*hibiscuscoordination.Peer) error { return nil },
	), slog.New(slog.NewTextHandler(io.Discard, nil)))
	p.goroutines.Go(func() { connector.Reconcile(p.t.Context(), func() []string { return []string{p.sessionAddress} }) })
	<-done
}

func (p *pausedEntry) startWorker() {
	agentAddress, endpointAddress := p.freeAddress(), p.freeAddress()
	settings, err := hibiscusprotocol.ParseAgentSettings("agent", fmt.Appendf(nil,
		"endpoint_address: %s\nfailure_domain: a\nshared_key: %s\nseed_entries: [%s]\n", agentAddress, testSecret, p.sessionAddress))
	p.must(err)
	agent := NewAgent(settings, 9, hibiscustransport.NewTCPNetwork(), slog.New(slog.NewTextHandler(p, nil)))
	l, err := net.Listen("tcp", endpointAddress)
	p.must(err)
	p.endpoint = hibiscusstandin.NewEndpoint("sighting", endpointAddress, agentAddress, 2, 50*time.Millisecond).
		WithObserver(func(_, _, what string) {
			if what == "started" {
				p.started <- struct{}{}
			}
		})
	p.goroutines.Go(func() { ignoreError(agent.Run(p.t.Context())) })
	p.goroutines.Go(func() { ignoreError(p.endpoint.Serve(p.t.Context(), l)) })
	<-p.sessionUp
}

// ignoreError ignores the error of a process that ends with the test.
func ignoreError(error) {}

func (p *pausedEntry) signal(s os.Signal) { p.must(p.cmd.Process.Signal(s)) }

// post sends a request to the entry and returns the body of the answer, or the text of the error.
func (p *pausedEntry) post(path, key, body string) string {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.callerAddress+path, strings.NewReader(body))
	p.must(err)
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	p.must(err)
	return string(b)
}

func (p *pausedEntry) key() string {
	return strings.Split(p.post("/v1/keys", "", `{"count":1}`), `"`)[3]
}

// TestPausedProcess guards against tasks that are started twice or lost when an entry process is paused with SIGSTOP until its
// agent has closed the session: once before it reads a submission, once while its tasks run. The buffers of real sockets keep the
// bytes that it sent and those that it has not read.
func TestPausedProcess(t *testing.T) {
	p := startPausedEntry(t)
	answers := make(chan string, 1)
	// The endpoint's first announcement may arrive after the agent's session, so retry until there is a worker.
	for !strings.Contains(p.post("/v1/jobs", p.key(), listSyncJob(1, 1)), "complete") {
	}
	<-p.started
	key := p.key()
	p.signal(syscall.SIGSTOP)
	go func() { answers <- p.post("/v1/jobs", key, listSyncJob(4, 50)) }()
	<-p.sessionLost
	p.signal(syscall.SIGCONT)
	before := <-answers
	for range 4 {
		<-p.started
	}
	key = p.key()
	go func() { answers <- p.post("/v1/jobs", key, listSyncJob(2, 200)) }()
	<-p.started
	p.signal(syscall.SIGSTOP)
	<-p.sessionLost
	p.signal(syscall.SIGCONT)
	during := <-answers
	convey.Convey("both jobs are complete and no task was started twice", t, func() {
		convey.So(before, convey.ShouldContainSubstring, `"state":"complete"`)
		convey.So(during, convey.ShouldContainSubstring, `"state":"complete"`)
		convey.So(len(p.endpoint.Starts()), convey.ShouldEqual, 7)
		for _, n := range p.endpoint.Starts() {
			convey.So(n, convey.ShouldEqual, 1)
		}
	})
}
