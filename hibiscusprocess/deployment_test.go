package hibiscusprocess

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"path"
	"regexp"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscusstandin"
	"hibiscusrouter/hibiscusstate"
	"hibiscusrouter/hibiscustransport"
)

// A deployment is a set of processes in one synctest bubble, connected by a network in memory, with a transcript of the requests
// and answers of callers and endpoints. Tests compare the transcript with a golden file.

const (
	testSecret        = "a shared key for tests only"
	testConfiguration = `services:
  - name: sighting
    kinds:
      - {name: plausibility_check, idempotent: true, urgent: true, run_ms: 80, deadline_ms: 2000}
      - {name: photo_match, idempotent: true, urgent: true, run_ms: 700, deadline_ms: 5000}
      - {name: list_sync, idempotent: false, urgent: true, run_ms: 300, deadline_ms: 5000}
teams:
  - {name: nokkhao, share: 60, max_queued: 20000}
`
	networkDelay = 500 * time.Microsecond
)

type deployment struct {
	t               *testing.T
	network         *hibiscusstandin.MemoryNetwork
	startTime       time.Time
	mu              sync.Mutex
	transcript      []string
	keys            map[string]string
	nodes           map[string]*node
	ctx             context.Context
	stop            context.CancelFunc
	goroutines      sync.WaitGroup
	lastIncarnation hibiscusstate.Incarnation
	resolution      time.Duration
	seeds           []string
	observer        *observer
	entries         []string
	unanswered      atomic.Int32
	// noteSessions adds the opening and the loss of sessions to the transcript, quiet omits all lines except those about processes.
	noteSessions atomic.Bool
	quiet        atomic.Bool
}

// node is one process that a test can stop.
type node struct {
	stop     context.CancelFunc
	done     chan struct{}
	host     *hibiscusstandin.Host
	entry    *Entry
	agent    *Agent
	endpoint *hibiscusstandin.Endpoint
}

func newDeployment(t *testing.T) *deployment {
	// yamux keeps timers in a sync.Pool, and a timer of an earlier bubble must not be used in this one. Two collections
	// empty the pool.
	runtime.GC()
	runtime.GC()
	ctx, stop := context.WithCancel(context.Background())
	return &deployment{
		t: t, network: hibiscusstandin.NewMemoryNetwork(networkDelay), startTime: time.Now(), keys: map[string]string{},
		nodes: map[string]*node{}, ctx: ctx, stop: stop, observer: newObserver(), resolution: 100 * time.Millisecond,
	}
}

// memoryNetwork returns the network for a process without injected faults.
func (d *deployment) memoryNetwork() hibiscustransport.Network {
	return hibiscustransport.NewNetwork(d.network.Listen, d.network.Dial)
}

func (d *deployment) logger(name string) *slog.Logger {
	return slog.New(slog.NewTextHandler(sessionLog{d: d, name: name}, nil))
}

// sessionLog copies a process's log lines about sessions into the transcript.
type sessionLog struct {
	d    *deployment
	name string
}

var sessionLine = regexp.MustCompile(`msg="session: (peer [a-z]+)" role=(\w+) address=(\S+)`)

func (l sessionLog) Write(b []byte) (int, error) {
	if m := sessionLine.FindStringSubmatch(string(b)); m != nil && l.d.noteSessions.Load() {
		l.d.note("process %s: %s: %s %s", l.name, m[1], m[2], m[3])
	}
	return len(b), nil
}

func (d *deployment) incarnation() hibiscusstate.Incarnation {
	d.lastIncarnation++
	return d.lastIncarnation
}

// startEntry starts an entry process with the test's configuration; name is like "10.0.1.1".
func (d *deployment) startEntry(name string) {
	d.seeds = append(d.seeds, name+":7200")
	settings, err := hibiscusprotocol.ParseEntrySettings(name, fmt.Appendf(nil,
		"caller_address: %s:7100\nsession_address: %s:7200\nfailure_domain: a\nshared_key: %s\nseed_entries: [%s]\n"+testTokens,
		name, name, testSecret, strings.Join(d.seeds, ", ")))
	d.must(err)
	document, err := hibiscusprotocol.ParseConfiguration("test", []byte(testConfiguration))
	d.must(err)
	host := d.network.Host()
	e := NewEntry(settings, d.incarnation(), hibiscustransport.NewNetwork(host.Listen, host.Dial), d.logger(name))
	n := d.run(name, host, e.Run)
	d.mu.Lock()
	n.entry = e
	d.entries = append(slices.DeleteFunc(d.entries, func(other string) bool { return other == name }), name)
	d.mu.Unlock()
	d.must(e.Coordination().Configure(hibiscusstate.NewConfiguration(1, testConfiguration, document)))
}

// startWorker starts an agent and its endpoint; name is like "10.0.2.1".
func (d *deployment) startWorker(name string, slots int) {
	settings, err := hibiscusprotocol.ParseAgentSettings(name, fmt.Appendf(nil,
		"endpoint_address: %s:7300\nfailure_domain: a\nshared_key: %s\nseed_entries: [%s]\n"+testViewer,
		name, testSecret, strings.Join(d.seeds, ", ")))
	d.must(err)
	host := d.network.Host()
	a := NewAgent(settings, d.incarnation(), hibiscustransport.NewNetwork(host.Listen, host.Dial), d.logger(name))
	d.run(name, host, a.Run).agent = a
	d.startEndpoint(name, slots)
}

