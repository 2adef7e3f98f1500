package hibiscusstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// The Endpoint is a stand-in back end. It runs tasks of given run times, and a payload can make it fail, hang, or report that it
// did not run the task:
//
//	{"run_ms": 80, "behavior": "fail"}

// announceInterval is the interval between announcements, and the timeout of each.
const announceInterval = time.Second

// leaveGrace is how long the endpoint still accepts connections after it has left, for a task that was sent just before.
const leaveGrace = 200 * time.Millisecond

// Endpoint is the stand-in; it is safe for concurrent use.
type Endpoint struct {
	service     string
	address     string
	agent       string
	slots       int
	defaultRun  time.Duration
	failAll     bool
	dial        func(ctx context.Context, address string) (net.Conn, error)
	observe     func(taskID, kind, what string)
	mu          sync.Mutex
	startedByID map[string]int
}

// NewEndpoint returns an endpoint of a service that listens on address and announces itself to an agent; defaultRun is the run time
// of a task whose payload has none.
func NewEndpoint(service, address, agent string, slots int, defaultRun time.Duration) *Endpoint {
	return &Endpoint{
		service: service, address: address, agent: agent, slots: slots, defaultRun: defaultRun,
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		},
		observe: func(string, string, string) {}, startedByID: map[string]int{},
	}
}

// WithFailAll makes the endpoint fail every task at once.
func (e *Endpoint) WithFailAll(failAll bool) *Endpoint {
	e.failAll = failAll
	return e
}

// WithDial makes the endpoint connect to its agent over another network.
func (e *Endpoint) WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) *Endpoint {
	e.dial = dial
	return e
}

// WithObserver sets a function that is called when a task is started, finished, failed or stopped, with the task's id and kind.
func (e *Endpoint) WithObserver(observe func(taskID, kind, what string)) *Endpoint {
	e.observe = observe
	return e
}

// Starts returns how often each task was started, by task id.
func (e *Endpoint) Starts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	starts := make(map[string]int, len(e.startedByID))
	for id, n := range e.startedByID {
		starts[id] = n
	}
	return starts
}

type startsBody struct {
	Tasks    int `json:"tasks"`
	Starts   int `json:"starts"`
	Repeated int `json:"repeated"`
}

// getStarts returns how many tasks were started, the total number of starts, and how many tasks were started more than once.
func (e *Endpoint) getStarts(w http.ResponseWriter, _ *http.Request) {
	var body startsBody
	for _, n := range e.Starts() {
		body.Tasks++
		body.Starts += n
		if n > 1 {
			body.Repeated++
		}
	}
	writeJSON(w, http.StatusOK, body)
}

type runRequest struct {
	TaskID      string          `json:"task_id"`
	Kind        string          `json:"kind"`
	RemainingMS int64           `json:"remaining_ms"`
	Payload     json.RawMessage `json:"payload"`
}

type runPayload struct {
	RunMS    *int64 `json:"run_ms"`
	Behavior string `json:"behavior"`
}

type runBody struct {
	Output json.RawMessage `json:"output,omitempty"`
	Run    string          `json:"run,omitempty"`
	Reason string          `json:"reason,omitempty"`
}

type outputBody struct {
	Kind  string          `json:"kind"`
	Input json.RawMessage `json:"input"`
}

type announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// Serve runs tasks from a listener and announces the endpoint until ctx is done. Then it notifies the agent, waits for
// leaveGrace, closes the listener and finishes its tasks.
func (e *Endpoint) Serve(ctx context.Context, l net.Listener) error {
	r := chi.NewRouter()
	r.Post("/run", e.postRun)
	r.Get("/starts", e.getStarts)
	server := &http.Server{Handler: r, ReadHeaderTimeout: time.Second}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return e.dial(ctx, address) },
	}}
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	e.announce(client)
	for {
		select {
		case err := <-served:
			return err
		case <-ticker.C:
			e.announce(client)
		case <-ctx.Done():
			e.send(client, http.MethodDelete, nil)
			time.Sleep(leaveGrace)
			client.CloseIdleConnections()
			return server.Shutdown(context.WithoutCancel(ctx))
		}
	}
}

func (e *Endpoint) announce(client *http.Client) {
	body, err := json.Marshal(announcement{Service: e.service, Address: e.address, Slots: e.slots, Connections: 64})
	if err == nil {
		e.send(client, http.MethodPut, body)
	}
}

// send sends a request to the agent; errors are ignored, as the next announcement repeats it.
func (e *Endpoint) send(client *http.Client, method string, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), announceInterval)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.agent+"/v1/endpoint", bytes.NewReader(body))
	if err != nil {
		return
	}
	response, err := client.Do(request)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return
	}
	response.Body.Close()
}

func (e *Endpoint) postRun(w http.ResponseWriter, r *http.Request) {
	var request runRequest
	if !readJSON(w, r, &request) {
		return
	}
	var payload runPayload
	if err := json.Unmarshal(request.Payload, &payload); err != nil {
		payload = runPayload{}
	}
	if payload.Behavior == "not_run" {
		writeJSON(w, http.StatusServiceUnavailable, runBody{Run: "not_run", Reason: "the endpoint is busy"})
		return
	}
	e.mu.Lock()
	e.startedByID[request.TaskID]++
	e.mu.Unlock()
	e.observe(request.TaskID, request.Kind, "started")
	runTime := e.defaultRun
	if payload.RunMS != nil {
		runTime = time.Duration(*payload.RunMS) * time.Millisecond
	}
	switch {
	case e.failAll || payload.Behavior == "fail":
		e.observe(request.TaskID, request.Kind, "failed")
		writeJSON(w, http.StatusInternalServerError, runBody{Reason: "the endpoint failed the task"})
		return
	case payload.Behavior == "hang":
		<-r.Context().Done()
		e.observe(request.TaskID, request.Kind, "stopped")
		return
	}
	select {
	case <-r.Context().Done():
		e.observe(request.TaskID, request.Kind, "stopped")
		return
	case <-time.After(runTime):
	}
	e.observe(request.TaskID, request.Kind, "finished")
	output, err := json.Marshal(outputBody{Kind: request.Kind, Input: request.Payload})
	if err != nil {
		writeJSON(w, http.StatusInternalServerError, runBody{Reason: fmt.Sprintf("encode output: %v", err)})
		return
	}
	writeJSON(w, http.StatusOK, runBody{Output: output})
}
