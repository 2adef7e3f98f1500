package hibiscusprotocol

import (
	"cmp"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusstate"
)

// The administration HTTP interface of an entry, except for configuration. Lists show this entry's view only; they are sorted
// and paged here, so that the entry's event loop only copies them. docs/OPERATIONS.md describes the interface for operators.

const (
	defaultPageSize = 100
	maxPageSize     = 1000
	// maxProblems bounds the endpoints that GET /v1/admin/status lists; GET /v1/admin/endpoints has them all.
	maxProblems = 20
	// healthNoEndpoint is shown in place of a good health when the agent has no endpoint.
	healthNoEndpoint = "no_endpoint"
)

// AdminAPI serves the administration interface of one entry.
type AdminAPI struct {
	auth  *AdminAuth
	entry *hibiscuscoordination.Entry
	ready func() bool
	drain func(who, from string)
}

// NewAdminAPI returns the handlers of an entry: ready reports whether the load balancer should send callers here, and drain
// takes the entry out of service for an operator.
func NewAdminAPI(
	auth *AdminAuth, entry *hibiscuscoordination.Entry, ready func() bool, drain func(who, from string),
) *AdminAPI {
	return &AdminAPI{auth: auth, entry: entry, ready: ready, drain: drain}
}

// Mount adds the routes to a router.
func (a *AdminAPI) Mount(r chi.Router) {
	viewer := r.With(a.auth.RequireViewer)
	viewer.Get("/v1/admin/status", a.getStatus)
	viewer.Get("/v1/admin/services", a.getServices)
	viewer.Get("/v1/admin/endpoints", a.getEndpoints)
	viewer.Get("/v1/admin/queues", a.getQueues)
	viewer.Get("/v1/admin/teams", a.getTeams)
	viewer.Get("/v1/admin/members", a.getMembers)
	operator := r.With(a.auth.RequireOperator)
	operator.Post("/v1/admin/endpoints/{address}/drain", func(w http.ResponseWriter, r *http.Request) { a.drainEndpoint(w, r, true) })
	operator.Delete("/v1/admin/endpoints/{address}/drain", func(w http.ResponseWriter, r *http.Request) { a.drainEndpoint(w, r, false) })
	operator.Post("/v1/admin/drain", a.drainEntry)
}

type adminStatusBody struct {
	Entry                adminEntryBody      `json:"entry"`
	Configured           bool                `json:"configured"`
	ConfigurationVersion uint64              `json:"configuration_version"`
	Jobs                 adminJobsBody       `json:"jobs"`
	Services             []adminServiceBody  `json:"services"`
	Endpoints            adminEndpointCounts `json:"endpoints"`
	Problems             []adminEndpointBody `json:"problems"`
	// EvacuatedDomains are the evacuated failure domains.
	EvacuatedDomains []string `json:"evacuated_domains,omitempty"`
}

type adminEntryBody struct {
	Address       string `json:"address"`
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failure_domain"`
	Ready         bool   `json:"ready"`
	Draining      bool   `json:"draining"`
}

type adminJobsBody struct {
	Running int `json:"running"`
	Records int `json:"records"`
	Bytes   int `json:"bytes"`
}

// adminEndpointCounts counts all workers in the entry's view, and those that may receive a task.
type adminEndpointCounts struct {
	Known  int `json:"known"`
	Usable int `json:"usable"`
}

type adminServiceBody struct {
	Service        string            `json:"service"`
	Workers        int               `json:"workers"`
	UsableWorkers  int               `json:"usable_workers"`
	Slots          int               `json:"slots"`
	InFlight       int               `json:"in_flight"`
	Waiting        int               `json:"waiting"`
	OldestWaitMS   int64             `json:"oldest_wait_ms"`
	TasksInTime    uint64            `json:"tasks_in_time"`
	TasksLate      uint64            `json:"tasks_late"`
	TasksFailed    uint64            `json:"tasks_failed"`
	TasksCancelled uint64            `json:"tasks_cancelled"`
	Refusals       map[string]uint64 `json:"refusals"`
	Admission      *admissionBody    `json:"admission,omitempty"`
}