// startEndpoint starts the endpoint of a worker.
func (d *deployment) startEndpoint(name string, slots int) {
	host := d.network.Host()
	l, err := host.Listen(name + ":7400")
	d.must(err)
	endpoint := hibiscusstandin.NewEndpoint("sighting", name+":7400", name+":7300", slots, 50*time.Millisecond).
		WithDial(host.Dial).
		WithObserver(func(id, kind, what string) {
			d.observer.endpointEvent(name, slots, id, what)
			d.note("endpoint %s: %s %s %s", name, what, kind, d.taskName(id))
		})
	n := d.run(name+"/endpoint", host, func(ctx context.Context) error { return endpoint.Serve(ctx, l) })
	n.endpoint = endpoint
}

func (d *deployment) run(name string, host *hibiscusstandin.Host, f func(ctx context.Context) error) *node {
	ctx, stop := context.WithCancel(d.ctx)
	n := &node{stop: stop, done: make(chan struct{}), host: host}
	d.mu.Lock()
	d.nodes[name] = n
	d.mu.Unlock()
	d.goroutines.Go(func() {
		defer close(n.done)
		if err := f(ctx); err != nil && ctx.Err() == nil {
			d.note("process %s: %v", name, err)
		}
	})
	return n
}

// kill ends processes without a graceful stop: connections are cut, nothing is flushed.
func (d *deployment) kill(names ...string) {
	for _, name := range names {
		d.note("%s is killed", name)
		d.nodes[name].host.Kill()
		d.nodes[name].stop()
	}
}

// cutEntries cuts the sessions between two entries.
func (d *deployment) cutEntries(a, b string) { d.network.Disconnect(d.nodes[a].host, d.nodes[b].host) }

// terminate stops a process gracefully, as SIGTERM does, and waits for its end.
func (d *deployment) terminate(name string) {
	d.note("%s is asked to stop", name)
	d.nodes[name].stop()
	<-d.nodes[name].done
	d.note("%s has stopped", name)
}

func (d *deployment) must(err error) {
	d.t.Helper()
	if err != nil {
		d.t.Fatal(err)
	}
}

// note adds a line to the transcript, with the time since the start.
func (d *deployment) note(format string, args ...any) {
	if d.quiet.Load() && !strings.HasPrefix(format, "process") {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	line := fmt.Sprintf(format, args...)
	for key, name := range d.keys {
		line = strings.ReplaceAll(line, key, name)
	}
	d.transcript = append(d.transcript, fmt.Sprintf("%7.1f ms  %s", float64(time.Since(d.startTime).Microseconds())/1000, line))
}

var taskIDPattern = regexp.MustCompile(`^([0-9a-f]+)-([0-9a-f]+)-(\d+)$`)

// taskName returns a task id with the incarnation's leading zeros removed.
func (d *deployment) taskName(id string) string {
	m := taskIDPattern.FindStringSubmatch(id)
	return fmt.Sprintf("%s.%s.%s", strings.TrimLeft(m[1], "0"), m[2], m[3])
}

func (d *deployment) newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       func(ctx context.Context, _, address string) (net.Conn, error) { return d.network.Dial(ctx, address) },
	}}
}

// key requests a submission key from an entry; the transcript shows its name instead.
func (d *deployment) key(entry, name string) string {
	response, err := d.newHTTPClient().Post("http://"+entry+":7100/v1/keys", "application/json", strings.NewReader(`{"count": 1}`))
	if err != nil {
		d.unanswered.Add(1)
		return ""
	}
	defer response.Body.Close()
	var keys struct {
		SubmissionKeys []string `json:"submission_keys"`
	}
	d.must(json.NewDecoder(response.Body).Decode(&keys))
	d.mu.Lock()
	d.keys[keys.SubmissionKeys[0]] = name
	d.mu.Unlock()
	return keys.SubmissionKeys[0]
}

// submit sends a body under a key and notes the answer without its next_key.
func (d *deployment) submit(caller, entry, key, body string) string {
	d.observer.addSubmission(key)
	d.note("%s -> entry %s: submit %s", caller, entry, key)
	request, err := http.NewRequest(http.MethodPost, "http://"+entry+":7100/v1/jobs", bytes.NewReader([]byte(body)))
	d.must(err)
	request.Header.Set("Idempotency-Key", key)
	return d.do(caller, request)
}

var volatilePattern = regexp.MustCompile(`"(next_key":"[^"]*"|retry_after_ms":\d+)`)

func (d *deployment) do(caller string, request *http.Request) string {
	startsAtRequest := d.observer.startCount(d.submittedKey(request))
	response, err := d.newHTTPClient().Do(request)
	if err != nil {
		d.unanswered.Add(1)
		d.note("%s <- no answer", caller)
		return ""
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		d.note("%s <- answer cut off", caller)
		return ""
	}
	answer := strings.TrimSpace(string(raw))
	d.observer.addAnswer(answer, d.submittedKey(request), startsAtRequest)
	d.note("%s <- %d %s", caller, response.StatusCode, volatilePattern.ReplaceAllString(answer, `"..."`))
	return answer
}

