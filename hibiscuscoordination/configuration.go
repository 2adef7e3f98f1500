package hibiscuscoordination

import (
	"context"
	"log/slog"
	"maps"
	"time"

	"hibiscusrouter/hibiscusscheduling"
	"hibiscusrouter/hibiscusstate"
)

// The ConfigurationPoller of an entry reads the number of the current version from the table every second. It applies a higher
// version, which also pushes it to agents and other entries. So an accepted version is in force within one poll and one push,
// even if the entry that accepted it stops right after that.

const (
	configurationPollInterval = time.Second
	// peerVersionTimeout is how long a starting entry waits for a version from its peers when the table does not answer.
	peerVersionTimeout = time.Second
	// lostAgentRetention is how long an agent whose session was lost is still listed with its last version: an agent that is
	// disconnected from one entry still runs, and a version must not be reported as in force everywhere while that agent may
	// lack it.
	lostAgentRetention = time.Minute
)

// Edit is a new configuration text with the version that it was based on, its operator and the address that sent it.
type Edit struct {
	baseVersion uint64
	text        string
	document    *hibiscusstate.Document
	who         string
	from        string
}

// NewEdit returns an edit; baseVersion is zero for the first text.
func NewEdit(baseVersion uint64, text string, document *hibiscusstate.Document, who, from string) Edit {
	return Edit{baseVersion: baseVersion, text: text, document: document, who: who, from: from}
}

// BaseVersion returns the version that the edit was based on.
func (e Edit) BaseVersion() uint64 { return e.baseVersion }

// Text returns the new text.
func (e Edit) Text() string { return e.text }

// Document returns the new text, parsed.
func (e Edit) Document() *hibiscusstate.Document { return e.document }

// Who returns the name of the operator.
func (e Edit) Who() string { return e.who }

// From returns the address that the edit came from.
func (e Edit) From() string { return e.from }

// ProcessVersion is the version that one process has in force.
type ProcessVersion struct {
	role      Role
	address   string
	version   uint64
	connected bool
}

// Role returns the role of the process.
func (p ProcessVersion) Role() Role { return p.role }

// Address returns the host and port where the process listens.
func (p ProcessVersion) Address() string { return p.address }

// Version returns the version in force, zero for none.
func (p ProcessVersion) Version() uint64 { return p.version }

// Connected reports whether this entry has a session to the process; without one, the version is the last that was received.
func (p ProcessVersion) Connected() bool { return p.connected }

// lostAgent is an agent whose session ended while it was not leaving.
type lostAgent struct {
	address string
	version uint64
	until   time.Time
}

// ConfigurationPoller polls the table for new configuration versions.
type ConfigurationPoller struct {
	entry     *Entry
	current   func(ctx context.Context) (uint64, hibiscusscheduling.Evacuation, error)
	read      func(ctx context.Context, version uint64) (*hibiscusstate.Configuration, error)
	log       *slog.Logger
	tableDown bool
}

// NewConfigurationPoller returns a ConfigurationPoller; current returns the number of the current version in the table, zero
// for none, and the evacuated domains, and read returns one version.
func NewConfigurationPoller(
	entry *Entry, current func(ctx context.Context) (uint64, hibiscusscheduling.Evacuation, error),
	read func(ctx context.Context, version uint64) (*hibiscusstate.Configuration, error), log *slog.Logger,
) *ConfigurationPoller {
	return &ConfigurationPoller{entry: entry, current: current, read: read, log: log}
}

