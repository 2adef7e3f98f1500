package hibiscuscoordination

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/smartystreets/goconvey/convey"

	"hibiscusrouter/hibiscusstandin"
	"hibiscusrouter/hibiscusstate"
)

// TestAgentStopBeforeStart guards against a stop that is lost because it arrives after a task was handed to its runner and
// before the runner has received it: the task would run to its end.
func TestAgentStopBeforeStart(t *testing.T) {
	var finished atomic.Int32
	synctest.Test(t, func(*testing.T) {
		for range 500 {
			a := NewAgent(NewIdentity(9, "10.0.2.1:7300", "a"), func(ctx context.Context, _ hibiscusstate.Order) RunResult {
				select {
				case <-ctx.Done():
					return NewRunResult(hibiscusstate.OutcomeStopped, nil, "")
				case <-time.After(time.Second):
					finished.Add(1)
					return NewRunResult(hibiscusstate.OutcomeFinished, nil, "")
				}
			}, slog.New(slog.NewTextHandler(io.Discard, nil)))
			p := NewPeer(NewHello(RoleEntry, 1, "10.0.1.1:7200", "a", 0, Capacity{}), func(Message) bool { return true }, func() {})
			// All commands are queued before the event loop runs, so that they are one batch.
			ignoreError(a.Announce("checks", hibiscusstate.NewResources(1, 0, 0)))
			ignoreError(a.PeerUp(p))
			ignoreError(a.PeerMessage(p, NewOrdersMessage(newOrders(1, 0, 1))))
			ignoreError(a.PeerMessage(p, NewStopMessage([]hibiscusstate.TaskAttempt{newAttempt(1, 0)})))
			go a.Run()
			time.Sleep(2 * time.Second)
			a.Stop()
			synctest.Wait()
		}
	})
	convey.Convey("no stop is lost", t, func() { convey.So(finished.Load(), convey.ShouldEqual, 0) })
}

// ignoreError drops the error of a command for an event loop that has not stopped.
func ignoreError(error) {}

// TestAgentAfterSuspension guards against an order that an agent starts after its VM was suspended for longer than the entry's lease:
// the entry has started the task elsewhere meanwhile, and the steady clock does not count the suspension. A jump of the time of day
// must not make the agent reject orders.
func TestAgentAfterSuspension(t *testing.T) {
	var lines []string
	for _, c := range []struct {
		name   string
		change func(c *hibiscusstandin.Clock)
	}{
		{"nothing happens", func(*hibiscusstandin.Clock) {}},
		{"the VM is suspended for 1 s", func(c *hibiscusstandin.Clock) { c.Suspend(time.Second) }},
		{"the VM is suspended for 5 s", func(c *hibiscusstandin.Clock) { c.Suspend(5 * time.Second) }},
		{"the time of day jumps forward by 5 s", func(c *hibiscusstandin.Clock) { c.Step(5 * time.Second) }},
		{"the time of day jumps back by 5 s", func(c *hibiscusstandin.Clock) { c.Step(-5 * time.Second) }},
		{"the VM is suspended for 5 s and the time of day is set back", func(c *hibiscusstandin.Clock) {
			c.Suspend(5 * time.Second)
			c.Step(-4 * time.Second)
		}},
	} {
		synctest.Test(t, func(*testing.T) {
			a := NewAgent(NewIdentity(9, "10.0.2.1:7300", "a"), func(context.Context, hibiscusstate.Order) RunResult {
				lines = append(lines, c.name+": started")
				return NewRunResult(hibiscusstate.OutcomeFinished, nil, "")
			}, slog.New(slog.NewTextHandler(io.Discard, nil)))
			clock := hibiscusstandin.NewClock()
			a.SetClock(NewClock(clock.Now, clock.Suspended))
			p := NewPeer(NewHello(RoleEntry, 1, "10.0.1.1:7200", "a", 0, Capacity{}), func(m Message) bool {
				for _, r := range m.Reports() {
					if r.Status() == hibiscusstate.StatusRejected {
						lines = append(lines, c.name+": rejected, "+r.Rejection().String())
					}
				}
				return true
			}, func() {})
			ignoreError(a.Announce("checks", hibiscusstate.NewResources(1, 0, 0)))
			ignoreError(a.PeerUp(p))
			go a.Run()
			time.Sleep(time.Second)
			c.change(clock)
			ignoreError(a.PeerMessage(p, NewOrdersMessage(newOrders(1, 0, 1))))
			time.Sleep(time.Second)
			a.Stop()
			synctest.Wait()
		})
	}
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "agent_suspension", []byte(strings.Join(lines, "\n")+"\n"))
}

// TestRunnerAfterSuspension guards against a task that its runner starts although the process stood still, after the decision to start
// it, until its permission had ended.
func TestRunnerAfterSuspension(t *testing.T) {
	var lines []string
	for _, pause := range []time.Duration{0, time.Second, permissionDuration, 5 * time.Second} {
		a := NewAgent(NewIdentity(9, "10.0.2.1:7300", "a"), func(context.Context, hibiscusstate.Order) RunResult {
			return NewRunResult(hibiscusstate.OutcomeFinished, nil, "")
		}, slog.New(slog.DiscardHandler))
		clock := hibiscusstandin.NewClock()
		a.SetClock(NewClock(clock.Now, clock.Suspended))
		order := newNamedOrder(1).WithStartBy(a.loop.clock.Now().Add(permissionDuration))
		clock.Skip(pause)
		result := a.runTask(&runner{}, order)
		lines = append(lines, fmt.Sprintf("the process stands still for %v: %s %s", pause, result.outcome, result.rejection))
	}
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "runner_suspension", []byte(strings.Join(lines, "\n")+"\n"))
}