type adminEndpointBody struct {
	Address       string `json:"address"`
	Service       string `json:"service"`
	FailureDomain string `json:"failure_domain"`
	Rack          string `json:"rack,omitempty"`
	// Speed is left out while it is 1.
	Speed     float64 `json:"speed,omitempty"`
	Health    string  `json:"health"`
	Cause     string  `json:"cause,omitempty"`
	TrialInMS int64   `json:"trial_in_ms,omitempty"`
	Connected bool    `json:"connected"`
	Slots     int     `json:"slots"`
	InFlight  int     `json:"in_flight"`
	Finished  uint64  `json:"finished"`
	Failed    uint64  `json:"failed"`
	Lease     uint64  `json:"lease"`
}

type adminQueueBody struct {
	Service      string `json:"service"`
	Team         string `json:"team"`
	Waiting      int    `json:"waiting"`
	WorkMS       int64  `json:"work_ms"`
	OldestWaitMS int64  `json:"oldest_wait_ms"`
}

type adminTeamBody struct {
	Team      string `json:"team"`
	Share     int    `json:"share"`
	MaxQueued int    `json:"max_queued"`
	Waiting   int    `json:"waiting"`
	InFlight  int    `json:"in_flight"`
}

type adminMemberBody struct {
	Address       string `json:"address"`
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failure_domain"`
	CallerAddress string `json:"caller_address,omitempty"`
	Connected     bool   `json:"connected"`
	Self          bool   `json:"self"`
}

// adminPage is one page of a list; next is the value of after for the next page.
type adminPage[T any] struct {
	Items []T    `json:"items"`
	Next  string `json:"next,omitempty"`
	Total int    `json:"total"`
}

func (a *AdminAPI) getStatus(w http.ResponseWriter, _ *http.Request) {
	snapshot, err := a.entry.Snapshot()
	services, servicesErr := a.entry.Services()
	workers, workersErr := a.entry.UnhealthyWorkers()
	if err := errors.CombineErrors(err, errors.CombineErrors(servicesErr, workersErr)); err != nil {
		writeAdminFailure(w, err)
		return
	}
	identity := snapshot.Identity()
	body := adminStatusBody{
		Entry: adminEntryBody{
			Address: identity.Address(), Incarnation: identity.Incarnation().String(), FailureDomain: identity.Domain(),
			Ready: a.ready(), Draining: snapshot.Draining(),
		},
		Configured:           snapshot.Configured(),
		ConfigurationVersion: snapshot.Version(),
		Jobs:                 adminJobsBody{Running: snapshot.Running(), Records: snapshot.Records(), Bytes: snapshot.Bytes()},
		Services:             serviceBodies(services),
		Problems:             endpointBodies(workers, time.Now()),
		EvacuatedDomains:     snapshot.Evacuation().Domains(),
	}
	for _, s := range body.Services {
		body.Endpoints.Known += s.Workers
		body.Endpoints.Usable += s.UsableWorkers
	}
	slices.SortFunc(body.Services, func(x, y adminServiceBody) int { return cmp.Compare(x.Service, y.Service) })
	slices.SortFunc(body.Problems, func(x, y adminEndpointBody) int { return cmp.Compare(x.Address, y.Address) })
	body.Problems = body.Problems[:min(len(body.Problems), maxProblems)]
	writeJSON(w, http.StatusOK, body)
}

func (a *AdminAPI) getServices(w http.ResponseWriter, r *http.Request) {
	services, err := a.entry.Services()
	writePage(w, r, err, serviceBodies(services), func(s adminServiceBody) string { return s.Service })
}

// endpointSortOrders are the comparisons for the values of sort besides address; what needs attention comes first.
var endpointSortOrders = map[string]func(x, y adminEndpointBody) int{
	"in_flight": func(x, y adminEndpointBody) int { return cmp.Compare(y.InFlight, x.InFlight) },
	"failed":    func(x, y adminEndpointBody) int { return cmp.Compare(y.Failed, x.Failed) },
	"health":    func(x, y adminEndpointBody) int { return cmp.Compare(healthSeverity(y), healthSeverity(x)) },
	"service":   func(x, y adminEndpointBody) int { return cmp.Compare(x.Service, y.Service) },
}

