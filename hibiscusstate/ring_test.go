package hibiscusstate

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// TestRingGrows guards against values that are lost, doubled or out of order when the buffer grows while its head is not at
// the start, and against a ring that grows past its capacity.
func TestRingGrows(t *testing.T) {
	const capacity = 100
	for _, shift := range []int{0, 1, 5, initialRingBuffer} {
		r := NewRing[int](capacity)
		var want, got []int
		for i := range shift {
			r.TryPush(-1 - i)
			_, err := r.Pop()
			convey.Convey("shift", t, func() { convey.So(err, convey.ShouldBeNil) })
		}
		pushed := 0
		for r.TryPush(pushed) {
			want = append(want, pushed)
			pushed++
		}
		for range pushed {
			v, _ := r.Pop()
			got = append(got, v)
		}
		convey.Convey("all values come out in order, the capacity is kept", t, func() {
			convey.So(pushed, convey.ShouldEqual, capacity)
			convey.So(got, convey.ShouldResemble, want)
			convey.So(r.Len(), convey.ShouldEqual, 0)
		})
	}
}
