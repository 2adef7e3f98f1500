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

// TestBus guards against events that are lost, altered or reordered, a Publish that blocks on a slow subscriber, a drop that is
// not counted, and events that are queued at the stop and not delivered.
func TestBus(t *testing.T) {
	Convey("a subscriber that is slow at first", t, func(c C) {
		synctest.Test(t, func(*testing.T) {
			b := NewBus(slog.New(slog.NewTextHandler(io.Discard, nil)))
			var received []string
			release := make(chan struct{})
			subscription, err := b.Subscribe(func(event hibiscuscoordination.Event) {
				<-release
				received = append(received, event.Kind().String()+" "+event.Subject()+" "+event.Cause())
			})
			c.So(err, ShouldBeNil)
			var goroutines sync.WaitGroup
			goroutines.Go(subscription)
			goroutines.Go(b.Run)
			publish := func(n int) bool {
				return b.Publish(hibiscuscoordination.NewEvent(hibiscusstate.EventWorkerEjected, "worker "+strconv.Itoa(n), "cause"))
			}
			publish(0)
			synctest.Wait()
			accepted := 0
			for n := range busCapacity + 10 {
				if publish(n + 1) {
					accepted++
				}
			}
			c.So([]int{accepted, int(b.Dropped())}, ShouldResemble, []int{busCapacity, 10})
			b.Stop()
			close(release)
			goroutines.Wait()
			c.So(len(received), ShouldEqual, busCapacity+1)
			for n, event := range received {
				if event != "worker_out worker "+strconv.Itoa(n)+" cause" {
					t.Fatalf("event %d is %s", n, event)
				}
			}
		})
	})
}
