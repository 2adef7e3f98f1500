package hibiscusprotocol

import (
	"expvar"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusstate"
)

// Metrics are expvar variables in a map of each process. The global registry of expvar panics on a name that is published
// twice, which several processes in one test would do. Each request takes one snapshot of the event loop, so that the
// variables of a response are consistent. docs/OPERATIONS.md lists the names; TestMetricsList compares the list with this file.

// memoryMetric is the runtime metric of the memory that the Go runtime has mapped, in bytes.
const memoryMetric = "/memory/classes/total:bytes"

// Metrics serves the variables of one process.
type Metrics struct {
	collect func(vars *expvar.Map) error
	limits  func() map[string]map[string]uint64
}

// WithLimits sets the function that returns how often each limit was applied, by listener and limit.
func (m *Metrics) WithLimits(limits func() map[string]map[string]uint64) *Metrics {
	m.limits = limits
	return m
}

// EntryMetricsSeams are callbacks that return the totals of an entry which its event loop does not hold.
type EntryMetricsSeams struct {
	sessions            func() hibiscuscoordination.SessionCounters
	table               func() hibiscuscoordination.TableCounters
	refusals            func(hibiscusstate.Refusal) uint64
	droppedAuditEntries func() uint64
	droppedEvents       func() uint64
}

// NewEntryMetricsSeams returns the callbacks: sessions and table for the totals of the sessions and of the table client,
// refusals for the refusals of the callers' handlers, droppedAuditEntries and droppedEvents for the audit entries and the
// events of the event bus that were dropped.
func NewEntryMetricsSeams(
	sessions func() hibiscuscoordination.SessionCounters, table func() hibiscuscoordination.TableCounters,
	refusals func(hibiscusstate.Refusal) uint64, droppedAuditEntries, droppedEvents func() uint64,
) EntryMetricsSeams {
	return EntryMetricsSeams{
		sessions: sessions, table: table, refusals: refusals, droppedAuditEntries: droppedAuditEntries, droppedEvents: droppedEvents,
	}
}

// NewEntryMetrics returns the variables of an entry.
func NewEntryMetrics(entry *hibiscuscoordination.Entry, seams EntryMetricsSeams) *Metrics {
	return &Metrics{collect: func(vars *expvar.Map) error {
		snapshot, err := entry.Snapshot()
		if err != nil {
			return err
		}
		services, err := entry.Services()
		if err != nil {
			return err
		}
		collectEntry(vars, snapshot, services)
		setCounts(vars, "refusals", hibiscusstate.RefusalBadRequest, hibiscusstate.RefusalOutcomeUnknown,
			func(r hibiscusstate.Refusal) uint64 { return snapshot.Counters().Refusal(r) + seams.refusals(r) })
		collectSessions(vars, seams.sessions())
		collectTable(vars, seams.table())
		setUint(vars, "audit_dropped", seams.droppedAuditEntries())
		setUint(vars, "bus_dropped", seams.droppedEvents())
		return nil
	}}
}

// NewAgentMetrics returns the variables of an agent; sessions returns the totals of its sessions.
func NewAgentMetrics(agent *hibiscuscoordination.Agent, sessions func() hibiscuscoordination.SessionCounters) *Metrics {
	return &Metrics{collect: func(vars *expvar.Map) error {
		snapshot, err := agent.Snapshot()
		if err != nil {
			return err
		}
		collectAgent(vars, snapshot)
		collectSessions(vars, sessions())
		return nil
	}}
}

// MountEntry adds GET /debug/vars for viewers to the router of an entry.
func (m *Metrics) MountEntry(r chi.Router, auth *AdminAuth) {
	r.With(auth.RequireViewer).Get("/debug/vars", m.ServeHTTP)
}

// MountAgent adds two routes to the router of an agent: GET /debug/vars, without a token from the VM itself and with a
// viewer's token from elsewhere, and GET /readyz with the result of ready.
func (m *Metrics) MountAgent(r chi.Router, auth *AdminAuth, ready func() bool) {
	guarded := auth.RequireViewer(m)
	r.Get("/debug/vars", func(w http.ResponseWriter, r *http.Request) {
		if isFromLoopback(r) {
			m.ServeHTTP(w, r)
			return
		}
		guarded.ServeHTTP(w, r)
	})
	MountReady(r, ready)
}

