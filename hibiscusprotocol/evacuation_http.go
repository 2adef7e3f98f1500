package hibiscusprotocol

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusscheduling"
	"hibiscusrouter/hibiscusstate"
)

// The operators' HTTP interface for the evacuation of failure domains:
//
//	GET  /v1/admin/evacuation   the evacuated domains in force in this entry
//	POST /v1/admin/evacuate     evacuate a domain, or end its evacuation
//
// Status 200 to a POST means that the change is stored and in force in this entry; the others follow within 2 s.

// maxEvacuateBytes bounds the body of a POST.
const maxEvacuateBytes = 4096

// EvacuationAPI serves the evacuation of failure domains to operators.
type EvacuationAPI struct {
	auth  *AdminAuth
	store *EvacuationStore
	entry *hibiscuscoordination.Entry
}

// NewEvacuationAPI returns the handlers; with a nil store, changes are refused.
func NewEvacuationAPI(auth *AdminAuth, store *EvacuationStore, entry *hibiscuscoordination.Entry) *EvacuationAPI {
	return &EvacuationAPI{auth: auth, store: store, entry: entry}
}

// Mount adds the routes to a router.
func (e *EvacuationAPI) Mount(r chi.Router) {
	r.With(e.auth.RequireViewer).Get("/v1/admin/evacuation", e.getEvacuation)
	r.With(e.auth.RequireOperator).Post("/v1/admin/evacuate", e.postEvacuate)
}

type evacuateRequest struct {
	Domain string `json:"domain"`
	End    bool   `json:"end"`
}

type evacuationBody struct {
	Revision uint64   `json:"revision"`
	Domains  []string `json:"domains"`
	// Endpoints is how many endpoints of this entry's view are in the domains.
	Endpoints int `json:"endpoints"`
	// Warning says what an operator may not expect, as a domain without endpoints.
	Warning string `json:"warning,omitempty"`
}

func newEvacuationBody(set hibiscusscheduling.Evacuation, workers []hibiscusstate.Worker) evacuationBody {
	body := evacuationBody{Revision: set.Revision(), Domains: append([]string{}, set.Domains()...)}
	for i := range workers {
		if set.Has(workers[i].Domain()) {
			body.Endpoints++
		}
	}
	if len(workers) > 0 && body.Endpoints == len(workers) {
		body.Warning = "all endpoints are in evacuated domains, so all jobs are refused"
	}
	return body
}

func (e *EvacuationAPI) getEvacuation(w http.ResponseWriter, _ *http.Request) {
	set, err := e.entry.Evacuation()
	workers, workersErr := e.entry.Workers()
	if err := errors.CombineErrors(err, workersErr); err != nil {
		writeAdminFailure(w, err)
		return
	}
	writeJSON(w, http.StatusOK, newEvacuationBody(set, workers))
}

func (e *EvacuationAPI) postEvacuate(w http.ResponseWriter, r *http.Request) {
	if e.store == nil {
		writeAdminError(w, http.StatusServiceUnavailable, "platform_unavailable",
			"this entry does not write the table: its settings have no platform_address, or the platform's operator evacuates domains")
		return
	}
	var request evacuateRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEvacuateBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		writeAdminError(w, http.StatusBadRequest, "bad_request", "the body is not a JSON object with domain and end: "+err.Error())
		return
	}
	if !hibiscusscheduling.ValidDomain(request.Domain) {
		writeAdminError(w, http.StatusBadRequest, "bad_request", fmt.Sprintf("%q can't be the name of a failure domain", request.Domain))
		return
	}
	// The change is completed even if the operator's connection is lost.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), acceptTimeout)
	defer cancel()
	set, err := e.store.Change(ctx, time.Now(), request.Domain, !request.End, AdminActor(r), AdminClientIP(r))
	if err != nil {
		writeEvacuationError(w, err)
		return
	}
	if err := e.entry.Evacuate(set); err != nil {
		writeAdminFailure(w, err)
		return
	}
	workers, err := e.entry.Workers()
	if err != nil {
		writeAdminFailure(w, err)
		return
	}
	body := newEvacuationBody(set, workers)
	inDomain := func(worker hibiscusstate.Worker) bool { return worker.Domain() == request.Domain }
	if body.Warning == "" && !slices.ContainsFunc(workers, inDomain) {
		body.Warning = "no endpoint is in this failure domain now; is the name right?"
	}
	writeJSON(w, http.StatusOK, body)
}

func writeEvacuationError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, ErrTooManyDomains):
		writeAdminError(w, http.StatusConflict, "too_many_domains", err.Error())
	case errors.Is(err, hibiscuscoordination.ErrConflict):
		writeAdminError(w, http.StatusConflict, "conflict", err.Error()+"; try again")
	case errors.Is(err, ErrOutcomeUnknown):
		writeAdminError(w, http.StatusGatewayTimeout, "outcome_unknown",
			"the table service did not say whether the change took effect; read GET /v1/admin/evacuation in 2 s, or try again")
	default:
		writeStoreError(w, err)
	}
}
