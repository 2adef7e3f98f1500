package hibiscuscoordination

import (
	"log/slog"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// A process fetches a version of the configuration from one process that has it. Every process reports the version that it has in
// force, in its hello and after each change, and one that lacks it asks for it. With hundreds of routes a version is 50 KB: when each
// entry sent it to each process that opened a session, an agent that restarted got a dozen copies. With 14 entries and 76 agents they
// filled links of 25 Mbit/s, so that sessions were closed as silent and opened again.
//
// Entries are ranked by a rendezvous hash with the process, so that the processes spread over the entries, whichever of them
// reports a version first.

const (
	// fetchDelay is how long a process collects reports before it asks: all entries read a version at the same moment.
	fetchDelay = 20 * time.Millisecond
	// tableReadDelay is how long an entry waits for its own read of the table before it asks another process.
	tableReadDelay = 250 * time.Millisecond
	// rankDelay is how long a process waits beyond that for a report of the entry that ranks first. It covers an entry that fetches
	// the version itself.
	rankDelay = 500 * time.Millisecond
	// minFetchTimeout and maxFetchTimeout bound how long the answer may take before another process is asked; the timeout doubles. A
	// link of 25 Mbit/s carries 1.5 MB in the first.
	minFetchTimeout = 500 * time.Millisecond
	maxFetchTimeout = 2 * time.Second
)

// configurationSource is a connected process from which a configuration may be fetched: one of revision 1 or later.
type configurationSource struct {
	id      hibiscusstate.Incarnation
	version uint64
}

// configurationFetch decides which process to ask for a version that is not in force yet, and when.
type configurationFetch struct {
	own hibiscusstate.Incarnation
	// version is the highest version that was reported, zero while there is none to fetch.
	version uint64
	// behindSince is when a version above the one in force was reported first, the zero time while none was, and fetches how many
	// processes were asked since.
	behindSince time.Time
	fetches     int
	// due is when the next process is asked, and rankedUntil until when only the one that ranks first is.
	due         time.Time
	rankedUntil time.Time
	timeout     time.Duration
	asked       map[hibiscusstate.Incarnation]bool
}

func newConfigurationFetch(own hibiscusstate.Incarnation) *configurationFetch {
	return &configurationFetch{own: own}
}

// reported records that another process has a version in force, and delays the fetch of a version that is new.
func (f *configurationFetch) reported(now time.Time, inForce, version uint64, delay time.Duration) {
	if version <= max(inForce, f.version) {
		return
	}
	if f.behindSince.IsZero() {
		f.behindSince = now
	}
	f.version = version
	f.due = now.Add(delay)
	f.rankedUntil = f.due.Add(rankDelay)
	f.timeout = minFetchTimeout
	f.asked = map[hibiscusstate.Incarnation]bool{}
}

// next returns the process to ask now. sources are the connected processes that may be asked; those that do not have the version
// yet count for the rank only.
func (f *configurationFetch) next(
	now time.Time, inForce uint64, sources []configurationSource,
) (hibiscusstate.Incarnation, bool) {
	if f.version <= inForce {
		f.version = 0
	}
	if f.version == 0 || now.Before(f.due) {
		return 0, false
	}
	best := f.rank(sources, f.version)
	if best == nil {
		// All that have the version were asked; start over with the first.
		clear(f.asked)
		best = f.rank(sources, f.version)
	}
	if best == nil {
		// No connected process has the version any more; another report of it starts the fetch again.
		f.version = 0
		return 0, false
	}
	if first := f.rank(sources, 0); len(f.asked) == 0 && first.id != best.id && now.Before(f.rankedUntil) {
		return 0, false
	}
	f.asked[best.id] = true
	f.fetches++
	f.due = now.Add(f.timeout)
	f.timeout = min(2*f.timeout, maxFetchTimeout)
	return best.id, true
}

// logInForce logs that a version is in force since now, and for how long the process knew that its own was lower.
func (f *configurationFetch) logInForce(log *slog.Logger, now time.Time, version uint64, source string) {
	behind := time.Duration(0)
	if !f.behindSince.IsZero() {
		behind = now.Sub(f.behindSince)
	}
	log.Info("config: version in force", "version", version, "source", source, "behind_ms", behind.Milliseconds(), "fetches", f.fetches)
	f.behindSince, f.fetches = time.Time{}, 0
	if f.version > version {
		f.behindSince = now
	}
}

// rank returns the source that ranks first among those with at least a version that were not asked, nil for none.
func (f *configurationFetch) rank(sources []configurationSource, version uint64) *configurationSource {
	var best *configurationSource
	for i, s := range sources {
		if s.version < version || f.asked[s.id] {
			continue
		}
		if best == nil || rendezvousHash(s.id, f.own) > rendezvousHash(best.id, f.own) {
			best = &sources[i]
		}
	}
	return best
}

// nextDue returns when next must be called, the zero time while there is nothing to fetch. Reports call it earlier.
func (f *configurationFetch) nextDue(now time.Time) time.Time {
	if f.version == 0 {
		return time.Time{}
	}
	if !now.Before(f.due) {
		return f.rankedUntil
	}
	return f.due
}

// fetchConfiguration asks an entry for a version that was reported, if it is time to. Agents have a version only as a copy, so they are
// asked only while no entry has it: after a restart of all entries without the table.
func (e *Entry) fetchConfiguration(now time.Time) {
	if e.fetch.version == 0 {
		return
	}
	var sources []configurationSource
	for _, sessions := range e.peers {
		sources = appendSource(sources, sessions[0])
	}
	if e.fetch.rank(sources, e.fetch.version) == nil {
		for _, p := range e.agents {
			sources = appendSource(sources, p)
		}
	}
	id, ok := e.fetch.next(now, e.version(), sources)
	if !ok {
		return
	}
	p := e.agents[id]
	if sessions := e.peers[id]; len(sessions) > 0 {
		p = sessions[0]
	}
	p.Send(NewFetchMessage(e.fetch.version))
}

// appendSource appends a process that answers fetches. One before revision 1 sends a version on its own.
func appendSource(sources []configurationSource, p *Peer) []configurationSource {
	if p.Hello().Revision() == 0 {
		return sources
	}
	return append(sources, configurationSource{id: p.Hello().Incarnation(), version: p.version})
}

// recordReport records the version that another process reports. An entry without a configuration refuses all jobs, so it does not
// wait for its own read.
func (e *Entry) recordReport(now time.Time, p *Peer, version uint64) {
	e.recordVersion(p, version)
	delay := tableReadDelay
	if e.version() == 0 {
		delay = fetchDelay
	}
	e.fetch.reported(now, e.version(), version, delay)
}

// fetchConfiguration asks an entry for a version that was reported, if it is time to.
func (a *Agent) fetchConfiguration(now time.Time) {
	if a.fetch.version == 0 {
		return
	}
	sources := make([]configurationSource, 0, len(a.entries))
	for _, p := range a.entries {
		sources = appendSource(sources, p)
	}
	if id, ok := a.fetch.next(now, a.version(), sources); ok {
		a.entries[id].Send(NewFetchMessage(a.fetch.version))
	}
}

// recordReport records the version that an entry reports.
func (a *Agent) recordReport(now time.Time, p *Peer, version uint64) {
	p.recordVersion(version)
	a.fetch.reported(now, a.version(), version, fetchDelay)
}

// answerFetch sends the configuration in force, if it is at least of the version that was asked for.
func answerFetch(p *Peer, version uint64, c *hibiscusstate.Configuration) {
	if c != nil && c.Version() >= version {
		p.Send(NewConfigurationMessage(c))
	}
}

// earliest returns the earlier of two times, of which the zero time is none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
