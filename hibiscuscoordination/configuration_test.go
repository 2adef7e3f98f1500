package hibiscuscoordination

import (
	"io"
	"log/slog"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"hibiscusrouter/hibiscusstate"
)

// TestAgentKeepsHighest guards against an agent that applies a lower version, and one that leaves the sender of a version
// in doubt about which one is in force.
func TestAgentKeepsHighest(t *testing.T) {
	Convey("versions reach an agent out of order", t, func() {
		a := NewAgent(NewIdentity(1, "10.0.2.1:7300", "a"), nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
		var said []uint64
		entry := NewPeer(NewHello(RoleEntry, 2, "10.0.1.1:7200", "a", 0, Capacity{}), func(m Message) bool {
			said = append(said, m.Version())
			return true
		}, func() {})
		a.entries[2] = entry
		for _, version := range []uint64{2, 3, 1, 3, 4} {
			a.configure(entry, hibiscusstate.NewConfiguration(version, "", nil))
		}
		So(said, ShouldResemble, []uint64{2, 3, 3, 3, 4})
	})
}
