package hibiscuscoordination

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"hibiscusrouter/hibiscusstate"
)

// TestAgentIgnoresLowerVersion guards against an agent that applies a lower version, and one that does not answer every
// version with the one in force.
func TestAgentIgnoresLowerVersion(t *testing.T) {
	Convey("An agent receives versions out of order", t, func() {
		a := NewAgent(NewIdentity(1, "10.0.2.1:7300", "a"), nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
		var reported []uint64
		entry := NewPeer(NewHello(RoleEntry, 2, "10.0.1.1:7200", "a", 0, Capacity{}), func(m Message) bool {
			reported = append(reported, m.Version())
			return true
		}, func() {})
		a.entries[2] = entry
		for _, version := range []uint64{2, 3, 1, 3, 4} {
			a.configure(entry, hibiscusstate.NewConfiguration(version, "", nil))
		}
		So(reported, ShouldResemble, []uint64{2, 3, 3, 3, 4})
	})
}

// TestVersionIsPushedOnce guards against a version that all entries send to every process when they read it from the table at the
// same moment: with 14 entries, 90 processes and 350 queues, the copies filled the links and the memory of the agents.
func TestVersionIsPushedOnce(t *testing.T) {
	Convey("Two entries read a version at the same moment", t, func() {
		now := time.Unix(1_000_000, 0)
		const agents = 20
		copies := map[hibiscusstate.Incarnation]int{}
		var entries []*Entry
		for i := range 2 {
			incarnation := hibiscusstate.Incarnation(i + 1)
			e := NewEntry(NewIdentity(incarnation, fmt.Sprintf("10.0.1.%d:7200", incarnation), "a"), func(Event) {},
				slog.New(slog.NewTextHandler(io.Discard, nil)))
			e.dispatcher.SetEntries([]hibiscusstate.Incarnation{1, 2})
			for a := range agents {
				id := hibiscusstate.Incarnation(100 + a)
				e.agents[id] = NewPeer(NewHello(RoleAgent, id, fmt.Sprintf("10.0.2.%d:7300", a), "a", 0, Capacity{}), func(Message) bool {
					copies[id]++
					return true
				}, func() {})
			}
			entries = append(entries, e)
		}
		count := func() (least, most int) {
			least = agents
			for a := range agents {
				n := copies[hibiscusstate.Incarnation(100+a)]
				least, most = min(least, n), max(most, n)
			}
			return least, most
		}
		for _, e := range entries {
			So(e.applyConfiguration(now, hibiscusstate.NewConfiguration(3, "", hibiscusstate.NewDocument(nil, nil))), ShouldBeTrue)
			e.pushConfiguration(true)
		}
		least, most := count()
		So([]int{least, most}, ShouldResemble, []int{1, 1})
		// Only one of the two entries has the next version; the agents of the other one get it with the resend, a second later.
		So(entries[0].applyConfiguration(now, hibiscusstate.NewConfiguration(4, "", hibiscusstate.NewDocument(nil, nil))), ShouldBeTrue)
		entries[0].pushConfiguration(true)
		entries[0].pushConfiguration(false)
		least, _ = count()
		So(least, ShouldEqual, 2)
	})
}