// MountOpen adds GET /debug/vars to a router, without authorization.
func (m *Metrics) MountOpen(r chi.Router) { r.Get("/debug/vars", m.ServeHTTP) }

// MountReady adds GET /readyz to a router, with the result of ready.
func MountReady(r chi.Router, ready func() bool) {
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) { writeReady(w, ready()) })
}

func writeReady(w http.ResponseWriter, ready bool) {
	if !ready {
		writeJSON(w, http.StatusServiceUnavailable, healthBody{Status: "not_ready"})
		return
	}
	writeJSON(w, http.StatusOK, healthBody{Status: "ready"})
}

func isFromLoopback(r *http.Request) bool {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// ServeHTTP implements http.Handler.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	vars := new(expvar.Map).Init()
	if err := m.collect(vars); err != nil {
		writeAdminFailure(w, err)
		return
	}
	limits := map[string]map[string]uint64{}
	if m.limits != nil {
		limits = m.limits()
	}
	vars.Set("limits", expvar.Func(func() any { return limits }))
	setUint(vars, "goroutines", uint64(runtime.NumGoroutine()))
	sample := []metrics.Sample{{Name: memoryMetric}}
	metrics.Read(sample)
	setUint(vars, "memory_bytes", sample[0].Value.Uint64())
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprintln(w, vars.String())
}

func collectEntry(vars *expvar.Map, s *hibiscuscoordination.EntrySnapshot, services []hibiscuscoordination.ServiceSnapshot) {
	c := s.Counters()
	setUint(vars, "configuration_version", s.Version())
	setUint(vars, "jobs_admitted", c.Jobs())
	setUint(vars, "jobs_running", uint64(s.Running()))
	setUint(vars, "job_records", uint64(s.Records()))
	setUint(vars, "job_bytes", uint64(s.Bytes()))
	setUint(vars, "tasks_admitted", c.Tasks())
	setUint(vars, "tasks_sent", c.Sent())
	setUint(vars, "task_moves", c.Moves())
	setUint(vars, "tasks_held", c.Held())
	setUint(vars, "tasks_in_rack", c.RackLocal())
	setUint(vars, "tasks_outside_rack", c.RackElsewhere())
	setUint(vars, "speed_changes", c.SpeedChanges())
	setUint(vars, "worker_messages", c.Messages())
	setUint(vars, "tasks_sent_to_leaving", c.LeavingPlacements())
	setUint(vars, "evacuation_revision", s.Evacuation().Revision())
	setUint(vars, "evacuated_domains", uint64(len(s.Evacuation().Domains())))
	setUint(vars, "evacuation_changes", s.Evacuations())
	setUint(vars, "forwards_open", uint64(s.Forwards()))
	setUint(vars, "recoveries_open", uint64(s.Recoveries()))
	setCounts(vars, "jobs_ended", hibiscusstate.JobComplete, hibiscusstate.JobCancelled, c.JobState)
	setCounts(vars, "outcomes", hibiscusstate.OutcomeFinished, hibiscusstate.OutcomeStalled, c.Outcome)
	setCounts(vars, "rejections", hibiscusstate.RejectionNoFreeSlot, hibiscusstate.RejectionStopped, c.Rejection)
	setHistogram(vars, "job_ms", s.JobTimes())
	setHistogram(vars, "place_ms", s.PlacementDelays())
	setRing(vars, "duty_ring", s.Ring())
	setHistogram(vars, "loop_delay_ms", s.LoopDelays())
	setSpeeds(vars, services)
	byService := new(expvar.Map).Init()
	vars.Set("services", byService)
	for _, b := range serviceBodies(services) {
		byService.Set(b.Service, expvar.Func(func() any { return b }))
	}
}

// speedBody is the state of a speed class.
type speedBody struct {
	Class   int     `json:"class"`
	Workers int     `json:"workers"`
	Speed   float64 `json:"speed"`
}

