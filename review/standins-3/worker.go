//go:build review3

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of the platform's worker. A Spec begins with the run time of its tasks. The worker enforces its lease, the
// fencing tokens and the order of runs; it does not guard its capacity.
type worker struct {
	c       *campaign
	name    string
	id      string
	address string
	agent   string
	born    time.Time

	mu       sync.Mutex
	sequence int
	draining bool
	ackedAt  time.Time
	token    uint64
	runs     map[string]*run
	highest  map[string]int
	ended    [][]any
	ends     int
	leaseEnd time.Time
	leaseSet *time.Timer
	changed  chan struct{}
	server   *http.Server
	// wake ends the wait for the next heartbeat.
	wake chan struct{}
}

// run is one run of a task. The fields after number are in the record of the campaign.
type run struct {
	worker, task string
	number       int
	startedAt    time.Time
	endedAt      time.Time
	how          string
	length       time.Duration
	timer        *time.Timer
}

const (
	maxHold       = time.Second
	stopTime      = 20 * time.Millisecond
	beatInterval  = 1500 * time.Millisecond
	retryBeat     = 300 * time.Millisecond
	workerCPU     = 64000
	workerMemory  = 262144
	serviceName   = "checks"
	maxListedEnds = 500
)

func newWorker(c *campaign, i int, address, agent string) *worker {
	return &worker{
		c: c, name: fmt.Sprintf("worker-%d", i), id: fmt.Sprintf("i-%04d", i), address: address, agent: agent, born: time.Now(),
		runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}),
		wake: make(chan struct{}),
	}
}

func (w *worker) serve() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	return nil
}

// clock is the worker's steady clock in milliseconds.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// beats sends a heartbeat at each interval, and sooner after one without an acknowledgement.
func (w *worker) beats(ctx context.Context, client *http.Client) {
	for ctx.Err() == nil {
		body, draining := w.beat()
		wait := retryBeat
		if status, err := w.put(ctx, client, body); err == nil && status == http.StatusOK {
			wait = beatInterval
			if draining {
				w.acknowledge()
			}
		}
		select {
		case <-ctx.Done():
		case <-w.wake:
		case <-time.After(wait):
		}
	}
}

// beat returns the next heartbeat and whether it says that the worker drains.
func (w *worker) beat() (body string, draining bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	state := `"ready"`
	if w.draining {
		state = `"draining","DrainRemainingMs":8000`
	}
	return fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":"a","Version":"v1","Slots":8,"State":%s,"ColdRemainingMs":0,`+
		`"Capacity":{"Cpu":%d,"MemMb":%d,"Gpu":0},"Labels":["a","r1-1"],"ClockMs":%d,"Sequence":%d,"born":%d}`,
		serviceName, w.address, state, workerCPU, workerMemory, w.clock(), w.sequence, w.born.UnixMilli()), w.draining
}

// put sends a heartbeat under the worker's id to its agent and returns the status of the answer.
func (w *worker) put(ctx context.Context, client *http.Client, body string) (int, error) {
	limited, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(limited, http.MethodPut, "http://"+w.agent+"/instances/"+w.id, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	answer, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	answer.Body.Close()
	return answer.StatusCode, nil
}

// drain makes the worker say that it drains, from a heartbeat that it sends at once.
func (w *worker) drain() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	w.wake <- struct{}{}
}

func (w *worker) acknowledge() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ackedAt.IsZero() {
		w.ackedAt = time.Now()
		w.c.note("%s: draining is acknowledged", w.name)
	}
}

// acknowledged returns when the agent acknowledged that the worker drains, the zero time before.
func (w *worker) acknowledged() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ackedAt
}

type call struct {
	Task         string
	Run          int
	Spec         string
	DeadlineMs   int64
	AckCursor    int
	WaitMs       int64
	FencingToken uint64
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var b call
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	if b.FencingToken < w.token {
		w.mu.Unlock()
		w.answer(rw, http.StatusConflict, map[string]any{"Reason": "fence"})
		return
	}
	w.token = b.FencingToken
	w.mu.Unlock()
	switch r.URL.Path {
	case "/run-start":
		if reason := w.start(b); reason != "" {
			w.answer(rw, http.StatusConflict, map[string]any{"Reason": reason})
			return
		}
		w.answer(rw, http.StatusOK, map[string]any{})
	case "/run-stop":
		w.stop(b)
		w.answer(rw, http.StatusOK, map[string]any{})
	case "/hold":
		w.hold(rw, b)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	body["ClockMs"], body["born"] = w.clock(), w.born.UnixMilli()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (w *worker) start(b call) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.extend(b.DeadlineMs)
	if r := w.runs[b.Task]; r != nil && r.number == b.Run {
		return ""
	}
	if b.Run <= w.highest[b.Task] || w.runs[b.Task] != nil {
		return "old"
	}
	if b.DeadlineMs <= w.clock() {
		return "late"
	}
	length, err := time.ParseDuration(strings.Fields(b.Spec + " x")[0])
	if err != nil {
		length = 50 * time.Millisecond
	}
	r := &run{worker: w.name, task: b.Task, number: b.Run, startedAt: time.Now(), length: length}
	w.runs[b.Task] = r
	w.c.addRun(r)
	r.timer = time.AfterFunc(length, func() { w.end(r, "done") })
	return ""
}

// extend moves the end of the lease, at most to maxHold from now, and never back.
func (w *worker) extend(deadline int64) {
	end := w.born.Add(time.Duration(deadline) * time.Millisecond)
	if most := time.Now().Add(maxHold); end.After(most) {
		end = most
	}
	if !end.After(w.leaseEnd) {
		return
	}
	w.leaseEnd = end
	if w.leaseSet != nil {
		w.leaseSet.Stop()
	}
	w.leaseSet = time.AfterFunc(time.Until(end), w.lapse)
}

func (w *worker) lapse() {
	w.mu.Lock()
	var runs []*run
	if !time.Now().Before(w.leaseEnd) {
		for _, r := range w.runs {
			runs = append(runs, r)
		}
	}
	w.mu.Unlock()
	for _, r := range runs {
		w.end(r, "lapsed")
	}
}

func (w *worker) end(r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.ends++
	w.ended = append(w.ended, []any{w.ends, r.task, r.number, how, ""})
	w.c.endRun(r, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) stop(b call) {
	w.mu.Lock()
	r := w.runs[b.Task]
	if r == nil || r.number < b.Run {
		w.highest[b.Task] = max(w.highest[b.Task], b.Run)
	}
	w.mu.Unlock()
	if r != nil && r.number == b.Run {
		time.AfterFunc(stopTime, func() { w.end(r, "stopped") })
	}
}

func (w *worker) hold(rw http.ResponseWriter, b call) {
	w.mu.Lock()
	w.extend(b.DeadlineMs)
	w.ended = slices.DeleteFunc(w.ended, func(e []any) bool { return e[0].(int) <= b.AckCursor })
	changed, empty := w.changed, len(w.ended) == 0
	w.mu.Unlock()
	if empty && b.WaitMs > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(b.WaitMs, 2000)) * time.Millisecond):
		}
	}
	w.mu.Lock()
	running := [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.number, "", int(min(99, 100*time.Since(r.startedAt)/max(r.length, 1))), 500})
	}
	ended := slices.Clone(w.ended[:min(len(w.ended), maxListedEnds)])
	if ended == nil {
		ended = [][]any{}
	}
	w.mu.Unlock()
	w.answer(rw, http.StatusOK, map[string]any{"Running": running, "Ended": ended})
}
