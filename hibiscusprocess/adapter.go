package hibiscusprocess

import (
	"context"
	"net/http"
	"sync"

	"github.com/go-chi/chi/v5"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscusstate"
	"hibiscusrouter/hibiscustransport"
)

// How a process runs with an adapter for the protocol of somebody else's platform, and what it serves beside its callers.

// adapterDuties are the running duties of an adapter.
type adapterDuties struct {
	cancel context.CancelFunc
	duties sync.WaitGroup
}

func startDuties(duties []func(ctx context.Context)) *adapterDuties {
	ctx, cancel := context.WithCancel(context.Background())
	a := &adapterDuties{cancel: cancel}
	for _, duty := range duties {
		a.duties.Go(func() { duty(ctx) })
	}
	return a
}

func (a *adapterDuties) stop() {
	a.cancel()
	a.duties.Wait()
}

func (e *Entry) startAdapter() error {
	if e.adapter == nil {
		return nil
	}
	if err := e.duty.HoldReady(); err != nil {
		return err
	}
	e.adapterGoroutines = startDuties(e.adapter.duties)
	return nil
}

func (e *Entry) stopAdapter() {
	if e.adapterGoroutines != nil {
		e.adapterGoroutines.stop()
	}
}

// callersHandler returns what callers reach: the product's own interface, or the adapter's.
func (e *Entry) callersHandler(connector *hibiscustransport.Connector) http.Handler {
	if e.adapter == nil {
		return e.router(connector)
	}
	return e.adapter.callers
}

// serveReadinessAndMetrics serves readiness and metrics on addresses of their own, where the settings name them. The product's own
// interface is beside the metrics when an adapter has the callers' address.
func (e *Entry) serveReadinessAndMetrics(ctx context.Context, served *sync.WaitGroup, connector *hibiscustransport.Connector) error {
	if address := e.settings.ReadyAddress(); address != "" {
		r := chi.NewRouter()
		hibiscusprotocol.MountReady(r, e.ready)
		if err := e.serveOn(ctx, served, address, r); err != nil {
			return err
		}
	}
	if address := e.settings.MetricsAddress(); address != "" {
		r := chi.NewRouter()
		e.metrics(connector, func(hibiscusstate.Refusal) uint64 { return 0 }).MountOpen(r)
		r.Mount("/", e.router(connector))
		return e.serveOn(ctx, served, address, r)
	}
	return nil
}

func (e *Entry) serveOn(ctx context.Context, served *sync.WaitGroup, address string, handler http.Handler) error {
	l, err := e.network.Listen(address)
	if err != nil {
		return err
	}
	served.Go(func() {
		if err := hibiscustransport.ServeHTTP(ctx, l, handler, httpShutdownTimeout); err != nil {
			e.log.Warn("entry: server ended", "address", address, "cause", err.Error())
		}
	})
	return nil
}

// AgentAdapter puts another protocol for the endpoint, and another table service, in the place of the product's own.
type AgentAdapter struct {
	mount      func(r chi.Router)
	execute    func(ctx context.Context, order hibiscusstate.Order) hibiscuscoordination.RunResult
	duties     []func(ctx context.Context)
	membership func(ctx context.Context)
}

// NewAgentAdapter returns an adapter: mount adds the routes of announcements, execute runs a task, duties run as long as the
// process, and membership tells the agent about entries.
func NewAgentAdapter(
	mount func(r chi.Router),
	execute func(ctx context.Context, order hibiscusstate.Order) hibiscuscoordination.RunResult,
	duties []func(ctx context.Context), membership func(ctx context.Context),
) *AgentAdapter {
	return &AgentAdapter{mount: mount, execute: execute, duties: duties, membership: membership}
}

// UseAdapter makes the process speak to its endpoint and to a table service in another protocol; it must be called before Run.
func (a *Agent) UseAdapter(adapter *AgentAdapter) { a.adapter = adapter }
