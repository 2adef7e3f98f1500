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

// Processes with an adapter for the protocols of an external platform, and the listeners for readiness and metrics.

// adapterGoroutines are the running goroutines of an adapter.
type adapterGoroutines struct {
	cancel context.CancelFunc
	group  sync.WaitGroup
}

func startGoroutines(goroutines []func(ctx context.Context)) *adapterGoroutines {
	ctx, cancel := context.WithCancel(context.Background())
	a := &adapterGoroutines{cancel: cancel}
	for _, run := range goroutines {
		a.group.Go(func() { run(ctx) })
	}
	return a
}

func (a *adapterGoroutines) stop() {
	a.cancel()
	a.group.Wait()
}

func (e *Entry) startAdapter() error {
	if e.adapter == nil {
		return nil
	}
	if err := e.coordination.HoldReady(); err != nil {
		return err
	}
	e.adapterGoroutines = startGoroutines(e.adapter.goroutines)
	return nil
}

func (e *Entry) stopAdapter() {
	if e.adapterGoroutines != nil {
		e.adapterGoroutines.stop()
	}
}

// callersHandler returns the handler for callers: the adapter's, or the product's own without an adapter.
func (e *Entry) callersHandler(connector *hibiscustransport.Connector) http.Handler {
	if e.adapter == nil {
		return e.router(connector)
	}
	return e.adapter.callers
}

// serveReadinessAndMetrics serves readiness and metrics on separate addresses if the settings have them. The product's own API is
// served on the metrics address too, because an adapter may serve the callers' address.
func (e *Entry) serveReadinessAndMetrics(ctx context.Context, servers *sync.WaitGroup, connector *hibiscustransport.Connector) error {
	if address := e.settings.ReadyAddress(); address != "" {
		r := chi.NewRouter()
		hibiscusprotocol.MountReady(r, e.ready)
		if err := e.serveOn(ctx, servers, address, "readiness", r); err != nil {
			return err
		}
	}
	if address := e.settings.MetricsAddress(); address != "" {
		r := chi.NewRouter()
		e.metrics(connector, func(hibiscusstate.Refusal) uint64 { return 0 }).MountOpen(r)
		r.Mount("/", e.router(connector))
		return e.serveOn(ctx, servers, address, "metrics", r)
	}
	return nil
}

func (e *Entry) serveOn(ctx context.Context, servers *sync.WaitGroup, address, name string, handler http.Handler) error {
	l, err := e.network.Listen(address)
	if err != nil {
		return err
	}
	servers.Go(func() {
		if err := hibiscustransport.ServeHTTP(ctx, e.guards.Operators(l, name), handler, httpShutdownTimeout); err != nil {
			e.log.Warn("entry: server ended", "address", address, "cause", err.Error())
		}
	})
	return nil
}

// AgentAdapter replaces the product's protocols for the endpoint and for the table service.
type AgentAdapter struct {
	mount      func(r chi.Router)
	execute    func(ctx context.Context, order hibiscusstate.Order) hibiscuscoordination.RunResult
	goroutines []func(ctx context.Context)
	membership func(ctx context.Context)
}

// NewAgentAdapter returns an adapter: mount adds the routes for announcements, execute runs a task, goroutines
// run until the agent has stopped, and membership passes the addresses of entries to the agent.
func NewAgentAdapter(
	mount func(r chi.Router),
	execute func(ctx context.Context, order hibiscusstate.Order) hibiscuscoordination.RunResult,
	goroutines []func(ctx context.Context), membership func(ctx context.Context),
) *AgentAdapter {
	return &AgentAdapter{mount: mount, execute: execute, goroutines: goroutines, membership: membership}
}

// UseAdapter sets the protocols for the endpoint and the table service; it must be called before Run.
func (a *Agent) UseAdapter(adapter *AgentAdapter) { a.adapter = adapter }
