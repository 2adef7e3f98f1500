package hibiscusprocess

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscusstandin"
	"hibiscusrouter/hibiscusstate"
	"hibiscusrouter/hibiscustransport"
)

// A deployment is a whole set of processes in one synctest bubble, joined by a network in memory, with a transcript of
// what callers and endpoints see. Tests compare the transcript with a golden file.

const (
	testSecret = "a shared key for tests only"
	testText   = `services:
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
	t       *testing.T
	network *hibiscusstandin.MemoryNetwork
	began   time.Time
	mu      sync.Mutex
	lines   []string
	keys    map[string]string
	nodes   map[string]*node
	ctx     context.Context
	stop    context.CancelFunc
	duties  sync.WaitGroup
	next    hibiscusstate.Incarnation
	seeds   []string
}

// node is one process that a test can stop.
type node struct {
	stop     context.CancelFunc
	done     chan struct{}
	entry    *Entry
	endpoint *hibiscusstandin.Endpoint
}

func newDeployment(t *testing.T) *deployment {
	// yamux keeps timers in a sync.Pool, and a timer of an earlier bubble must not be used in this one. Two collections
	// empty the pool.
	runtime.GC()
	runtime.GC()
	ctx, stop := context.WithCancel(context.Background())
	return &deployment{
		t: t, network: hibiscusstandin.NewMemoryNetwork(networkDelay), began: time.Now(), keys: map[string]string{},
		nodes: map[string]*node{}, ctx: ctx, stop: stop,
	}
}

func (d *deployment) tcp() hibiscustransport.Network {
	return hibiscustransport.NewNetwork(d.network.Listen, d.network.Dial)
}

func (d *deployment) logger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func (d *deployment) incarnation() hibiscusstate.Incarnation {
	d.next++
	return d.next
}

// startEntry starts an entry process with the test's configuration; name is like "10.0.1.1".
func (d *deployment) startEntry(name string) {
	d.seeds = append(d.seeds, name+":7200")
	settings, err := hibiscusprotocol.ParseEntrySettings(name, fmt.Appendf(nil,
		"caller_address: %s:7100\nsession_address: %s:7200\nfailure_domain: a\nshared_key: %s\nseed_entries: [%s]\n"+testTokens,
		name, name, testSecret, strings.Join(d.seeds, ", ")))
	d.must(err)
	document, err := hibiscusprotocol.ParseText("test", []byte(testText))
	d.must(err)
	e := NewEntry(settings, d.incarnation(), d.tcp(), d.logger())
	n := d.run(name, e.Run)
	n.entry = e
	d.must(e.Duty().Configure(hibiscusstate.NewConfiguration(1, testText, document)))
}

// startWorker starts an agent and its endpoint; name is like "10.0.2.1".
func (d *deployment) startWorker(name string, slots int) {
	settings, err := hibiscusprotocol.ParseAgentSettings(name, fmt.Appendf(nil,
		"endpoint_address: %s:7300\nfailure_domain: a\nshared_key: %s\nseed_entries: [%s]\n",
		name, testSecret, strings.Join(d.seeds, ", ")))
	d.must(err)
	d.run(name, NewAgent(settings, d.incarnation(), d.tcp(), d.logger()).Run)
	l, err := d.network.Listen(name + ":7400")
	d.must(err)
	endpoint := hibiscusstandin.NewEndpoint("sighting", name+":7400", name+":7300", slots, 50*time.Millisecond).
		WithDial(d.network.Dial).
		WithObserver(func(id, kind, what string) { d.note("endpoint %s: %s %s %s", name, what, kind, d.taskName(id)) })
	n := d.run(name+"/endpoint", func(ctx context.Context) error { return endpoint.Serve(ctx, l) })
	n.endpoint = endpoint
}

func (d *deployment) run(name string, f func(ctx context.Context) error) *node {
	ctx, stop := context.WithCancel(d.ctx)
	n := &node{stop: stop, done: make(chan struct{})}
	d.nodes[name] = n
	d.duties.Go(func() {
		defer close(n.done)
		if err := f(ctx); err != nil && ctx.Err() == nil {
			d.note("process %s: %v", name, err)
		}
	})
	return n
}

func (d *deployment) must(err error) {
	d.t.Helper()
	if err != nil {
		d.t.Fatal(err)
	}
}

// note adds a line with the time since the start to the transcript.
func (d *deployment) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	line := fmt.Sprintf(format, args...)
	for key, name := range d.keys {
		line = strings.ReplaceAll(line, key, name)
	}
	d.lines = append(d.lines, fmt.Sprintf("%7.1f ms  %s", float64(time.Since(d.began).Microseconds())/1000, line))
}

var taskIDPattern = regexp.MustCompile(`^([0-9a-f]+)-([0-9a-f]+)-(\d+)$`)

// taskName shortens the incarnation in a task id.
func (d *deployment) taskName(id string) string {
	m := taskIDPattern.FindStringSubmatch(id)
	return fmt.Sprintf("%s.%s.%s", strings.TrimLeft(m[1], "0"), m[2], m[3])
}

func (d *deployment) client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       func(ctx context.Context, _, address string) (net.Conn, error) { return d.network.Dial(ctx, address) },
	}}
}

// key gets a submission key from an entry; it appears in the transcript under its name.
func (d *deployment) key(entry, name string) string {
	response, err := d.client().Post("http://"+entry+":7100/v1/keys", "application/json", strings.NewReader(`{"count": 1}`))
	d.must(err)
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

// submit sends a body under a key and notes the answer, without the fresh key in it.
func (d *deployment) submit(caller, entry, key, body string) string {
	d.note("%s -> entry %s: submit %s", caller, entry, key)
	request, err := http.NewRequest(http.MethodPost, "http://"+entry+":7100/v1/jobs", bytes.NewReader([]byte(body)))
	d.must(err)
	request.Header.Set("Idempotency-Key", key)
	return d.do(caller, request)
}

var volatilePattern = regexp.MustCompile(`"(next_key":"[^"]*"|retry_after_ms":\d+)`)

func (d *deployment) do(caller string, request *http.Request) string {
	response, err := d.client().Do(request)
	if err != nil {
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
	d.note("%s <- %d %s", caller, response.StatusCode, volatilePattern.ReplaceAllString(answer, `"..."`))
	return answer
}

// close stops all processes.
func (d *deployment) close() {
	d.stop()
	d.duties.Wait()
}

// golden compares the transcript with a golden file; lines of the same moment are sorted, because their order is open.
func (d *deployment) golden(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	slices.SortStableFunc(d.lines, func(a, b string) int {
		if a[:10] == b[:10] {
			return strings.Compare(a, b)
		}
		return 0
	})
	goldie.New(d.t, goldie.WithFixtureDir("testdata")).Assert(d.t, name, []byte(strings.Join(d.lines, "\n")+"\n"))
}
