package hibiscussoak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"hibiscusrouter/platform/hibiscusplatformstandin"
)

const (
	// evacuationBound and noticeBound are how long after the request for an evacuation, and after the announcement that a worker leaves,
	// tasks may still start there.
	evacuationBound = 2 * time.Second
	noticeBound     = 2 * time.Second
	// cancelStartBound is how long after the answer to a DELETE tasks of the job may still start, cancelEndBound how long they may run.
	cancelStartBound = 4 * time.Second
	cancelEndBound   = cancelStartBound + 50*time.Millisecond
	// contactTime is how long after a disturbance a process is again in contact with the store and the other processes. A connection
	// that has dropped bytes is closed only after the longest time without traffic.
	contactTime = 4 * time.Second
)

// interval is a time from one event to another.
type interval struct {
	from time.Time
	to   time.Time
}

func (i interval) overlaps(from, to time.Time) bool { return i.from.Before(to) && i.to.After(from) }

// place is a failure domain or a worker where nothing may start during an interval, except within a bound after its beginning.
type place struct {
	name string
	interval
}

// cancellation is a job whose DELETE was answered 2xx.
type cancellation struct {
	job        string
	answeredAt time.Time
}

// history records when places may get no tasks, which jobs were cancelled, and which processes were suspended, down or cut off. It is
// safe for concurrent use.
type history struct {
	mu            sync.Mutex
	evacuations   []place
	notices       []place
	cancellations []cancellation
	disturbances  map[string][]interval
}

func newHistory() *history { return &history{disturbances: map[string][]interval{}} }

func (h *history) addEvacuation(domain string, from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evacuations = append(h.evacuations, place{name: domain, interval: interval{from: from, to: to}})
}

func (h *history) addNotice(worker string, from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notices = append(h.notices, place{name: worker, interval: interval{from: from, to: to}})
}

func (h *history) addCancellation(job string, answeredAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancellations = append(h.cancellations, cancellation{job: job, answeredAt: answeredAt})
}

func (h *history) addDisturbance(from, to time.Time, processes ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, name := range processes {
		h.disturbances[name] = append(h.disturbances[name], interval{from: from, to: to})
	}
}

// disturbed reports whether a process was suspended, down or cut off between two times. A disturbance counts once it has ended.
func (h *history) disturbed(process string, from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.disturbedLocked(process, from, to)
}

func (h *history) disturbedLocked(process string, from, to time.Time) bool {
	for _, d := range h.disturbances[process] {
		if d.overlaps(from, to) {
			return true
		}
	}
	return false
}

// evacuationKnownAt returns from when on the agent must not start anything after an evacuation at a time: an entry and the agent have
// been in contact with each other, and the entry with the store, for evacuationBound. It reports false if no entry has.
func (h *history) evacuationKnownAt(agent string, entries []string, at time.Time) (time.Time, bool) {
	var known time.Time
	for _, entry := range entries {
		candidates := []time.Time{at}
		for _, name := range []string{agent, entry} {
			for _, d := range h.disturbances[name] {
				if next := d.to.Add(contactTime); next.After(at) {
					candidates = append(candidates, next)
				}
			}
		}
		for _, from := range candidates {
			since, until := from.Add(-contactTime), from.Add(evacuationBound)
			if h.disturbedLocked(agent, since, until) || h.disturbedLocked(entry, since, until) {
				continue
			}
			if known.IsZero() || until.Before(known) {
				known = until
			}
		}
	}
	return known, !known.IsZero()
}

// workerPlace is where a worker is, and its agent.
type workerPlace struct {
	domain string
	agent  string
}

// judgedEvacuations returns how many evacuations of a worker had an end after the time from which on nothing may start there, and the
// number of all.
func (h *history) judgedEvacuations(workers map[string]workerPlace, entries []string) (judged, all int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.evacuations {
		for _, w := range workers {
			if w.domain != e.name {
				continue
			}
			all++
			if known, ok := h.evacuationKnownAt(w.agent, entries, e.from); ok && known.Before(e.to) {
				judged++
			}
		}
	}
	return judged, all
}

// violations returns the violated invariants of places and cancellations.
func (h *history) violations(runs []hibiscusplatformstandin.Run, workers map[string]workerPlace, entries []string, now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var lines []string
	for _, r := range runs {
		w := workers[r.Worker()]
		for _, e := range h.evacuations {
			if e.name != w.domain || !r.RequestedAt().After(e.from) || !r.RequestedAt().Before(e.to) {
				continue
			}
			if known, ok := h.evacuationKnownAt(w.agent, entries, e.from); ok && r.RequestedAt().After(known) {
				lines = append(lines, fmt.Sprintf("%s starts on %s %d ms after domain %s was evacuated", r.Task(), r.Worker(),
					r.RequestedAt().Sub(e.from).Milliseconds(), e.name))
			}
		}
		for _, n := range h.notices {
			if n.name == r.Worker() && r.RequestedAt().After(n.from.Add(noticeBound)) && r.RequestedAt().Before(n.to) {
				lines = append(lines, fmt.Sprintf("%s starts on %s %d ms after the worker announced that it leaves", r.Task(), r.Worker(),
					r.RequestedAt().Sub(n.from).Milliseconds()))
			}
		}
		for _, c := range h.cancellations {
			if strings.HasPrefix(r.Task(), c.job+".") {
				lines = append(lines, cancelViolations(r, c, now)...)
			}
		}
	}
	return lines
}

func cancelViolations(r hibiscusplatformstandin.Run, c cancellation, now time.Time) []string {
	endedAt := r.EndedAt()
	if endedAt.IsZero() {
		endedAt = now
	}
	switch {
	case r.StartedAt().After(c.answeredAt.Add(cancelStartBound)):
		return []string{fmt.Sprintf("%s starts %d ms after its job was cancelled", r.Task(), r.StartedAt().Sub(c.answeredAt).Milliseconds())}
	case endedAt.After(c.answeredAt.Add(cancelEndBound)):
		return []string{fmt.Sprintf("%s runs %d ms after its job was cancelled", r.Task(), endedAt.Sub(c.answeredAt).Milliseconds())}
	default:
		return nil
	}
}
