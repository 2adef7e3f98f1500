package hibiscuscoordination

import (
	"time"

	"hibiscusrouter/hibiscusstate"
)

// The snapshot of an agent, and the counters that other parts of a process fill in.

// AgentSnapshot is the state of an agent process.
type AgentSnapshot struct {
	version      uint64
	service      string
	slots        int
	running      int
	waiting      int
	leaving      bool
	drained      bool
	evacuated    bool
	evacuation   uint64
	started      uint64
	duplicates   uint64
	leasesRaised uint64
	messages     uint64
	records      int
	bytes        int
	outcomes     [hibiscusstate.OutcomeStalled + 1]uint64
	rejections   [hibiscusstate.RejectionStopped + 1]uint64
	ring         RingSnapshot
	loopDelays   hibiscusstate.Histogram
	waitTimes    hibiscusstate.Histogram
	runTimes     hibiscusstate.Histogram
	// relativeRunTime is the mean of run time / expected run time at speed 1, zero if unknown.
	relativeRunTime float64
}

// WaitTimes returns how long tasks waited at the agent before they were started.
func (s *AgentSnapshot) WaitTimes() hibiscusstate.Histogram { return s.waitTimes }

// RunTimes returns how long tasks ran, from the handover to a runner to its result.
func (s *AgentSnapshot) RunTimes() hibiscusstate.Histogram { return s.runTimes }

// RelativeRunTime returns the mean of run time / expected run time at speed 1 over the last runs, zero if unknown.
func (s *AgentSnapshot) RelativeRunTime() float64 { return s.relativeRunTime }

// Snapshot returns the state of the agent, or ErrStopped.
func (a *Agent) Snapshot() (*AgentSnapshot, error) {
	return runAndWait(a.loop, func(time.Time) *AgentSnapshot {
		m := a.manager
		return &AgentSnapshot{
			version: a.version(), service: m.service, slots: m.capacity.Slots(), running: m.Running(), waiting: m.Waiting(),
			leaving: m.leaving, drained: m.drained, evacuated: m.evacuated, evacuation: a.evacuated.set.Revision(),
			started: m.started, duplicates: m.duplicates, leasesRaised: m.leasesRaised,
			messages: m.messages, records: m.tasks.Len(), bytes: m.tasks.Bytes(), outcomes: m.outcomes, rejections: m.rejections,
			ring: a.loop.snapshot(), loopDelays: a.loop.monitor.delays, waitTimes: m.waitTimes, runTimes: m.runTimes,
			relativeRunTime: m.speed.relativeRunTime(),
		}
	})
}

// Ready reports whether the agent has an endpoint that is not leaving, and a session to at least one entry.
func (a *Agent) Ready() bool {
	ready, err := runAndWait(a.loop, func(time.Time) bool {
		return a.manager.capacity.Slots() > 0 && !a.manager.leaving && len(a.entries) > 0
	})
	return err == nil && ready
}

// Version returns the configuration version in force, zero for none.
func (s *AgentSnapshot) Version() uint64 { return s.version }

// Service returns the service of the endpoint, empty before its first announcement.
func (s *AgentSnapshot) Service() string { return s.service }

// Slots returns the number of slots of the endpoint, zero while there is none.
func (s *AgentSnapshot) Slots() int { return s.slots }

// Running returns the number of tasks that run at the endpoint.
func (s *AgentSnapshot) Running() int { return s.running }

// Waiting returns the number of tasks that wait for a slot.
func (s *AgentSnapshot) Waiting() int { return s.waiting }

// Leaving reports whether the endpoint accepts no new tasks.
func (s *AgentSnapshot) Leaving() bool { return s.leaving }

// Evacuated reports whether the failure domain of the agent is evacuated.
func (s *AgentSnapshot) Evacuated() bool { return s.evacuated }

// Evacuation returns the revision of the evacuated domains, zero before the first.
func (s *AgentSnapshot) Evacuation() uint64 { return s.evacuation }

// Drained reports whether an operator has drained the worker.
func (s *AgentSnapshot) Drained() bool { return s.drained }

// Started returns how many tasks were handed to a runner.
func (s *AgentSnapshot) Started() uint64 { return s.started }

// Duplicates returns how many orders were ignored because their task had been accepted before.
func (s *AgentSnapshot) Duplicates() uint64 { return s.duplicates }

// LeasesRaised returns how often the lease epoch of an entry was incremented after its lease had expired.
func (s *AgentSnapshot) LeasesRaised() uint64 { return s.leasesRaised }

// Messages returns the number of messages sent to entries.
func (s *AgentSnapshot) Messages() uint64 { return s.messages }

// Records returns the number of task records, including those of ended tasks.
func (s *AgentSnapshot) Records() int { return s.records }

// Bytes returns the size of the results that are retained for recovery.
func (s *AgentSnapshot) Bytes() int { return s.bytes }

// Outcome returns how many tasks ended with an outcome.
func (s *AgentSnapshot) Outcome(o hibiscusstate.Outcome) uint64 { return s.outcomes[o] }

// Rejection returns how many orders were rejected for a reason.
func (s *AgentSnapshot) Rejection(r hibiscusstate.Rejection) uint64 { return s.rejections[r] }

// LoopDelays returns the longest wait of each batch of the event loop's commands.
func (s *AgentSnapshot) LoopDelays() hibiscusstate.Histogram { return s.loopDelays }

// Ring returns the state of the event loop's ring.
func (s *AgentSnapshot) Ring() RingSnapshot { return s.ring }

// SessionCounters are the session totals of a process.
type SessionCounters struct {
	open       int
	opened     uint64
	reconnects uint64
	silent     uint64
	refused    uint64
	rings      RingSnapshot
}

// NewSessionCounters returns totals: sessions that are open now, opened so far, dialled again after a loss, closed because
// nothing was received, and refused in the handshake; rings is the state of all writers' rings.
func NewSessionCounters(open int, opened, reconnects, silent, refused uint64, rings RingSnapshot) SessionCounters {
	return SessionCounters{open: open, opened: opened, reconnects: reconnects, silent: silent, refused: refused, rings: rings}
}

// Open returns the number of sessions that are open.
func (c SessionCounters) Open() int { return c.open }

// Opened returns the number of sessions that were opened, by either end.
func (c SessionCounters) Opened() uint64 { return c.opened }

// Reconnects returns how often this end dialled again after a session was lost.
func (c SessionCounters) Reconnects() uint64 { return c.reconnects }

// Silent returns how many sessions this end closed because nothing was received.
func (c SessionCounters) Silent() uint64 { return c.silent }

// Refused returns how many connections were refused for a wrong shared key or a broken handshake.
func (c SessionCounters) Refused() uint64 { return c.refused }

// Rings returns the state of the writers' rings.
func (c SessionCounters) Rings() RingSnapshot { return c.rings }

// TableCounters are the totals of a process's calls to the table service.
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
