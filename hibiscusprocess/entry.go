package hibiscusprocess

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscusstate"
	"hibiscusrouter/hibiscustransport"
)

const (
	// drainPollInterval is the interval at which a stopping process checks whether it is idle.
	drainPollInterval = 20 * time.Millisecond
	// abandonTimeout bounds the wait for the answers of jobs that are ended at a stop: agents have 50 ms to report which tasks they
	// have not started.
	abandonTimeout = 150 * time.Millisecond
	// httpShutdownTimeout bounds the time for requests in flight at the end of a graceful stop.
	httpShutdownTimeout = 10 * time.Second
)

// Entry is an entry process.
type Entry struct {
	clock        *hibiscuscoordination.Clock
	settings     hibiscusprotocol.EntrySettings
	coordination *hibiscuscoordination.Entry
	network      hibiscustransport.Network
	bus          *hibiscustransport.Bus
	platform     *entryPlatform
	log          *slog.Logger
	drainOnce    sync.Once
	stopping     atomic.Bool
	// refusingJobs is closed when the drain time is over and new jobs are refused.
	refusingJobs  chan struct{}
	tableCounters func() hibiscuscoordination.TableCounters
	// droppedAuditEntries returns the number of audit entries that were not written.
	droppedAuditEntries func() uint64
	adapter             *EntryAdapter
	adapterGoroutines   *adapterGoroutines
	guards              *hibiscustransport.Guards
}

// EntryAdapter replaces the product's protocols for callers and for the table service.
type EntryAdapter struct {
	callers       http.Handler
	goroutines    []func(ctx context.Context)
	tableCounters func() hibiscuscoordination.TableCounters
}

// NewEntryAdapter returns an adapter: callers handles the requests of callers, goroutines run until the process has drained, and
// tableCounters returns the counters of the client of the table service.
func NewEntryAdapter(
	callers http.Handler, goroutines []func(ctx context.Context), tableCounters func() hibiscuscoordination.TableCounters,
) *EntryAdapter {
	return &EntryAdapter{callers: callers, goroutines: goroutines, tableCounters: tableCounters}
}

// NewEntry returns an entry process that is not running yet; its incarnation must be new and random.
func NewEntry(
	settings hibiscusprotocol.EntrySettings, incarnation hibiscusstate.Incarnation,
	network hibiscustransport.Network, log *slog.Logger,
) *Entry {
	identity := hibiscuscoordination.NewIdentity(incarnation, settings.AdvertisedAddress(), settings.FailureDomain()).
		WithCallerAddress(settings.CallerAddress())
	bus := hibiscustransport.NewBus(log)
	event := func(event hibiscuscoordination.Event) {
		log.Info("audit: "+event.Kind().String(), "subject", event.Subject(), "cause", event.Cause())
		bus.Publish(event)
	}
	e := &Entry{
		settings: settings, coordination: hibiscuscoordination.NewEntry(identity, event, log), network: network, bus: bus, log: log,
		clock:               hibiscustransport.NewClock(),
		guards:              newGuards(settings.Limits(), log),
		refusingJobs:        make(chan struct{}),
		tableCounters:       func() hibiscuscoordination.TableCounters { return hibiscuscoordination.TableCounters{} },
		droppedAuditEntries: func() uint64 { return 0 },
	}
	e.coordination.SetClock(e.clock)
	e.coordination.SetProcessorTime(hibiscustransport.ProcessorTime)
	e.coordination.SetFarFactor(settings.FarFactor())
	if memory := settings.Limits().Memory(); memory > 0 {
		e.coordination.SetMaxRecordBytes(int(memory / recordShare))
	}
	if settings.PlatformAddress() != "" {
		e.platform = newEntryPlatform(settings, e.coordination, network, log)
		e.tableCounters, e.droppedAuditEntries = e.platform.tableCounters, e.platform.auditWriter.Dropped
	}
	return e
}

// UseAdapter makes the entry use the adapter instead of the product's protocols for callers and for the table service. It must be
// called before Run. platform_address is then the address of the adapter's service. No audit entries are dropped, as an entry with
// an adapter writes none.
func (e *Entry) UseAdapter(a *EntryAdapter) {
	e.adapter = a
	e.platform = nil
	e.tableCounters = a.tableCounters
	e.droppedAuditEntries = func() uint64 { return 0 }
}

// Draining reports whether the process is stopping.
func (e *Entry) Draining() bool { return e.stopping.Load() }

// Coordination returns the coordination part of the process.
func (e *Entry) Coordination() *hibiscuscoordination.Entry { return e.coordination }

// Run serves until ctx is done, then stops gracefully: it lowers its readiness, finishes its jobs and answers its callers.
func (e *Entry) Run(ctx context.Context) error {
	callers, err := e.network.Listen(e.settings.CallerAddress())
	if err != nil {
		return err
	}
	sessions, err := e.network.Listen(e.settings.SessionAddress())
	if err != nil {
		return errors.CombineErrors(err, callers.Close())
	}
	e.log.Info("entry: serving callers", "address", e.settings.CallerAddress())
	return e.serve(ctx, callers, sessions)
}

