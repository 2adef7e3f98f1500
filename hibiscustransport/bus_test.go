package hibiscustransport

import (
	"io"
	"log/slog"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"

	. "github.com/smartystreets/goconvey/convey"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusstate"
)

// TestBus guards against an event that is lost, changed or out of order, a Publish that waits for a slow subscriber, a drop
// that is not counted, and events that are queued at the stop and not delivered.
func TestBus(t *testing.T) {
	Convey("a subscriber that is slow at first", t, func(c C) {
		synctest.Test(t, func(*testing.T) {
			b := NewBus(slog.New(slog.NewTextHandler(io.Discard, nil)))
			var seen []string
			release := make(chan struct{})
			subscription, err := b.Subscribe(func(event hibiscuscoordination.Event) {
				<-release
				seen = append(seen, event.Kind().String()+" "+event.Subject()+" "+event.Cause())
			})
			c.So(err, ShouldBeNil)
			var duties sync.WaitGroup
			duties.Go(subscription)
			duties.Go(b.Run)
			publish := func(n int) bool {
				return b.Publish(hibiscuscoordination.NewEvent(hibiscusstate.EventWorkerEjected, "worker "+strconv.Itoa(n), "cause"))
			}
			publish(0)
			synctest.Wait()
			taken := 0
			for n := range busCapacity + 10 {
				if publish(n + 1) {
					taken++
				}
			}
			c.So([]int{taken, int(b.Dropped())}, ShouldResemble, []int{busCapacity, 10})
			b.Stop()
			close(release)
			duties.Wait()
			c.So(len(seen), ShouldEqual, busCapacity+1)
			for n, event := range seen {
				if event != "worker_out worker "+strconv.Itoa(n)+" cause" {
					t.Fatalf("event %d is %s", n, event)
				}
			}
		})
	})
}
