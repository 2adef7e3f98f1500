//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	heartbeatRetry    = 300 * time.Millisecond
	// holdMax is HoldMaxMs, the longest lease.
	holdMax = time.Second
	// stopTime is how long a stop takes; StopTimeoutMs allows 50 ms.
	stopTime = 5 * time.Millisecond
	// maxListedEnds is how many ends a list has at most.
	maxListedEnds = 500
)

// worker is a stand-in for a worker, as the pages describe it: fenced, leased runs, ends that are listed until they are
// acknowledged, and heartbeats to the agent on its machine. It starts whatever it is told to start (AdmissionControl is false).
type worker struct {
	name     string
	address  string
	agent    string
	cpu      int
	record   *record
	mu       sync.Mutex
	id       string
	born     time.Time
	sequence int
	token    uint64
	leaseEnd time.Time
	runs     map[string]*workerRun
	// highest has the highest run of each task that was stopped or has ended here.
	highest map[string]int
	ended   []endedRun
	lastEnd int
	changed chan struct{}
}

type workerRun struct {
	task     string
	run      int
	began    time.Time
	duration time.Duration
	stopping bool
}

type endedRun struct {
	number int
	row    []any
}

// newWorker starts a worker at an address; agent is the control address of its machine.
func newWorker(name, address, agent string, cpu int, rec *record) (*worker, error) {
	w := &worker{name: name, address: address, agent: agent, cpu: cpu, record: rec}
	return w, w.start("i-" + name)
}

// start begins the worker's life.
func (w *worker) start(id string) error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.id, w.born, w.sequence, w.token, w.leaseEnd = id, time.Now(), 0, 0, time.Time{}
	w.runs, w.highest, w.ended, w.lastEnd = map[string]*workerRun{}, map[string]int{}, nil, 0
	w.changed = make(chan struct{})
	w.mu.Unlock()
	go serve(l, w)
	go w.heartbeats(id)
	return nil
}

// clock returns the worker's steady clock in milliseconds.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