func (e *Entry) serve(ctx context.Context, callers, sessions net.Listener) error {
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	sessionCtx, stopSessions := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	defer stopSessions()
	connector := hibiscustransport.NewConnector(e.network, e.settings.SharedKey(), hibiscustransport.NewSessionHandlers(
		e.coordination.Hello, e.coordination.PeerUp, e.coordination.PeerMessage, e.coordination.PeerDown).
		WithClock(e.clock.Now), e.log)
	var goroutines, sessionGoroutines, servers sync.WaitGroup
	var httpErr error
	if err := e.startPlatform(); err != nil {
		return errors.CombineErrors(err, errors.CombineErrors(callers.Close(), sessions.Close()))
	}
	goroutines.Go(e.bus.Run)
	goroutines.Go(e.coordination.Run)
	sessionGoroutines.Go(func() { connector.Accept(sessionCtx, sessions) })
	sessionGoroutines.Go(func() { connector.Reconcile(sessionCtx, e.peerAddresses) })
	servers.Go(func() {
		guarded := e.guards.Callers(callers, e.requestLimits)
		httpErr = hibiscustransport.ServeHTTP(serveCtx, guarded, e.callersHandler(connector), httpShutdownTimeout)
	})
	if err := e.serveReadinessAndMetrics(serveCtx, &servers, connector); err != nil {
		e.log.Error("entry: can't serve readiness and metrics", "cause", err.Error())
	}

	<-ctx.Done()
	e.drain()
	stopServing()
	servers.Wait()
	e.stopPlatform()
	stopSessions()
	sessionGoroutines.Wait()
	e.coordination.Stop()
	goroutines.Wait()
	e.log.Info("entry: stopped")
	return httpErr
}

// drain lowers readiness and waits for the admitted jobs, at most for the stop timeout. Jobs that can be finished in time are admitted
// until none is left; then none is admitted any more, and those of the last moment are waited for.
func (e *Entry) drain() {
	began := time.Now()
	e.beginDrain("the process was asked to stop")
	<-e.refusingJobs
	e.awaitIdle(began)
	if err := e.coordination.RefuseJobs(); err != nil {
		e.log.Warn("entry: stopped before it refused jobs", "cause", err.Error())
	}
	e.awaitIdle(began)
}

// awaitIdle waits for the admitted jobs of an entry whose stop began at the given time, and ends them after the stop timeout.
func (e *Entry) awaitIdle(began time.Time) {
	for !e.coordination.Idle() {
		if limit := e.settings.StopTimeout(); limit > 0 && time.Since(began) > limit {
			e.abandon()
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// abandon ends the jobs that still run after the stop timeout, so that their callers get an answer.
func (e *Entry) abandon() {
	n, err := e.coordination.Abandon("the process is stopping and could not finish the job")
	if err != nil {
		e.log.Warn("entry: jobs not ended", "cause", err.Error())
		return
	}
	e.log.Warn("entry: stop takes too long, running jobs are ended", "jobs", n)
	for began := time.Now(); !e.coordination.Idle() && time.Since(began) < abandonTimeout; {
		time.Sleep(drainPollInterval)
	}
}

// beginDrain lowers readiness immediately, so that the load balancer stops sending requests, and refuses new jobs after the drain
// time. Only the first call has an effect: an operator may have started the drain before the process is asked to stop.
func (e *Entry) beginDrain(cause string) {
	e.drainOnce.Do(func() {
		e.log.Info("entry: draining", "cause", cause)
		e.stopping.Store(true)
		var stopBy time.Time
		if limit := e.settings.StopTimeout(); limit > 0 {
			stopBy = time.Now().Add(limit)
		}
		time.AfterFunc(e.settings.DrainTime(), func() {
			defer close(e.refusingJobs)
			if err := e.coordination.Drain(cause, stopBy); err != nil {
				e.log.Warn("entry: stopped before its drain was over", "cause", err.Error())
			}
		})
	})
}

// ready reports whether the load balancer should send requests to this entry.
func (e *Entry) ready() bool { return !e.stopping.Load() && e.coordination.Ready() }

func (e *Entry) router(connector *hibiscustransport.Connector) chi.Router {
	r := chi.NewRouter()
	r.Use(e.closeConnections)
	signer := hibiscusstate.NewKeySigner(e.settings.SharedKey())
	callers := hibiscusprotocol.NewCallerAPI(signer, e.coordination.Submit, e.coordination.IssueKeys, e.ready)
	callers.Mount(r)
	auth := hibiscusprotocol.NewAdminAuth(e.settings.ViewerToken(), e.settings.OperatorToken())
	drain := func(who, from string) { e.beginDrain("asked by " + who + " from " + from) }
	hibiscusprotocol.NewAdminAPI(auth, e.coordination, e.ready, drain).Mount(r)
	e.metrics(connector, callers.Refused).MountEntry(r, auth)
	e.configurationAPI(auth).Mount(r)
	e.evacuationAPI(auth).Mount(r)
	return r
}

func (e *Entry) metrics(
	connector *hibiscustransport.Connector, refused func(hibiscusstate.Refusal) uint64,
) *hibiscusprotocol.Metrics {
	return hibiscusprotocol.NewEntryMetrics(e.coordination, hibiscusprotocol.NewEntryMetricsSeams(
		connector.Counters, e.tableCounters, refused, e.droppedAuditEntries, e.bus.Dropped)).WithLimits(e.guards.Counters)
}

// closeConnections closes connections after their next answer while the entry stops, so that few are open when the server shuts
// down: those get a refusal then.
func (e *Entry) closeConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// peerAddresses returns the addresses of the other entries: seed entries and members.
func (e *Entry) peerAddresses() []string {
	addresses := map[string]bool{}
	for _, seed := range e.settings.SeedEntries() {
		addresses[seed] = true
	}
	members, err := e.coordination.Members()
	if err != nil {
		return nil
	}
	for _, m := range members {
		addresses[m.Address()] = true
	}
	delete(addresses, e.settings.SessionAddress())
	delete(addresses, e.settings.AdvertisedAddress())
	return keysOf(addresses)
}

func keysOf(set map[string]bool) []string {
	keys := make([]string, 0, len(set))
	for k := range set {
		keys = append(keys, k)
	}
	return keys
}
