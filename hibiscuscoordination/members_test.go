package hibiscuscoordination

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"hibiscusrouter/hibiscusstate"
)

// TestMemberChanges guards against member lists that grow with the square of the entries: when all 55 entries of a site start within
// a second, each sent its whole list to 294 processes with each new session, which filled its link for seconds. It also guards against
// a list that differs from the sender's after changes.
func TestMemberChanges(t *testing.T) {
	Convey("55 entries connect within a second, then ten go and five are replaced", t, func() {
		const entries = 55
		now := time.Unix(1_000_000, 0)
		var announcer memberAnnouncer
		receiver := newMemberLists()
		var members []Member
		listed := 0
		receiver.set(1, nil)
		tick := func() {
			now = now.Add(10 * time.Millisecond)
			if changed, removed, ok := announcer.take(now, members); ok {
				listed += len(changed) + len(removed)
				receiver.apply(1, NewMemberChangesMessage(changed, removed))
			}
		}
		add := func(i int, address string) {
			members = append(members, NewMember(hibiscusstate.Incarnation(i), address, "a", 0))
			announcer.markChanged()
			tick()
		}
		for i := range entries {
			add(i+1, fmt.Sprintf("10.0.1.%d:7200", i+1))
		}
		for range 20 {
			tick()
		}
		So(listed, ShouldEqual, entries)
		members = members[10:]
		announcer.markChanged()
		for i := range 5 {
			add(100+i, fmt.Sprintf("10.0.1.%d:7200", i+1))
		}
		for range 20 {
			tick()
		}
		So(listed, ShouldEqual, entries+10+5)
		So(receiver.lists[1].members, ShouldHaveLength, entries-5)
		for _, m := range members {
			So(receiver.lists[1].members, ShouldContain, m)
		}
		So(announcer.nextDue().IsZero(), ShouldBeTrue)
	})
	Convey("An entry is in a whole list and goes before it is announced", t, func() {
		var announcer memberAnnouncer
		receiver := newMemberLists()
		now := time.Unix(1_000_000, 0)
		receiver.apply(1, NewMembersMessage(announcer.list([]Member{NewMember(7, "10.0.1.7:1", "a", 0), NewMember(8, "10.0.1.8:1", "a", 0)})))
		announcer.markChanged()
		changed, removed, ok := announcer.take(now, []Member{NewMember(8, "10.0.1.8:1", "a", 0)})
		So(ok, ShouldBeTrue)
		receiver.apply(1, NewMemberChangesMessage(changed, removed))
		So(receiver.lists[1].members, ShouldResemble, []Member{NewMember(8, "10.0.1.8:1", "a", 0)})
	})
	Convey("The list of an entry that has connected again replaces the former one", t, func() {
		receiver := newMemberLists()
		receiver.apply(1, NewMembersMessage([]Member{NewMember(7, "10.0.1.7:1", "a", 0)}))
		receiver.apply(1, NewMembersMessage([]Member{NewMember(8, "10.0.1.8:1", "a", 0)}))
		So(receiver.lists[1].members, ShouldResemble, []Member{NewMember(8, "10.0.1.8:1", "a", 0)})
	})
}