// healthSeverity returns a number that is higher the more a worker needs attention.
func healthSeverity(e adminEndpointBody) int {
	switch {
	case !e.Connected:
		return 5
	case e.Health == healthNoEndpoint:
		return 4
	case e.Health == hibiscusstate.HealthEjected.String():
		return 3
	case e.Health == hibiscusstate.HealthProbing.String():
		return 2
	case e.Health == hibiscusstate.HealthLeaving.String():
		return 1
	}
	return 0
}

func (a *AdminAPI) getEndpoints(w http.ResponseWriter, r *http.Request) {
	workers, err := a.entry.Workers()
	bodies := endpointBodies(workers, time.Now())
	sort := r.URL.Query().Get("sort")
	if sort == "" || sort == "address" {
		writePage(w, r, err, bodies, func(e adminEndpointBody) string { return e.Address })
		return
	}
	order := endpointSortOrders[sort]
	if order == nil || r.URL.Query().Get("after") != "" {
		writeAdminError(w, http.StatusBadRequest, hibiscusstate.RefusalBadRequest.String(),
			"sort must be address, service, health, in_flight or failed, and after goes with address only")
		return
	}
	slices.SortFunc(bodies, func(x, y adminEndpointBody) int {
		return cmp.Or(order(x, y), cmp.Compare(x.Address, y.Address))
	})
	limit, ok := pageLimit(w, r)
	if !ok {
		return
	}
	if err != nil {
		writeAdminFailure(w, err)
		return
	}
	writeJSON(w, http.StatusOK, adminPage[adminEndpointBody]{Items: bodies[:min(limit, len(bodies))], Total: len(bodies)})
}

func (a *AdminAPI) getQueues(w http.ResponseWriter, r *http.Request) {
	queues, err := a.entry.Queues()
	bodies := make([]adminQueueBody, len(queues))
	for i := range queues {
		q := &queues[i]
		bodies[i] = adminQueueBody{
			Service: q.Service(), Team: q.Team(), Waiting: q.Waiting(), WorkMS: q.Work().Milliseconds(),
			OldestWaitMS: q.OldestWait().Milliseconds(),
		}
	}
	writePage(w, r, err, bodies, func(q adminQueueBody) string { return q.Service + "/" + q.Team })
}

func (a *AdminAPI) getTeams(w http.ResponseWriter, r *http.Request) {
	teams, err := a.entry.Teams()
	bodies := make([]adminTeamBody, len(teams))
	for i := range teams {
		t := &teams[i]
		bodies[i] = adminTeamBody{
			Team: t.Team().Name(), Share: t.Team().Share(), MaxQueued: t.Team().MaxQueued(), Waiting: t.Waiting(),
			InFlight: t.InFlight(),
		}
	}
	writePage(w, r, err, bodies, func(t adminTeamBody) string { return t.Team })
}

func (a *AdminAPI) getMembers(w http.ResponseWriter, r *http.Request) {
	members, err := a.entry.MemberSnapshots()
	bodies := make([]adminMemberBody, len(members))
	for i := range members {
		m := members[i].Member()
		bodies[i] = adminMemberBody{
			Address: m.Address(), Incarnation: m.Incarnation().String(), FailureDomain: m.Domain(),
			CallerAddress: m.CallerAddress(), Connected: members[i].Connected(), Self: members[i].Self(),
		}
	}
	writePage(w, r, err, bodies, func(m adminMemberBody) string { return m.Address + " " + m.Incarnation })
}

func (a *AdminAPI) drainEndpoint(w http.ResponseWriter, r *http.Request, drained bool) {
	address, err := url.PathUnescape(chi.URLParam(r, "address"))
	if err != nil {
		writeAdminError(w, http.StatusBadRequest, hibiscusstate.RefusalBadRequest.String(), "the address in the path is not valid")
		return
	}
	if err := a.entry.DrainWorker(address, drained, AdminActor(r)+" from "+AdminClientIP(r)); err != nil {
		writeAdminFailure(w, err)
		return
	}
	status := "returned"
	if drained {
		status = "drained"
	}
	writeJSON(w, http.StatusOK, healthBody{Status: status})
}

