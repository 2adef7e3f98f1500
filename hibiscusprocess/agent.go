package hibiscusprocess

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscusstate"
	"hibiscusrouter/hibiscustransport"
)

// endpointConnections bounds the connections to an endpoint; the users' endpoints accept 64.
const endpointConnections = 64

// Agent is an agent process. It runs on the VM of its endpoint.
type Agent struct {
	settings     hibiscusprotocol.AgentSettings
	coordination *hibiscuscoordination.Agent
	endpointAPI  *hibiscusprotocol.EndpointAPI
	network      hibiscustransport.Network
	log          *slog.Logger
	adapter      *AgentAdapter
	clock        *hibiscuscoordination.Clock
	guards       *hibiscustransport.Guards
}

// NewAgent returns an agent process that is not running yet; its incarnation must be new and random.
func NewAgent(
	settings hibiscusprotocol.AgentSettings, incarnation hibiscusstate.Incarnation,
	network hibiscustransport.Network, log *slog.Logger,
) *Agent {
	a := &Agent{settings: settings, network: network, log: log, clock: hibiscustransport.NewClock(), guards: newGuards(settings.Limits(), log)}
	identity := hibiscuscoordination.NewIdentity(incarnation, settings.EndpointAddress(), settings.FailureDomain())
	client := hibiscustransport.NewHTTPClient(network, endpointConnections)
	a.endpointAPI = hibiscusprotocol.NewEndpointAPI(client,
		func(service string, resources hibiscusstate.Resources) error {
			return a.coordination.Announce(service, resources)
		},
		func() error { return a.coordination.Leave() })
	a.coordination = hibiscuscoordination.NewAgent(identity, a.execute, log)
	a.coordination.SetClock(a.clock)
	a.coordination.SetProcessorTime(hibiscustransport.ProcessorTime)
	return a
}

// Coordination returns the coordination part of the process.
func (a *Agent) Coordination() *hibiscuscoordination.Agent { return a.coordination }

func (a *Agent) execute(ctx context.Context, order hibiscusstate.Order) hibiscuscoordination.RunResult {
	if a.adapter != nil {
		return a.adapter.execute(ctx, order)
	}
	return a.endpointAPI.Execute(ctx, order)
}

// Run serves until ctx is done, then stops gracefully: it accepts no new tasks, finishes the running ones and reports their
// results.
func (a *Agent) Run(ctx context.Context) error {
	l, err := a.network.Listen(a.settings.EndpointAddress())
	if err != nil {
		return err
	}
	a.log.Info("agent: waiting for the endpoint's announcement", "address", a.settings.EndpointAddress())
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	connector := hibiscustransport.NewConnector(a.network, a.settings.SharedKey(), hibiscustransport.NewSessionHandlers(
		a.coordination.Hello, a.coordination.PeerUp, a.coordination.PeerMessage, a.coordination.PeerDown).
		WithClock(a.clock.Now), a.log)
	r := chi.NewRouter()
	if a.adapter == nil {
		a.endpointAPI.Mount(r)
	} else {
		a.adapter.mount(r)
	}
	auth := hibiscusprotocol.NewAdminAuth(a.settings.ViewerToken(), "")
	metrics := hibiscusprotocol.NewAgentMetrics(a.coordination, connector.Counters).WithLimits(a.guards.Counters)
	metrics.MountAgent(r, auth, a.coordination.Ready)
	var goroutines, sessionGoroutines sync.WaitGroup
	var httpErr error
	goroutines.Go(a.coordination.Run)
	sessionGoroutines.Go(func() { connector.Reconcile(serveCtx, a.entryAddresses) })
	adapterGoroutines := startGoroutines(nil)
	switch {
	case a.adapter != nil:
		adapterGoroutines = startGoroutines(a.adapter.goroutines)
		goroutines.Go(func() { a.adapter.membership(serveCtx) })
	case a.settings.PlatformAddress() != "":
		goroutines.Go(func() { a.runMembership(serveCtx) })
	}
	if err := a.serveMetrics(serveCtx, &goroutines, metrics); err != nil {
		a.log.Error("agent: can't serve metrics", "cause", err.Error())
	}
	goroutines.Go(func() { httpErr = hibiscustransport.ServeHTTP(serveCtx, a.guards.Workers(l), r, httpShutdownTimeout) })

	<-ctx.Done()
	a.drain()
	stopServing()
	sessionGoroutines.Wait()
	a.coordination.Stop()
	adapterGoroutines.stop()
	goroutines.Wait()
	a.log.Info("agent: stopped")
	return httpErr
}

func (a *Agent) drain() {
	if a.coordination.Drain() != nil {
		return
	}
	began, stopped := time.Now(), false
	for !a.coordination.Drained() {
		if limit := a.settings.StopTimeout(); limit > 0 && !stopped && time.Since(began) > limit {
			stopped = true
			a.log.Warn("agent: stop takes too long, running tasks are stopped")
			if a.coordination.StopAll() != nil {
				return
			}
		}
		time.Sleep(drainPollInterval)
	}
}

func (a *Agent) serveMetrics(ctx context.Context, goroutines *sync.WaitGroup, metrics *hibiscusprotocol.Metrics) error {
	address := a.settings.MetricsAddress()
	if address == "" {
		return nil
	}
	l, err := a.network.Listen(address)
	if err != nil {
		return err
	}
	r := chi.NewRouter()
	metrics.MountOpen(r)
	goroutines.Go(func() {
		if err := hibiscustransport.ServeHTTP(ctx, a.guards.Operators(l, "metrics"), r, httpShutdownTimeout); err != nil {
			a.log.Warn("agent: metrics server ended", "cause", err.Error())
		}
	})
	return nil
}

// entryAddresses returns the addresses of the seed entries and of all members that are known to the agent.
func (a *Agent) entryAddresses() []string {
	addresses := map[string]bool{}
	for _, seed := range a.settings.SeedEntries() {
		addresses[seed] = true
	}
	members, err := a.coordination.Members()
	if err != nil {
		return nil
	}
	for _, m := range members {
		addresses[m.Address()] = true
	}
	return keysOf(addresses)
}
