package hibiscuscoordination

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

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
