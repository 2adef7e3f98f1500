package hibiscuscoordination

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"hibiscusrouter/hibiscusstate"
)

// slowFleet replays the load of a peak on a fleet: entries with jobs of several short tasks, and agents with four runs at a time whose
// workers may become slow. Messages are delivered at once, and time passes in steps.
type slowFleet struct {
	now     time.Time
	entries []*Dispatcher
	agents  []*slowAgent
	events  []slowEvent
}

// slowEvent is the ejection or reinstatement of a worker by an entry.
type slowEvent struct {
	at      time.Time
	kind    hibiscusstate.EventKind
	subject string
}

// slowAgent is an agent with its running tasks and their ends.
type slowAgent struct {
	id      hibiscusstate.Incarnation
	manager *SlotManager
	slow    float64
	ends    map[int]time.Time
}

const (
	slowFleetSlots   = 4000
	slowFleetRunTime = 50 * time.Millisecond
)

func newSlowFleet(entries, agents int) *slowFleet {
	f := &slowFleet{now: time.Unix(1_000_000, 0)}
	document := hibiscusstate.NewDocument([]hibiscusstate.Service{hibiscusstate.NewService("check", nil, []hibiscusstate.Kind{
		hibiscusstate.NewKind("quick", false, true, slowFleetRunTime, 5*time.Second),
	})}, []hibiscusstate.Team{hibiscusstate.NewTeam("review", 1, 0)})
	var ids []hibiscusstate.Incarnation
	for i := range entries {
		ids = append(ids, hibiscusstate.Incarnation(i+1))
	}
	for i := range agents {
		f.agents = append(f.agents, f.newAgent(hibiscusstate.Incarnation(100+i)))
	}
	for _, id := range ids {
		d := NewDispatcher(id, NewDispatcherSeams(func(worker hibiscusstate.Incarnation, m Message) bool {
			if m.Kind() == MessageOrders {
				f.agents[worker-100].manager.HandleOrders(f.now, id, m.Orders())
			}
			return true
		}, func(e Event) {
			f.events = append(f.events, slowEvent{at: f.now, kind: e.Kind(), subject: e.Subject()})
		}, func(time.Duration) time.Duration { return 0 }))
		d.Configure(f.now, hibiscusstate.NewConfiguration(1, "", document))
		d.SetEntries(ids)
		f.entries = append(f.entries, d)
	}
	for _, a := range f.agents {
		a.manager.SetEndpoint(f.now, "check", hibiscusstate.NewResources(slowFleetSlots, 0, 0))
		for _, d := range f.entries {
			d.WorkerUp(f.now, NewHello(RoleAgent, a.id, fmt.Sprintf("10.0.2.%d:7300", a.id-99), "a", 1, Capacity{}))
			a.manager.EntryUp(f.now, d.incarnation)
		}
	}
	return f
}

func (f *slowFleet) newAgent(id hibiscusstate.Incarnation) *slowAgent {
	a := &slowAgent{id: id, slow: 1, ends: map[int]time.Time{}}
	a.manager = NewSlotManager(id, NewSlotManagerSeams(
		func(entry hibiscusstate.Incarnation, m Message) bool {
			d := f.entries[entry-1]
			switch m.Kind() {
			case MessageReports:
				d.HandleReports(f.now, id, m.Reports())
			case MessageCapacity:
				d.UpdateCapacity(f.now, id, m.Capacity())
			case MessageLoad:
				d.UpdateLoad(f.now, id, m.Load())
			default:
			}
			return true
		},
		func(slot int, _ hibiscusstate.Order) {
			a.ends[slot] = f.now.Add(time.Duration(a.slow * float64(slowFleetRunTime)))
		},
		func(slot int, _ hibiscusstate.TaskAttempt) { a.ends[slot] = f.now }))
	return a
}

