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

// endpointConnections bounds the connections to an endpoint; the users' endpoints take 64.
const endpointConnections = 64

// Agent is one agent process, beside its endpoint.
type Agent struct {
	settings hibiscusprotocol.AgentSettings
	duty     *hibiscuscoordination.Agent
	api      *hibiscusprotocol.EndpointAPI
	network  hibiscustransport.Network
	log      *slog.Logger
}

// NewAgent returns an agent process that has not started; its incarnation must be new and random.
func NewAgent(
	settings hibiscusprotocol.AgentSettings, incarnation hibiscusstate.Incarnation,
	network hibiscustransport.Network, log *slog.Logger,
) *Agent {
	a := &Agent{settings: settings, network: network, log: log}
	identity := hibiscuscoordination.NewIdentity(incarnation, settings.EndpointAddress(), settings.FailureDomain())
	client := hibiscustransport.NewHTTPClient(network, endpointConnections)
	a.api = hibiscusprotocol.NewEndpointAPI(client,
		func(service string, slots int) error { return a.duty.Announce(service, slots) },
		func() error { return a.duty.Leave() })
	a.duty = hibiscuscoordination.NewAgent(identity, a.api.Execute, log)
	return a
}

// Run serves until ctx is done, then stops gracefully: it takes no new work, finishes what it has and reports it.
func (a *Agent) Run(ctx context.Context) error {
	l, err := a.network.Listen(a.settings.EndpointAddress())
	if err != nil {
		return err
	}
	a.log.Info("agent: waiting for its endpoint", "address", a.settings.EndpointAddress())
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	connector := hibiscustransport.NewConnector(a.network, a.settings.Secret(), hibiscustransport.NewSessionHandlers(
		a.duty.Hello, a.duty.PeerUp, a.duty.PeerMessage, a.duty.PeerDown), a.log)
	r := chi.NewRouter()
	a.api.Mount(r)
	auth := hibiscusprotocol.NewAdminAuth(a.settings.ViewerToken(), "")
	hibiscusprotocol.NewAgentMetrics(a.duty, connector.Counters).MountAgent(r, auth, a.duty.Ready)
	var duties, links sync.WaitGroup
	var httpErr error
	duties.Go(a.duty.Run)
	links.Go(func() { connector.Reconcile(serving, a.wantedEntries) })
	if a.settings.PlatformAddress() != "" {
		duties.Go(func() { a.runMembership(serving) })
	}
	duties.Go(func() { httpErr = hibiscustransport.ServeHTTP(serving, l, r, httpGrace) })

	<-ctx.Done()
	a.leave()
	stopServing()
	links.Wait()
	a.duty.Stop()
	duties.Wait()
	a.log.Info("agent: stopped")
	return httpErr
}

func (a *Agent) leave() {
	if a.duty.Drain() != nil {
		return
	}
	for !a.duty.Drained() {
		time.Sleep(drainPoll)
	}
}

// wantedEntries returns the addresses of all entries that the agent has heard of.
func (a *Agent) wantedEntries() []string {
	addresses := map[string]bool{}
	for _, seed := range a.settings.SeedEntries() {
		addresses[seed] = true
	}
	members, err := a.duty.Members()
	if err != nil {
		return nil
	}
	for _, m := range members {
		addresses[m.Address()] = true
	}
	return keysOf(addresses)
}