// submittedKey returns the submission key of a request.
func (d *deployment) submittedKey(request *http.Request) string {
	if key := request.Header.Get("Idempotency-Key"); key != "" {
		return key
	}
	return path.Base(request.URL.Path)
}

// fetch requests the answer of an earlier submission, and cancel cancels it.
func (d *deployment) fetch(caller, entry, key string) string {
	return d.jobRequest(http.MethodGet, caller, entry, key, "fetch")
}

func (d *deployment) cancel(caller, entry, key string) string {
	return d.jobRequest(http.MethodDelete, caller, entry, key, "cancel")
}

func (d *deployment) jobRequest(method, caller, entry, key, what string) string {
	d.note("%s -> entry %s: %s %s", caller, entry, what, key)
	request, err := http.NewRequest(method, "http://"+entry+":7100/v1/jobs/"+key, nil)
	d.must(err)
	return d.do(caller, request)
}

// nextKey returns the next_key of an answer.
func (d *deployment) nextKey(answer string) string {
	var body struct {
		NextKey string `json:"next_key"`
	}
	d.must(json.Unmarshal([]byte(answer), &body))
	return body.NextKey
}

// quietly runs f without notes about callers and endpoints.
func (d *deployment) quietly(f func() string) string {
	d.quiet.Store(true)
	defer d.quiet.Store(false)
	return f()
}

// background runs f in its own goroutine, for example another caller; wait waits for its end.
func (d *deployment) background(f func()) (wait func()) {
	done := make(chan struct{})
	d.goroutines.Go(func() {
		defer close(done)
		f()
	})
	return func() { <-done }
}

// close stops all processes and fails the test for each fault that the observer detected.
func (d *deployment) close() {
	d.noteSessions.Store(false)
	d.stop()
	d.goroutines.Wait()
	for _, fault := range d.observer.faults() {
		d.t.Error(fault)
	}
}

var (
	endpointLine = regexp.MustCompile(`^(endpoint) \S+: (.*)\.\d+$`)
	tasksPattern = regexp.MustCompile(`"tasks":\[.*\]`)
	outcomeField = regexp.MustCompile(`"outcome":"(\w+)"`)
)

// normalize removes from the transcript what differs between runs of a session with failures: which worker gets which task, and
// times below the resolution, which is a tenth of a second by default. Equal lines are replaced by one with a count, and the
// outcomes in an answer by counts. The observer has checked each task before.
func (d *deployment) normalize() {
	merged := []string{}
	counts := map[string]int{}
	for _, line := range d.transcript {
		at, text, _ := strings.Cut(strings.TrimSpace(line), " ms  ")
		ms, err := strconv.ParseFloat(at, 64)
		if err != nil {
			merged = append(merged, line)
			continue
		}
		text = endpointLine.ReplaceAllString(text, "${1}s: $2")
		text = tasksPattern.ReplaceAllStringFunc(text, func(tasks string) string {
			outcomes := map[string]int{}
			for _, m := range outcomeField.FindAllStringSubmatch(tasks, -1) {
				outcomes[m[1]]++
			}
			return strings.TrimSuffix(strings.TrimPrefix(fmt.Sprint(outcomes), "map["), "]")
		})
		unit := d.resolution.Seconds() * 1000
		line = fmt.Sprintf("%7.1f s  %s", math.Floor(ms/unit)*unit/1000, text)
		if counts[line]++; counts[line] == 1 {
			merged = append(merged, line)
		}
	}
	for i, line := range merged {
		if counts[line] > 1 {
			merged[i] = fmt.Sprintf("%s (%d times)", line, counts[line])
		}
	}
	d.transcript = merged
}

// startProcesses starts entries from 10.0.1.1 and workers with two slots from 10.0.2.1, and waits until they are connected.
func (d *deployment) startProcesses(entries, workers int) {
	for i := range entries {
		d.startEntry(fmt.Sprintf("10.0.1.%d", i+1))
		synctest.Wait() // otherwise the next process may dial before this one listens, and dials again 50 ms later
	}
	for i := range workers {
		d.startWorker(fmt.Sprintf("10.0.2.%d", i+1), 2)
	}
	time.Sleep(settleTime)
}

// runSession runs a session of two entries and two workers with two slots each, and compares its transcript with a golden file.
func runSession(t *testing.T, name string, session func(d *deployment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		d.startProcesses(2, 2)
		session(d)
		d.close()
		d.normalize()
		d.golden(name)
	})
}

// golden compares the transcript with a golden file. Lines with the same time are sorted, because their order differs between
// runs.
func (d *deployment) golden(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	slices.SortStableFunc(d.transcript, func(a, b string) int {
		if a[:10] == b[:10] {
			return strings.Compare(a, b)
		}
		return 0
	})
	goldie.New(d.t, goldie.WithFixtureDir("testdata")).Assert(d.t, name, []byte(strings.Join(d.transcript, "\n")+"\n"))
}
