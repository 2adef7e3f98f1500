package hibiscustransport

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"hibiscusrouter/hibiscuscoordination"
)

// TestStamps guards against a message that appears younger than it is: held up on its way, at either end, or with a timing that can't be.
func TestStamps(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	var lines []string
	origin := func(name string, s *stamps, now time.Duration, timing hibiscuscoordination.Timing) {
		m := s.incoming(at(now), hibiscuscoordination.NewPingMessage().WithTiming(timing))
		if m.EchoedAt().IsZero() {
			lines = append(lines, fmt.Sprintf("%s: received at %v, no origin", name, now))
			return
		}
		lines = append(lines, fmt.Sprintf("%s: received at %v, echoes %v, decided after %v", name, now, m.EchoedAt().Sub(start),
			m.DecidedAfter().Sub(start)))
	}
	// The peer's session opened 10 s later by its own clock; each message takes 1 ms.
	agent, entry := newStamps(start), newStamps(at(10*time.Second))
	first := agent.outgoing(at(100*time.Millisecond), time.Time{})
	origin("nothing to echo", entry, 10101*time.Millisecond, first)
	origin("an answer at once", agent, 102*time.Millisecond, entry.outgoing(at(10101*time.Millisecond), time.Time{}))
	origin("a decision half a second later", agent, 602*time.Millisecond, entry.outgoing(at(10601*time.Millisecond), time.Time{}))
	origin("the same, held up for 2 s", agent, 2602*time.Millisecond, entry.outgoing(at(10601*time.Millisecond), time.Time{}))
	origin("queued 3 s after the decision", agent, 3602*time.Millisecond, entry.outgoing(at(13601*time.Millisecond), at(10601*time.Millisecond)))
	origin("decided before the stamp arrived", agent, 3602*time.Millisecond, entry.outgoing(at(13601*time.Millisecond), at(10051*time.Millisecond)))
	origin("a stamp from the future", agent, time.Second, hibiscuscoordination.NewTiming(1, time.Hour, time.Hour))
	origin("a huge time before it", agent, time.Second, hibiscuscoordination.NewTiming(1, time.Millisecond, -1<<62))
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "stamps", []byte(strings.Join(lines, "\n")+"\n"))
}
