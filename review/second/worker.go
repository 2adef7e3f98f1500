package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker is a sound worker: it runs tasks by waiting, starts whatever it is told to, and ends all runs when its lease expires.
type worker struct {
	id      string
	address string
	began   time.Time
	born    int64
	mu      sync.Mutex
	// sequence counts the announcements, token is the highest fencing token, and lease the end of the lease on the worker's clock.
	sequence int
	token    uint64
	lease    int64
	runs     map[string]*run
	over     map[string]int
	ended    [][]any
	lastEnd  int
	starts   int
	peak     int
	changed  chan struct{}
	faults   *workerFaults
}

type run struct {
	task     string
	number   int
	began    time.Time
	duration time.Duration
	timer    *time.Timer
}

func newWorker(id, address string, faults *workerFaults) *worker {
	w := &worker{
		id: id, address: address, faults: faults, began: time.Now(), born: time.Now().UnixMilli(),
		runs: map[string]*run{}, over: map[string]int{}, changed: make(chan struct{}),
	}
	go w.watchLease()
	return w
}

func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() + 1 }

func (w *worker) announcement() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	return fmt.Sprintf(`{"Service":"svc1","Address":%q,"Zone":"zone-0","Version":"v1","Slots":8,"State":"ready","ColdRemainingMs":0,`+
		`"Sequence":%d,"born":%d,"Capacity":{"Cpu":%d,"MemMb":%d,"Gpu":0},"Labels":["a","r1-1"],"ClockMs":%d}`,
		w.address, w.sequence, w.born, workerCPU, workerMemoryMB, w.clock())
}

type call struct {
	Task         string
	Run          int
	Spec         string
	DeadlineMs   int64
	FencingToken uint64
	AckCursor    int
	WaitMs       int64
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var c call
	raw, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(raw, &c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("X-Target-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	if c.FencingToken < w.token {
		w.mu.Unlock()
		w.answer(rw, http.StatusConflict, map[string]any{"Reason": "fence"})
		return
	}
	if r.URL.Path == "/run-start" && w.faults.keepLate(w, c) {
		w.mu.Unlock()
		<-r.Context().Done()
		return
	}
	w.token = c.FencingToken
	w.mu.Unlock()
	switch r.URL.Path {
	case "/run-start":
		if reason := w.start(c); reason != "" {
			w.answer(rw, http.StatusConflict, map[string]any{"Reason": reason})
			return
		}
		w.answer(rw, http.StatusOK, map[string]any{})
	case "/run-stop":
		w.stop(c)
		w.answer(rw, http.StatusOK, map[string]any{})
	case "/hold":
		w.hold(rw, c)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	body["ClockMs"], body["born"] = w.clock(), w.born
	raw, err := json.Marshal(body)
	if err != nil {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(raw)
}

// extend extends the lease; it is shortened to a second. The caller holds mu.
func (w *worker) extend(deadline int64) {
	w.lease = max(w.lease, min(deadline, w.clock()+1000))
}

func (w *worker) start(c call) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.DeadlineMs <= w.clock() {
		return "late"
	}
	w.extend(c.DeadlineMs)
	if r := w.runs[c.Task]; r != nil && r.number == c.Run {
		return ""
	}
	if c.Run <= w.over[c.Task] || w.runs[c.Task] != nil {
		return "old"
	}
	d, err := time.ParseDuration(strings.Fields(c.Spec)[0])
	if err != nil {
		d = time.Millisecond
	}
	r := &run{task: c.Task, number: c.Run, began: time.Now(), duration: d}
	w.runs[c.Task] = r
	w.starts++
	w.faults.begin(w.id, c.Task)
	w.peak = max(w.peak, len(w.runs))
	how := w.faults.endOf(c.Task, c.Spec)
	r.timer = time.AfterFunc(d, func() { w.end(r, how) })
	return ""
}

func (w *worker) end(r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endLocked(r, how)
}

func (w *worker) endLocked(r *run, how string) {
	if w.runs[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(w.runs, r.task)
	w.faults.end(w.id, r.task)
	w.over[r.task] = max(w.over[r.task], r.number)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, r.task, r.number, how, ""})
	close(w.changed)
	w.changed = make(chan struct{})
}

// crash loses all runs and the memory of the worker.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		r.timer.Stop()
		w.faults.end(w.id, r.task)
	}
	w.runs, w.over, w.ended, w.lastEnd, w.token, w.lease, w.sequence = map[string]*run{}, map[string]int{}, nil, 0, 0, 0, 0
	w.began, w.born = time.Now(), time.Now().UnixMilli()
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) stop(c call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.over[c.Task] = max(w.over[c.Task], c.Run)
	if r := w.runs[c.Task]; r != nil && r.number <= c.Run {
		w.endLocked(r, "stopped")
	}
}

func (w *worker) watchLease() {
	for {
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		if w.clock() >= w.lease {
			for _, r := range w.runs {
				w.endLocked(r, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) hold(rw http.ResponseWriter, c call) {
	w.mu.Lock()
	w.extend(c.DeadlineMs)
	for len(w.ended) > 0 && w.ended[0][0].(int) <= c.AckCursor {
		w.ended = w.ended[1:]
	}
	changed, empty := w.changed, len(w.ended) == 0
	w.mu.Unlock()
	if wait := time.Duration(min(c.WaitMs, 2000)) * time.Millisecond; empty && wait > 0 {
		select {
		case <-changed:
		case <-time.After(wait):
		}
	}
	w.mu.Lock()
	running := [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.number, "", int(100 * time.Since(r.began) / max(r.duration, 1)), 1})
	}
	ended := append([][]any{}, w.ended[:min(500, len(w.ended))]...)
	w.mu.Unlock()
	w.answer(rw, http.StatusOK, map[string]any{"Running": running, "Ended": ended})
}