func (a *AdminAPI) drainEntry(w http.ResponseWriter, r *http.Request) {
	a.drain(AdminActor(r), AdminClientIP(r))
	writeJSON(w, http.StatusAccepted, healthBody{Status: "draining"})
}

func serviceBodies(services []hibiscuscoordination.ServiceSnapshot) []adminServiceBody {
	bodies := make([]adminServiceBody, len(services))
	for i := range services {
		s := &services[i]
		bodies[i] = adminServiceBody{
			Service: s.Name(), Workers: s.Workers(), UsableWorkers: s.Usable(), Slots: s.Slots(), InFlight: s.InFlight(),
			Waiting: s.Waiting(), OldestWaitMS: s.OldestWait().Milliseconds(), TasksInTime: s.InTime(), TasksLate: s.Late(),
			TasksFailed: s.Failed(), TasksCancelled: s.Cancelled(), Refusals: map[string]uint64{},
		}
		bodies[i].Admission = admissionBodyOf(s.Admission())
		for refusal := range hibiscusstate.RefusalOutcomeUnknown + 1 {
			if n := s.Refusal(refusal); n > 0 {
				bodies[i].Refusals[refusal.String()] = n
			}
		}
	}
	return bodies
}

func endpointBodies(workers []hibiscusstate.Worker, now time.Time) []adminEndpointBody {
	bodies := make([]adminEndpointBody, len(workers))
	for i := range workers {
		worker := &workers[i]
		bodies[i] = adminEndpointBody{
			Address: worker.Address(), Service: worker.Service(), FailureDomain: worker.Domain(), Rack: worker.Rack(),
			Health: worker.Health().String(), Cause: worker.HealthCause(), Connected: worker.Connected(),
			Slots: worker.Slots(), InFlight: worker.InFlightSlots(), Finished: worker.Finished(), Failed: worker.Failed(),
			Lease: worker.LeaseEpoch(),
		}
		if worker.Speed() != 1 {
			bodies[i].Speed = worker.Speed()
		}
		if worker.Slots() == 0 && worker.Health() == hibiscusstate.HealthGood {
			bodies[i].Health = healthNoEndpoint
			bodies[i].Cause = "no endpoint announces itself to the agent"
		}
		if worker.Health() == hibiscusstate.HealthEjected {
			bodies[i].TrialInMS = max(worker.EjectedUntil().Sub(now).Milliseconds(), 0)
		}
	}
	return bodies
}

// writePage sorts a list by key and writes the requested page.
func writePage[T any](w http.ResponseWriter, r *http.Request, err error, items []T, key func(T) string) {
	if err != nil {
		writeAdminFailure(w, err)
		return
	}
	limit, ok := pageLimit(w, r)
	if !ok {
		return
	}
	slices.SortFunc(items, func(x, y T) int { return cmp.Compare(key(x), key(y)) })
	page := adminPage[T]{Total: len(items)}
	after := r.URL.Query().Get("after")
	first := 0
	for first < len(items) && after != "" && key(items[first]) <= after {
		first++
	}
	last := min(first+limit, len(items))
	page.Items = items[first:last]
	if last < len(items) {
		page.Next = key(items[last-1])
	}
	writeJSON(w, http.StatusOK, page)
}

func pageLimit(w http.ResponseWriter, r *http.Request) (int, bool) {
	text := r.URL.Query().Get("limit")
	if text == "" {
		return defaultPageSize, true
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > maxPageSize {
		writeAdminError(w, http.StatusBadRequest, hibiscusstate.RefusalBadRequest.String(),
			fmt.Sprintf("limit must be between 1 and %d", maxPageSize))
		return 0, false
	}
	return limit, true
}

// writeAdminFailure writes the error response for an error of the coordination layer.
func writeAdminFailure(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, hibiscuscoordination.ErrUnknownWorker):
		writeAdminError(w, http.StatusNotFound, "unknown_endpoint", err.Error())
	case errors.Is(err, hibiscuscoordination.ErrNoAnswer):
		writeAdminError(w, http.StatusGatewayTimeout, "no_answer", err.Error())
	default:
		writeAdminError(w, http.StatusServiceUnavailable, hibiscusstate.RefusalDraining.String(), err.Error())
	}
}