// Run polls until ctx is done. The entry becomes ready after the first answer of the table, or after peerVersionTimeout with
// the highest version that its peers sent: the table may be down for hours.
func (w *ConfigurationPoller) Run(ctx context.Context) {
	timer := time.AfterFunc(peerVersionTimeout, w.entry.releaseReady)
	defer timer.Stop()
	ticker := time.NewTicker(configurationPollInterval)
	defer ticker.Stop()
	for {
		if err := w.poll(ctx); err == nil {
			w.entry.releaseReady()
		}
		if w.entry.resendConfiguration() != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (w *ConfigurationPoller) poll(ctx context.Context) error {
	c, err := w.newerVersion(ctx)
	if err != nil {
		if !w.tableDown && ctx.Err() == nil {
			w.log.Warn("config: table does not answer, the version in force is kept", "cause", err.Error())
		}
		w.tableDown = true
		return err
	}
	if w.tableDown {
		w.log.Info("config: table answers again")
		w.tableDown = false
	}
	if c == nil {
		return nil
	}
	return w.entry.Configure(c)
}

// newerVersion returns the table's version if it is higher than the one in force.
func (w *ConfigurationPoller) newerVersion(ctx context.Context) (*hibiscusstate.Configuration, error) {
	version, evacuation, err := w.current(ctx)
	if err != nil {
		return nil, err
	}
	if evacuation.Revision() > 0 {
		if err := w.entry.Evacuate(evacuation); err != nil {
			return nil, err
		}
	}
	inForce, err := w.entry.Configuration()
	if err != nil || version == 0 || inForce != nil && inForce.Version() >= version {
		return nil, err
	}
	return w.read(ctx, version)
}

// HoldReady keeps the entry from being ready until the table has answered or peerVersionTimeout has passed.
func (e *Entry) HoldReady() error {
	return e.loop.post(func(time.Time) { e.readyHeld = true })
}

func (e *Entry) releaseReady() {
	// An error means that the process is stopping, which makes readiness irrelevant.
	_ = e.loop.post(func(time.Time) { e.readyHeld = false })
}

// resendConfiguration sends the version in force to every process that fetches none and reported a lower one: the push may have failed
// because the ring of the session's writer was full.
func (e *Entry) resendConfiguration() error {
	return e.loop.post(func(now time.Time) {
		maps.DeleteFunc(e.lostAgents, func(_ hibiscusstate.Incarnation, a lostAgent) bool { return now.After(a.until) })
		e.pushConfiguration()
	})
}

// pushConfiguration sends the version in force to the processes before revision 1 that have a lower one; the others fetch it.
func (e *Entry) pushConfiguration() {
	c := e.dispatcher.Configuration()
	if c == nil {
		return
	}
	e.eachPeer(func(p *Peer) {
		if p.Hello().Revision() == 0 && p.version < c.Version() {
			p.Send(NewConfigurationMessage(c))
		}
	})
}

// exchangeVersions reports the version in force to a process that has connected, and records the one in its hello. Its own hello may
// have been sent before the last change.
func (e *Entry) exchangeVersions(now time.Time, p *Peer) {
	c := e.dispatcher.Configuration()
	switch {
	case c == nil:
	case p.Hello().Revision() == 0 && p.Hello().Version() < c.Version():
		p.Send(NewConfigurationMessage(c))
	default:
		p.Send(NewInForceMessage(c.Version()))
	}
	e.recordReport(now, p, p.Hello().Version())
}

// applyConfiguration applies a version if it is higher than the one in force, and has it reported to all processes. It returns whether
// it did. source is the process from which the version came, or the table.
func (e *Entry) applyConfiguration(now time.Time, c *hibiscusstate.Configuration, source string) bool {
	if !e.dispatcher.Configure(now, c) {
		return false
	}
	if e.configuredAt.IsZero() {
		e.configuredAt = now
	}
	e.fetch.logInForce(e.log, now, c.Version(), source)
	e.reports.markChanged()
	return true
}

// handleConfiguration applies a version that another process sent, if it is higher.
func (e *Entry) handleConfiguration(now time.Time, p *Peer, c *hibiscusstate.Configuration) {
	e.recordVersion(p, c.Version())
	if !e.applyConfiguration(now, c, p.Hello().Address()) {
		p.Send(NewInForceMessage(e.version()))
	}
}

// recordVersion records the version that a process has in force, on all sessions to it.
func (e *Entry) recordVersion(p *Peer, version uint64) {
	p.recordVersion(version)
	for _, session := range e.peers[p.Hello().Incarnation()] {
		session.recordVersion(version)
	}
}

// addLostAgent records the last version of an agent whose session ended, unless the agent was leaving.
func (e *Entry) addLostAgent(now time.Time, p *Peer) {
	if !p.leaving {
		e.lostAgents[p.Hello().Incarnation()] = lostAgent{
			address: p.Hello().Address(), version: p.version, until: now.Add(lostAgentRetention),
		}
	}
}

// removeLostAgents removes the lost agents with the address of an agent that has connected, which may have restarted.
func (e *Entry) removeLostAgents(address string) {
	maps.DeleteFunc(e.lostAgents, func(_ hibiscusstate.Incarnation, a lostAgent) bool { return a.address == address })
}

// Processes returns the version in force in this entry, and then in every other connected or expected process.
func (e *Entry) Processes() ([]ProcessVersion, error) {
	return runAndWait(e.loop, func(time.Time) []ProcessVersion {
		list := []ProcessVersion{{role: RoleEntry, address: e.identity.address, version: e.version(), connected: true}}
		for _, sessions := range e.peers {
			list = append(list, ProcessVersion{RoleEntry, sessions[0].Hello().Address(), sessions[0].version, true})
		}
		for _, m := range e.members.expected() {
			if e.peers[m.incarnation] == nil && m.incarnation != e.identity.incarnation {
				list = append(list, ProcessVersion{role: RoleEntry, address: m.Address()})
			}
		}
		for _, p := range e.agents {
			list = append(list, ProcessVersion{RoleAgent, p.Hello().Address(), p.version, true})
		}
		for _, a := range e.lostAgents {
			list = append(list, ProcessVersion{role: RoleAgent, address: a.address, version: a.version})
		}
		return list
	})
}
