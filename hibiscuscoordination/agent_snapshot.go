package hibiscuscoordination

import (
	"time"

	"hibiscusrouter/hibiscusstate"
)

// The state of an agent, and the totals that other parts of a process fill in.

// AgentSnapshot is the state of an agent process.
type AgentSnapshot struct {
	version      uint64
	service      string
	slots        int
	running      int
	waiting      int
	leaving      bool
	drained      bool
	started      uint64
	duplicates   uint64
	leasesRaised uint64
	messages     uint64
	records      int
	bytes        int
	outcomes     [hibiscusstate.OutcomeStalled + 1]uint64
	rejections   [hibiscusstate.RejectionStopped + 1]uint64
	ring         RingSnapshot
	waitTimes    hibiscusstate.Histogram
	runTimes     hibiscusstate.Histogram
}

// WaitTimes returns how long tasks waited at the agent before they were started.
func (s *AgentSnapshot) WaitTimes() hibiscusstate.Histogram { return s.waitTimes }

// RunTimes returns how long the endpoint had tasks.
func (s *AgentSnapshot) RunTimes() hibiscusstate.Histogram { return s.runTimes }

// Snapshot returns the state of the agent, or ErrStopped.
func (a *Agent) Snapshot() (*AgentSnapshot, error) {
	return call(a.loop, func(time.Time) *AgentSnapshot {
		k := a.manager
		return &AgentSnapshot{
			version: a.version(), service: k.service, slots: k.capacity.Slots(), running: k.Running(), waiting: k.Waiting(),
			leaving: k.leaving, drained: k.drained, started: k.started, duplicates: k.duplicates, leasesRaised: k.leasesRaised,
			messages: k.messages, records: k.tasks.Len(), bytes: k.tasks.Bytes(), outcomes: k.outcomes, rejections: k.rejections,
			ring: a.loop.snapshot(), waitTimes: k.waitTimes, runTimes: k.runTimes,
		}
	})
}

// Ready says whether the agent has an endpoint that is not leaving, and a session to at least one entry.
func (a *Agent) Ready() bool {
	ready, err := call(a.loop, func(time.Time) bool {
		return a.manager.capacity.Slots() > 0 && !a.manager.leaving && len(a.entries) > 0
	})
	return err == nil && ready
}

// Version returns the configuration version in force, zero for none.
func (s *AgentSnapshot) Version() uint64 { return s.version }

// Service returns the service of the endpoint, empty before its first announcement.
func (s *AgentSnapshot) Service() string { return s.service }

// Slots returns how many tasks the endpoint runs at once, zero while it is gone.
func (s *AgentSnapshot) Slots() int { return s.slots }

// Running returns the number of tasks that the endpoint has.
func (s *AgentSnapshot) Running() int { return s.running }

// Waiting returns the number of tasks that wait for a slot.
func (s *AgentSnapshot) Waiting() int { return s.waiting }

// Leaving says whether the endpoint is going away.
func (s *AgentSnapshot) Leaving() bool { return s.leaving }

// Drained says whether an operator has taken the worker out.
func (s *AgentSnapshot) Drained() bool { return s.drained }

// Started returns how many tasks were handed to the endpoint.
func (s *AgentSnapshot) Started() uint64 { return s.started }

// Duplicates returns how many orders were ignored because their task was already taken.
func (s *AgentSnapshot) Duplicates() uint64 { return s.duplicates }

// LeasesRaised returns how often an entry came back after its lease had ended.
func (s *AgentSnapshot) LeasesRaised() uint64 { return s.leasesRaised }

// Messages returns the number of messages sent to entries.
func (s *AgentSnapshot) Messages() uint64 { return s.messages }

// Records returns the number of tasks that are remembered.
func (s *AgentSnapshot) Records() int { return s.records }

// Bytes returns the size of the results that are kept for recovery.
func (s *AgentSnapshot) Bytes() int { return s.bytes }

// Outcome returns how many tasks ended with an outcome.
func (s *AgentSnapshot) Outcome(o hibiscusstate.Outcome) uint64 { return s.outcomes[o] }

// Rejection returns how many orders were not taken for a reason.
func (s *AgentSnapshot) Rejection(r hibiscusstate.Rejection) uint64 { return s.rejections[r] }

// Ring returns the state of the duty's ring.
func (s *AgentSnapshot) Ring() RingSnapshot { return s.ring }

// SessionCounters are the totals of the sessions of a process.
type SessionCounters struct {
	open       int
	opened     uint64
	reconnects uint64
	silent     uint64
	refused    uint64
	rings      RingSnapshot
}

// NewSessionCounters returns totals: sessions open now, opened so far, dialled again after a loss, closed for silence, and
// refused in the handshake; rings is the state of all writers' rings.
func NewSessionCounters(open int, opened, reconnects, silent, refused uint64, rings RingSnapshot) SessionCounters {
	return SessionCounters{open: open, opened: opened, reconnects: reconnects, silent: silent, refused: refused, rings: rings}
}

// Open returns the number of sessions that are open.
func (c SessionCounters) Open() int { return c.open }

// Opened returns the number of sessions that were opened, by either end.
func (c SessionCounters) Opened() uint64 { return c.opened }

// Reconnects returns how often this end opened a session again after one was lost.
func (c SessionCounters) Reconnects() uint64 { return c.reconnects }

// Silent returns how many sessions this end closed because it received nothing.
func (c SessionCounters) Silent() uint64 { return c.silent }

// Refused returns how many connections were refused for a wrong shared key or a broken handshake.
func (c SessionCounters) Refused() uint64 { return c.refused }

// Rings returns the state of the writers' rings.
func (c SessionCounters) Rings() RingSnapshot { return c.rings }

// TableCounters are the totals of a process's use of the table service.
type TableCounters struct {
	reads  uint64
	writes uint64
	errors uint64
}

// NewTableCounters returns totals of reads, writes and failed calls.
func NewTableCounters(reads, writes, errors uint64) TableCounters {
	return TableCounters{reads: reads, writes: writes, errors: errors}
}

// Reads returns the number of reads that were sent.
func (c TableCounters) Reads() uint64 { return c.reads }

// Writes returns the number of transactions that were sent.
func (c TableCounters) Writes() uint64 { return c.writes }

// Errors returns the number of calls that failed or got no answer.
func (c TableCounters) Errors() uint64 { return c.errors }