// announcement returns the body of the next heartbeat.
func (w *worker) announcement() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	raw, err := json.Marshal(map[string]any{
		"Service": serviceName, "Address": w.address, "Zone": zoneName, "Version": "v1", "Slots": 8, "State": "ready",
		"Capacity": map[string]any{"Cpu": w.cpu, "MemMb": 262144}, "Labels": []string{"a", "r1-1"}, "ClockMs": w.clock(),
		"Sequence": w.sequence, "born": w.born.UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	return raw
}

// heartbeats sends the worker's heartbeats.
func (w *worker) heartbeats(id string) {
	client := &http.Client{Timeout: time.Second}
	for {
		wait := heartbeatInterval
		if status, err := putHeartbeat(client, w.agent, id, w.announcement()); err != nil || status != http.StatusOK {
			wait = heartbeatRetry
		}
		time.Sleep(wait)
	}
}

// putHeartbeat sends a heartbeat to an agent and returns the status.
func putHeartbeat(client *http.Client, agent, id string, body []byte) (int, error) {
	request, err := http.NewRequest(http.MethodPut, "http://"+agent+"/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

type workerCall struct {
	Task         string
	Run          int
	Spec         string
	DeadlineMs   int64
	FencingToken uint64
	AckCursor    int
	WaitMs       int64
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		return
	}
	var call workerCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != w.id {
		w.mu.Unlock()
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if call.FencingToken < w.token {
		w.answerLocked(rw, http.StatusConflict, map[string]any{"Reason": "fence"})
		return
	}
	w.token = call.FencingToken
	switch r.URL.Path {
	case "/run-start":
		if reason := w.startLocked(call); reason != "" {
			w.answerLocked(rw, http.StatusConflict, map[string]any{"Reason": reason})
			return
		}
		w.answerLocked(rw, http.StatusOK, map[string]any{})
	case "/run-stop":
		w.stopLocked(call)
		w.answerLocked(rw, http.StatusOK, map[string]any{})
	case "/hold":
		w.hold(rw, r, call)
	default:
		w.mu.Unlock()
		rw.WriteHeader(http.StatusNotFound)
	}
}

// answerLocked writes an answer and unlocks the worker.
func (w *worker) answerLocked(rw http.ResponseWriter, status int, body map[string]any) {
	body["ClockMs"], body["born"] = w.clock(), w.born.UnixMilli()
	w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	if _, err := rw.Write(raw); err != nil {
		// The agent has closed the connection, so the answer is lost.
		w.record.logf("worker   %s: an answer was not written: %v", w.name, err)
	}
}

// startLocked starts a run and returns the reason of a refusal, empty for none.
func (w *worker) startLocked(call workerCall) string {
	w.extendLeaseLocked(call.DeadlineMs)
	existing := w.runs[call.Task]
	switch {
	case existing != nil && existing.run == call.Run:
		return ""
	case existing != nil || call.Run <= w.highest[call.Task]:
		return "old"
	case call.DeadlineMs <= w.clock():
		return "late"
	}
	duration, err := time.ParseDuration(call.Spec)
	if err != nil {
		return "room"
	}
	r := &workerRun{task: call.Task, run: call.Run, began: time.Now(), duration: duration}
	w.runs[call.Task] = r
	if used := len(w.runs) * taskCPU; used > w.cpu {
		w.record.violate("LIMIT: %s has %d of %d thousandths of a core in use", w.name, used, w.cpu)
	}
	w.record.begin(w.name, r.task, r.run)
	time.AfterFunc(duration, func() { w.finish(r, "done") })
	return ""
}

// stopLocked stops a run, also one that is not there yet.
func (w *worker) stopLocked(call workerCall) {
	w.highest[call.Task] = max(w.highest[call.Task], call.Run)
	if r := w.runs[call.Task]; r != nil && r.run <= call.Run && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopTime, func() { w.finish(r, "stopped") })
	}
}

// extendLeaseLocked extends the lease of everything that runs, at most to holdMax from now; it is never shortened.
func (w *worker) extendLeaseLocked(deadlineMS int64) {
	if deadlineMS == 0 {
		return
	}
	end := w.born.Add(time.Duration(deadlineMS) * time.Millisecond)
	if longest := time.Now().Add(holdMax); end.After(longest) {
		end = longest
	}
	if !end.After(w.leaseEnd) {
		return
	}
	w.leaseEnd = end
	born := w.born
	time.AfterFunc(time.Until(end), func() {
		w.mu.Lock()
		var lapsed []*workerRun
		if w.born == born && !w.leaseEnd.After(time.Now()) {
			for _, r := range w.runs {
				lapsed = append(lapsed, r)
			}
		}
		w.mu.Unlock()
		for _, r := range lapsed {
			w.finish(r, "lapsed")
		}
	})
}

func (w *worker) finish(r *workerRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastEnd++
	w.ended = append(w.ended, endedRun{number: w.lastEnd, row: []any{w.lastEnd, r.task, r.run, how, ""}})
	w.record.end(w.name, r.task, r.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// hold answers a poll; it is called with the worker locked.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, call workerCall) {
	w.extendLeaseLocked(call.DeadlineMs)
	for len(w.ended) > 0 && w.ended[0].number <= call.AckCursor {
		w.ended = w.ended[1:]
	}
	if len(w.ended) == 0 && call.WaitMs > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Duration(min(call.WaitMs, 2000)) * time.Millisecond):
		}
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, run := range w.runs {
		percent := min(int(100*time.Since(run.began)/max(run.duration, 1)), 99)
		running = append(running, []any{run.task, run.run, "", percent, 6200})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListedEnds)] {
		ended = append(ended, e.row)
	}
	w.answerLocked(rw, http.StatusOK, map[string]any{"Running": running, "Ended": ended})
}

// taskName returns the name of a task of a job with one step.
func taskName(job string, index int) string { return fmt.Sprintf("%s.0.0.%d", job, index) }