// setSpeeds sets a map with the speed classes of each service.
func setSpeeds(vars *expvar.Map, services []hibiscuscoordination.ServiceSnapshot) {
	byService := new(expvar.Map).Init()
	for i := range services {
		bodies := []speedBody{}
		for _, c := range services[i].Speeds() {
			bodies = append(bodies, speedBody{Class: c.Class(), Workers: c.Workers(), Speed: c.Speed()})
		}
		byService.Set(services[i].Name(), expvar.Func(func() any { return bodies }))
	}
	vars.Set("worker_speeds", byService)
}

func collectAgent(vars *expvar.Map, s *hibiscuscoordination.AgentSnapshot) {
	setUint(vars, "configuration_version", s.Version())
	setUint(vars, "slots", uint64(s.Slots()))
	setUint(vars, "tasks_running", uint64(s.Running()))
	setUint(vars, "tasks_waiting", uint64(s.Waiting()))
	setUint(vars, "tasks_started", s.Started())
	setUint(vars, "duplicate_orders", s.Duplicates())
	setUint(vars, "leases_raised", s.LeasesRaised())
	setUint(vars, "entry_messages", s.Messages())
	setUint(vars, "relative_run_time_permille", uint64(permille(s.RelativeRunTime())))
	setUint(vars, "task_records", uint64(s.Records()))
	setUint(vars, "task_bytes", uint64(s.Bytes()))
	vars.Set("leaving", expvar.Func(func() any { return s.Leaving() }))
	setUint(vars, "evacuation_revision", s.Evacuation())
	vars.Set("evacuated", expvar.Func(func() any { return s.Evacuated() }))
	vars.Set("drained", expvar.Func(func() any { return s.Drained() }))
	setCounts(vars, "outcomes", hibiscusstate.OutcomeFinished, hibiscusstate.OutcomeStalled, s.Outcome)
	setCounts(vars, "rejections", hibiscusstate.RejectionNoFreeSlot, hibiscusstate.RejectionStopped, s.Rejection)
	setHistogram(vars, "wait_ms", s.WaitTimes())
	setHistogram(vars, "run_ms", s.RunTimes())
	setRing(vars, "duty_ring", s.Ring())
	setHistogram(vars, "loop_delay_ms", s.LoopDelays())
}

func collectSessions(vars *expvar.Map, c hibiscuscoordination.SessionCounters) {
	setUint(vars, "sessions_open", uint64(c.Open()))
	setUint(vars, "sessions_opened", c.Opened())
	setUint(vars, "sessions_silent", c.Silent())
	setUint(vars, "sessions_refused", c.Refused())
	setUint(vars, "session_reconnects", c.Reconnects())
	setRing(vars, "session_rings", c.Rings())
}

func collectTable(vars *expvar.Map, c hibiscuscoordination.TableCounters) {
	setUint(vars, "table_reads", c.Reads())
	setUint(vars, "table_writes", c.Writes())
	setUint(vars, "table_errors", c.Errors())
}

func setUint(vars *expvar.Map, name string, v uint64) {
	vars.Set(name, expvar.Func(func() any { return v }))
}

// setCounts sets a map with one count for each value of an enum from first to last; zeros are included, so that every name
// is present before its first event.
func setCounts[T interface {
	~int
	fmt.Stringer
}](vars *expvar.Map, name string, first, last T, count func(T) uint64) {
	counts := new(expvar.Map).Init()
	for v := first; v <= last; v++ {
		setUint(counts, v.String(), count(v))
	}
	vars.Set(name, counts)
}

// setHistogram sets a map with the count of each bucket under its upper bound in milliseconds, and their sum.
func setHistogram(vars *expvar.Map, name string, h hibiscusstate.Histogram) {
	buckets := new(expvar.Map).Init()
	h.Buckets(func(bound time.Duration, count uint64) {
		label := "more"
		if bound > 0 {
			label = strconv.FormatInt(bound.Milliseconds(), 10)
		}
		setUint(buckets, label, count)
	})
	setUint(buckets, "sum_ms", uint64(h.Sum().Milliseconds()))
	vars.Set(name, buckets)
}

func setRing(vars *expvar.Map, name string, r hibiscuscoordination.RingSnapshot) {
	ring := new(expvar.Map).Init()
	setUint(ring, "depth", uint64(r.Depth()))
	setUint(ring, "max_depth", uint64(r.MaxDepth()))
	setUint(ring, "dropped", r.Dropped())
	vars.Set(name, ring)
}
