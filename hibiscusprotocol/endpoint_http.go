package hibiscusprotocol

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusstate"
)

// The HTTP between an agent and its endpoint, in both directions: announcements come in, tasks go out.

// maxOutputBytes bounds the answer of an endpoint to one task.
const maxOutputBytes = 1 << 20

// EndpointAPI serves the endpoint beside an agent, and runs tasks on it.
type EndpointAPI struct {
	client   *http.Client
	address  atomic.Pointer[string]
	announce func(service string, room hibiscusstate.Resources) error
	leave    func() error
}

// NewEndpointAPI returns the agent's side: client reaches the endpoint, announce and leave take what it says.
func NewEndpointAPI(
	client *http.Client, announce func(service string, room hibiscusstate.Resources) error, leave func() error,
) *EndpointAPI {
	return &EndpointAPI{client: client, announce: announce, leave: leave}
}

// Mount adds the routes to a router.
func (e *EndpointAPI) Mount(r chi.Router) {
	r.Put("/v1/endpoint", e.putEndpoint)
	r.Delete("/v1/endpoint", e.deleteEndpoint)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, healthBody{Status: "ok"}) })
}

type endpointRequest struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

type runRequest struct {
	TaskID      string          `json:"task_id"`
	Kind        string          `json:"kind"`
	RemainingMS int64           `json:"remaining_ms"`
	Payload     json.RawMessage `json:"payload"`
}

type runBody struct {
	Output json.RawMessage `json:"output"`
	Run    string          `json:"run"`
	Reason string          `json:"reason"`
}

func (e *EndpointAPI) putEndpoint(w http.ResponseWriter, r *http.Request) {
	var request endpointRequest
	if !readJSON(w, r, &request, writeRefusal) {
		return
	}
	if _, _, err := net.SplitHostPort(request.Address); err != nil || request.Service == "" || request.Slots < 1 {
		writeRefusal(w, hibiscusstate.RefusalBadRequest, "service, address (host:port) and slots (at least 1) are needed")
		return
	}
	slots := request.Slots
	if request.Connections > 0 {
		slots = min(slots, request.Connections)
	}
	e.address.Store(&request.Address)
	if e.announce(request.Service, hibiscusstate.NewResources(slots, 0, 0)) != nil {
		writeRefusal(w, hibiscusstate.RefusalDraining, "this agent is stopping")
		return
	}
	writeJSON(w, http.StatusOK, healthBody{Status: "announced"})
}

func (e *EndpointAPI) deleteEndpoint(w http.ResponseWriter, _ *http.Request) {
	if e.leave() != nil {
		writeRefusal(w, hibiscusstate.RefusalDraining, "this agent is stopping")
		return
	}
	writeJSON(w, http.StatusOK, healthBody{Status: "leaving"})
}

// Execute runs one task on the endpoint. Only a refused connection and the endpoint's own word count as not run; after
// the request was written, anything else may have run.
func (e *EndpointAPI) Execute(ctx context.Context, order hibiscusstate.Order) hibiscuscoordination.RunResult {
	address := e.address.Load()
	if address == nil {
		return hibiscuscoordination.NewNotRunResult(hibiscusstate.RejectionEndpointDown)
	}
	payload := order.Payload()
	if len(payload) == 0 {
		payload = []byte("null")
	}
	id := order.ID()
	body, err := json.Marshal(runRequest{
		TaskID: fmt.Sprintf("%s-%x-%d", id.Key().Incarnation(), id.Key().Sequence(), id.Index()),
		Kind:   order.Kind(), RemainingMS: order.Budget().Milliseconds(), Payload: payload,
	})
	if err != nil {
		return hibiscuscoordination.NewRunResult(hibiscusstate.OutcomeNotRun, nil, "the payload is not valid JSON")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+*address+"/run", bytes.NewReader(body))
	if err != nil {
		return hibiscuscoordination.NewNotRunResult(hibiscusstate.RejectionEndpointDown)
	}
	// The HTTP client sends a POST again by itself only when not one byte of it was written, which can't start it twice.
	response, err := e.client.Do(request)
	if err != nil {
		return resultOfError(ctx, err)
	}
	defer response.Body.Close()
	return resultOfResponse(ctx, response)
}

func resultOfError(ctx context.Context, err error) hibiscuscoordination.RunResult {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return hibiscuscoordination.NewNotRunResult(hibiscusstate.RejectionEndpointDown)
	}
	if ctx.Err() != nil {
		return hibiscuscoordination.NewRunResult(hibiscusstate.OutcomeStopped, nil, "the task was stopped while it ran")
	}
	return hibiscuscoordination.NewRunResult(hibiscusstate.OutcomeMayHaveRun, nil, "the connection to the endpoint was lost")
}

func resultOfResponse(ctx context.Context, response *http.Response) hibiscuscoordination.RunResult {
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxOutputBytes+1))
	if err != nil {
		return resultOfError(ctx, err)
	}
	if len(raw) > maxOutputBytes {
		return hibiscuscoordination.NewRunResult(hibiscusstate.OutcomeFailed, nil,
			fmt.Sprintf("the endpoint's answer is larger than %d bytes", maxOutputBytes))
	}
	var body runBody
	decodeErr := json.Unmarshal(raw, &body)
	switch {
	case response.StatusCode == http.StatusServiceUnavailable && body.Run == hibiscusstate.OutcomeNotRun.String():
		return hibiscuscoordination.NewNotRunResult(hibiscusstate.RejectionEndpointBusy)
	case response.StatusCode != http.StatusOK:
		reason := body.Reason
		if reason == "" {
			reason = fmt.Sprintf("the endpoint answered with status %d", response.StatusCode)
		}
		return hibiscuscoordination.NewRunResult(hibiscusstate.OutcomeFailed, nil, reason)
	case decodeErr != nil:
		return hibiscuscoordination.NewRunResult(hibiscusstate.OutcomeFailed, nil, "the endpoint's answer is not valid JSON")
	}
	return hibiscuscoordination.NewRunResult(hibiscusstate.OutcomeFinished, body.Output, "")
}
