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
	// drainPollInterval is how often a stopping process looks whether its work is done.
	drainPollInterval = 20 * time.Millisecond
	// httpShutdownTimeout is how long answers that are being written may take at the end of a planned stop.
	httpShutdownTimeout = 10 * time.Second
)

// Entry is one entry process.
type Entry struct {
	settings      hibiscusprotocol.EntrySettings
	duty          *hibiscuscoordination.Entry
	network       hibiscustransport.Network
	bus           *hibiscustransport.Bus
	platform      *entryPlatform
	log           *slog.Logger
	drainOnce     sync.Once
	stopping      atomic.Bool
	refusingJobs  chan struct{}
	tableCounters func() hibiscuscoordination.TableCounters
	// droppedAuditEntries counts audit entries that were not written.
	droppedAuditEntries func() uint64
	adapter             *EntryAdapter
	adapterGoroutines   *adapterDuties
}

// EntryAdapter puts another protocol for callers, and another table service, in the place of the product's own.
type EntryAdapter struct {
	callers  http.Handler
	duties   []func(ctx context.Context)
	counters func() hibiscuscoordination.TableCounters
}

// NewEntryAdapter returns an adapter: callers serves them, duties run until the process has drained, and counters returns the
// totals of the table client.
func NewEntryAdapter(
	callers http.Handler, duties []func(ctx context.Context), counters func() hibiscuscoordination.TableCounters,
) *EntryAdapter {
	return &EntryAdapter{callers: callers, duties: duties, counters: counters}
}

// NewEntry returns an entry process that has not started; its incarnation must be new and random.
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
		settings: settings, duty: hibiscuscoordination.NewEntry(identity, event, log), network: network, bus: bus, log: log,
		refusingJobs:        make(chan struct{}),
		tableCounters:       func() hibiscuscoordination.TableCounters { return hibiscuscoordination.TableCounters{} },
		droppedAuditEntries: func() uint64 { return 0 },
	}
	if settings.PlatformAddress() != "" {
		e.platform = newEntryPlatform(settings, e.duty, network, log)
		e.tableCounters, e.droppedAuditEntries = e.platform.counters, e.platform.audit.Dropped
	}
	return e
}

// UseAdapter makes the process serve callers and use a table service in another protocol; it must be called before Run, and
// the settings must then name no platform_address of the product's own table service.
func (e *Entry) UseAdapter(a *EntryAdapter) {
	e.adapter = a
	e.platform = nil
	e.tableCounters = a.counters
	e.droppedAuditEntries = func() uint64 { return 0 }
}

// Draining says whether the process is stopping.
func (e *Entry) Draining() bool { return e.stopping.Load() }

// Duty returns the dispatch duty of the process.
func (e *Entry) Duty() *hibiscuscoordination.Entry { return e.duty }

// Run serves until ctx is done, then stops gracefully: it leaves the balancer, finishes its jobs and answers its callers.
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
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	linked, stopSessions := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	defer stopSessions()
	connector := hibiscustransport.NewConnector(e.network, e.settings.SharedKey(), hibiscustransport.NewSessionHandlers(
		e.duty.Hello, e.duty.PeerUp, e.duty.PeerMessage, e.duty.PeerDown), e.log)
	var duties, links, callersServed sync.WaitGroup
	var httpErr error
	if err := e.startPlatform(); err != nil {
		return errors.CombineErrors(err, errors.CombineErrors(callers.Close(), sessions.Close()))
	}
	duties.Go(e.bus.Run)
	duties.Go(e.duty.Run)
	links.Go(func() { connector.Accept(linked, sessions) })
	links.Go(func() { connector.Reconcile(linked, e.peerAddresses) })
	callersServed.Go(func() {
		httpErr = hibiscustransport.ServeHTTP(serving, callers, e.callersHandler(connector), httpShutdownTimeout)
	})
	if err := e.serveReadinessAndMetrics(serving, &callersServed, connector); err != nil {
		e.log.Error("entry: can't serve readiness and metrics", "cause", err.Error())
	}

	<-ctx.Done()
	e.drain()
	stopServing()
	callersServed.Wait()
	e.stopPlatform()
	stopSessions()
	links.Wait()
	e.duty.Stop()
	duties.Wait()
	e.log.Info("entry: stopped")
	return httpErr
}

// drain leaves the balancer and finishes what was admitted.
func (e *Entry) drain() {
	began := time.Now()
	e.beginDrain("the process was asked to stop")
	<-e.refusingJobs
	for !e.duty.Idle() {
		if limit := e.settings.StopTimeout(); limit > 0 && time.Since(began) > limit {
			e.abandon()
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// abandon ends what is still running when the time for a planned stop is over, so that callers get an answer.
func (e *Entry) abandon() {
	n, err := e.duty.Abandon("the process is stopping and could not finish the job")
	if err != nil {
		e.log.Warn("entry: jobs not ended", "cause", err.Error())
		return
	}
	e.log.Warn("entry: stop takes too long, running jobs are ended", "jobs", n)
}

// beginDrain lowers readiness at once, so that the balancer sends no more callers, and refuses new jobs after the drain time.
// A drain that an operator began before is not begun again.
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
			if err := e.duty.Drain(cause, stopBy); err != nil {
				e.log.Warn("entry: stopped before its drain was over", "cause", err.Error())
			}
		})
	})
}

// ready says whether the balancer should send callers here.
func (e *Entry) ready() bool { return !e.stopping.Load() && e.duty.Ready() }

func (e *Entry) router(connector *hibiscustransport.Connector) chi.Router {
	r := chi.NewRouter()
	r.Use(e.closeConnections)
	signer := hibiscusstate.NewKeySigner(e.settings.SharedKey())
	callers := hibiscusprotocol.NewCallerAPI(signer, e.duty.Submit, e.duty.IssueKeys, e.ready)
	callers.Mount(r)
	auth := hibiscusprotocol.NewAdminAuth(e.settings.ViewerToken(), e.settings.OperatorToken())
	drain := func(who, from string) { e.beginDrain("asked by " + who + " from " + from) }
	hibiscusprotocol.NewAdminAPI(auth, e.duty, e.ready, drain).Mount(r)
	e.metrics(connector, callers.Refused).MountEntry(r, auth)
	e.configurationAPI(auth).Mount(r)
	return r
}

func (e *Entry) metrics(
	connector *hibiscustransport.Connector, refused func(hibiscusstate.Refusal) uint64,
) *hibiscusprotocol.Metrics {
	return hibiscusprotocol.NewEntryMetrics(e.duty, hibiscusprotocol.NewEntryMetricsSeams(
		connector.Counters, e.tableCounters, refused, e.droppedAuditEntries, e.bus.Dropped))
}

// closeConnections makes callers open their next connection elsewhere while the entry stops, so that few connections are
// open when the server closes them: a request that crosses with the close gets no answer.
func (e *Entry) closeConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// peerAddresses returns the addresses of the other entries.
func (e *Entry) peerAddresses() []string {
	addresses := map[string]bool{}
	for _, seed := range e.settings.SeedEntries() {
		addresses[seed] = true
	}
	members, err := e.duty.Members()
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