// run replays jobs of four tasks, one every interval at the entries in turn.
func (f *slowFleet) run(d, interval time.Duration) {
	const step = 5 * time.Millisecond
	next, turn := f.now, 0
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for ; !next.After(f.now); next = next.Add(interval) {
			d := f.entries[turn%len(f.entries)]
			turn++
			tasks := make([]hibiscusstate.TaskSpec, 4)
			for i := range tasks {
				tasks[i] = hibiscusstate.NewTaskSpec("quick", nil, slowFleetRunTime).WithResources(hibiscusstate.NewResources(1000, 0, 0))
			}
			d.Submit(f.now, NewSubmission(d.IssueKeys(1)[0], 0, "review", "check", tasks).WithWait(time.Hour), func(*Answer) {})
		}
		for _, a := range f.agents {
			var due []int
			for slot, at := range a.ends {
				if !at.After(f.now) {
					due = append(due, slot)
				}
			}
			slices.Sort(due)
			for _, slot := range due {
				delete(a.ends, slot)
				a.manager.Finished(f.now, slot, NewRunResult(hibiscusstate.OutcomeFinished, nil, ""))
			}
			a.manager.Tick(f.now)
		}
		for _, d := range f.entries {
			d.Tick(f.now)
			d.Flush(f.now)
		}
	}
}

// changed returns how many entries have ejected or reinstated the slow worker within a time after from, and then forgets all events.
func (f *slowFleet) changed(kind hibiscusstate.EventKind, from time.Time, within time.Duration) int {
	n := 0
	for _, e := range f.events {
		if e.kind == kind && e.subject == "check/10.0.2.1:7300" && e.at.Sub(from) <= within {
			n++
		}
	}
	f.events = nil
	return n
}

// TestSlowWorkerIsFoundTogether guards against a worker that becomes five times slower under load and is found by each entry for
// itself: with three entries that took 1.8 to 4.5 s, in which most jobs of several tasks had one there, and with twelve it took longer than
// such workers are slow. When it is fast again, each entry kept it out until its own probe, up to 10 s later. It also guards against
// ejections while all workers are slow.
func TestSlowWorkerIsFoundTogether(t *testing.T) {
	const (
		// foundWithin and backWithin are the targets; a slow worker gets its next probe after at most 4 s.
		foundWithin = 1500 * time.Millisecond
		backWithin  = 5 * time.Second
		interval    = 6 * time.Millisecond
	)
	var lines []string
	for _, entries := range []int{3, 12} {
		f := newSlowFleet(entries, 11)
		f.run(3*time.Second, interval)
		lines = append(lines, fmt.Sprintf("%d entries: %d changes before", entries, len(f.events)))
		f.agents[0].slow = 5
		began := f.now
		f.run(3*time.Second, interval)
		lines = append(lines, fmt.Sprintf("  a worker is five times slower: %d entries have ejected it after %v",
			f.changed(hibiscusstate.EventWorkerEjected, began, foundWithin), foundWithin))
		f.agents[0].slow = 1
		began = f.now
		f.run(backWithin, interval)
		lines = append(lines, fmt.Sprintf("  it is fast again: %d entries have reinstated it after %v",
			f.changed(hibiscusstate.EventWorkerReinstated, began, backWithin), backWithin))
		for _, a := range f.agents {
			a.slow = 5
		}
		f.run(3*time.Second, 5*interval)
		lines = append(lines, fmt.Sprintf("  all are five times slower: %d changes", len(f.events)))
	}
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "slow_worker", []byte(strings.Join(lines, "\n")+"\n"))
}

// TestSlownessWithoutCapacity guards against an event loop that spins because a load message is due that is not sent: the worker is slow,
// its runs become overdue, and it offers no capacity.
func TestSlownessWithoutCapacity(t *testing.T) {
	f := newSlowFleet(3, 3)
	f.run(time.Second, 6*time.Millisecond)
	a := f.agents[0]
	a.manager.SetEndpoint(f.now, "check", hibiscusstate.Resources{})
	a.manager.slowness = slownessMeter{median: slowFactor, runs: minSlownessRuns}
	for range 200 {
		f.now = f.now.Add(5 * time.Millisecond)
		a.manager.Tick(f.now)
		if next := a.manager.NextTick(f.now); !next.After(f.now) {
			t.Fatalf("the next tick is due %v ago, right after a tick", f.now.Sub(next))
		}
	}
}
