package hibiscuscapacity

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusstate"
	"hibiscusrouter/hibiscustransport"
)

// Agents for measurements run the production agent and its sessions, but finish each task themselves, at once or after a given
// time. The HTTP requests between an agent and its endpoint are a cost of the agent, and would hide that of the entry.

// announceInterval is the interval between the announcements of the simulated endpoint, the same as that of a real one.
const announceInterval = time.Second

var finishedOutput = []byte(`{"ok":true}`)

// Agents are the agents without endpoints in this process.
type Agents struct {
	goroutines sync.WaitGroup
}

// AgentsSettings configure the capacity of the agents and the entries that they connect to.
type AgentsSettings struct {
	count   int
	service string
	slots   int
	runTime time.Duration
	secret  []byte
	entries []string
	log     *slog.Logger
}

// NewAgentsSettings returns settings for count agents that each open a session to each of the entries' session addresses.
func NewAgentsSettings(count int, service string, slots int, secret []byte, entries []string, log *slog.Logger) AgentsSettings {
	return AgentsSettings{count: count, service: service, slots: slots, secret: secret, entries: entries, log: log}
}

// WithRunTime returns the settings with the run time of each task, zero to finish at once.
func (s AgentsSettings) WithRunTime(runTime time.Duration) AgentsSettings {
	s.runTime = runTime
	return s
}

// StartAgents runs agents until ctx is done.
func StartAgents(ctx context.Context, network hibiscustransport.Network, settings AgentsSettings) *Agents {
	a := &Agents{}
	for i := range settings.count {
		a.start(ctx, network, settings, i)
	}
	return a
}

// Wait returns when all agents have ended.
func (a *Agents) Wait() { a.goroutines.Wait() }

func (a *Agents) start(ctx context.Context, network hibiscustransport.Network, settings AgentsSettings, i int) {
	identity := hibiscuscoordination.NewIdentity(hibiscusstate.Incarnation(rand.Uint64()), fmt.Sprintf("127.0.0.1:%d", 50_000+i), "a")
	agent := hibiscuscoordination.NewAgent(identity, settings.execute, settings.log)
	connector := hibiscustransport.NewConnector(network, settings.secret, hibiscustransport.NewSessionHandlers(
		agent.Hello, agent.PeerUp, agent.PeerMessage, agent.PeerDown), settings.log)
	a.goroutines.Go(agent.Run)
	a.goroutines.Go(func() { settings.announce(ctx, agent) })
	a.goroutines.Go(func() {
		connector.Reconcile(ctx, func() []string { return settings.entries })
		agent.Stop()
	})
}

func (s AgentsSettings) execute(ctx context.Context, _ hibiscusstate.Order) hibiscuscoordination.RunResult {
	if s.runTime > 0 {
		select {
		case <-ctx.Done():
			return hibiscuscoordination.NewRunResult(hibiscusstate.OutcomeStopped, nil, "the task was stopped while it ran")
		case <-time.After(s.runTime):
		}
	}
	return hibiscuscoordination.NewRunResult(hibiscusstate.OutcomeFinished, finishedOutput, "")
}

func (s AgentsSettings) announce(ctx context.Context, agent *hibiscuscoordination.Agent) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for agent.Announce(s.service, hibiscusstate.NewResources(s.slots, 0, 0)) == nil {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
