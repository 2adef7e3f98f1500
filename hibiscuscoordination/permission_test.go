package hibiscuscoordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"hibiscusrouter/hibiscusstate"
)

func newNamedOrder(sequence uint64) hibiscusstate.Order {
	return hibiscusstate.NewOrder(newAttempt(sequence, 0), 1, 7, "check", nil).WithBudget(5 * time.Second).WithLeaseEpoch(1).WithJobName(fmt.Sprint("job-", sequence))
}

// TestPermission guards against a task that continues when its entry no longer counts on it: messages that were held up, or that move
// in one direction only, must not extend its permission.
func TestPermission(t *testing.T) {
	s := newSlotManagerHarness()
	start := s.now
	elapsed := func(at time.Time) string { return at.Sub(start).String() }
	advance := func(to time.Duration) {
		// Like the event loop, the harness calls Tick when it is due.
		for next := s.NextTick(s.now); next.Before(start.Add(to)); next = s.NextTick(s.now) {
			if next.After(s.now) {
				s.now = next
			}
			s.logf("at %s", elapsed(s.now))
			s.Tick(s.now)
		}
		s.now = start.Add(to)
	}
	s.step(0, "an endpoint with two slots announces itself, entry 1 connects and orders a task", func() {
		s.SetEndpoint(s.now, "checks", hibiscusstate.NewResources(2, 0, 0))
		s.EntryUp(s.now, 1)
		s.HandleOrders(s.now, 1, []hibiscusstate.Order{newNamedOrder(1)})
	})
	advance(500 * time.Millisecond)
	s.step(0, "entry 1 echoes what the agent sent 0.1 s ago", func() {
		s.RenewPermission(s.now, 1, s.now.Add(-100*time.Millisecond))
	})
	advance(1500 * time.Millisecond)
	s.step(0, "a message arrives at 1.5 s that echoes the same, as it was held up", func() {
		s.RenewPermission(s.now, 1, start.Add(400*time.Millisecond))
	})
	advance(2 * time.Second)
	s.step(0, "the runner reports the end at 2 s", func() {
		s.Finished(s.now, 0, NewRunResult(hibiscusstate.OutcomeStopped, nil, ""))
	})
	s.step(0, "a task of another job; the session is lost and entry 1 does not return", func() {
		s.RenewPermission(s.now, 1, s.now)
		s.HandleOrders(s.now, 1, []hibiscusstate.Order{newNamedOrder(2)})
		s.EntryDown(s.now, 1)
	})
	advance(2500 * time.Millisecond)
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "permission", []byte(strings.Join(s.transcript, "\n")+"\n"))
}

// TestLateOrders guards against an order that is run although it was held up for so long that its entry no longer counts on it, or
// until the deadline of its job has passed.
func TestLateOrders(t *testing.T) {
	s := newSlotManagerHarness()
	s.step(0, "an endpoint with two slots announces itself, entry 1 connects", func() {
		s.SetEndpoint(s.now, "checks", hibiscusstate.NewResources(2, 0, 0))
		s.EntryUp(s.now, 1)
	})
	for i, age := range []time.Duration{10 * time.Millisecond, 1100 * time.Millisecond, permissionDuration} {
		s.step(0, fmt.Sprintf("an order decided %v ago with 5 s until its deadline, and one with 1.1 s", age), func() {
			for j, budget := range []time.Duration{5 * time.Second, 1100 * time.Millisecond} {
				order := newNamedOrder(uint64(2*i + j)).WithBudget(budget).WithDecidedAt(s.now.Add(-age))
				s.HandleOrders(s.now, 1, []hibiscusstate.Order{order})
			}
			for slot, running := range s.slots {
				if running != nil {
					s.Finished(s.now, slot, NewRunResult(hibiscusstate.OutcomeFinished, nil, ""))
				}
			}
		})
	}
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "late_orders", []byte(strings.Join(s.transcript, "\n")+"\n"))
}

// TestLostRunsEnd guards against a task that an entry starts elsewhere before its agent has certainly stopped it.
func TestLostRunsEnd(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var lines []string
	for _, c := range []struct {
		name string
		// silence is the time between the last message of the agent and the loss of its session; order is when the task was sent,
		// relative to that message.
		silence, order time.Duration
	}{
		{"reset while messages move", 0, -time.Second},
		{"silence under traffic", 900 * time.Millisecond, -time.Second},
		{"silence of a quiet session", 2500 * time.Millisecond, -time.Second},
		{"order sent into a silent session", 900 * time.Millisecond, 800 * time.Millisecond},
	} {
		starts := map[hibiscusstate.Incarnation]time.Time{}
		at := now
		d := newNamedDispatcherWithSend(now, func(worker hibiscusstate.Incarnation, m Message) bool {
			if m.Kind() == MessageOrders {
				starts[worker] = at
			}
			return true
		})
		d.WorkerUp(now, NewHello(RoleAgent, 2, "10.0.0.2:1", "a", 0, NewCapacity("checks", 1, false, 1)))
		d.SubmitNamed(now, NewNamedSubmission("job", "a", "checks", []hibiscusstate.TaskSpec{
			hibiscusstate.NewTaskSpec("check", nil, 10*time.Second)}).WithWait(time.Hour), 1, func(*Answer) {})
		d.Flush(now)
		d.WorkerUp(now, NewHello(RoleAgent, 3, "10.0.0.3:1", "a", 0, NewCapacity("checks", 1, false, 1)))
		heard := now.Add(-c.order)
		lost := heard.Add(c.silence)
		d.WorkerDown(lost, 2, heard)
		for at = lost; starts[3].IsZero() && at.Before(lost.Add(10*time.Second)); at = at.Add(10 * time.Millisecond) {
			d.Tick(at)
			d.Flush(at)
		}
		lines = append(lines, c.name+": started elsewhere "+starts[3].Sub(heard).String()+" after the last message, "+
			starts[3].Sub(now).String()+" after the order")
	}
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "lost_runs_end", []byte(strings.Join(lines, "\n")+"\n"))
}
