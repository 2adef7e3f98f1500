package hibiscustransport

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusstandin"
	"hibiscusrouter/hibiscusstate"
)

// steppedSession is a session between two processes; the clock of the first one can be stepped.
type steppedSession struct {
	clock   *hibiscusstandin.Clock
	network *hibiscusstandin.MemoryNetwork
	peer    *hibiscuscoordination.Peer
	ended   chan error
	stop    context.CancelFunc
}

const steppedAddress = "10.0.1.1:7200"

func newSteppedSession(t *testing.T) *steppedSession {
	runtime.GC()
	runtime.GC()
	ctx, stop := context.WithCancel(context.Background())
	s := &steppedSession{clock: hibiscusstandin.NewClock(), network: hibiscusstandin.NewMemoryNetwork(500 * time.Microsecond), ended: make(chan error, 2), stop: stop}
	l, err := s.network.Listen(steppedAddress)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := s.network.Dial(ctx, steppedAddress)
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	handlers := func(role hibiscuscoordination.Role, up func(*hibiscuscoordination.Peer)) SessionHandlers {
		return NewSessionHandlers(
			func() hibiscuscoordination.Hello {
				return hibiscuscoordination.NewHello(role, hibiscusstate.Incarnation(role+1), steppedAddress, "a", 0, hibiscuscoordination.Capacity{})
			},
			func(p *hibiscuscoordination.Peer) error {
				up(p)
				return nil
			},
			func(*hibiscuscoordination.Peer, hibiscuscoordination.Message) error { return nil },
			func(*hibiscuscoordination.Peer) error { return nil })
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	go func() {
		s.ended <- RunSession(ctx, accepted, testSecret, false, handlers(hibiscuscoordination.RoleEntry,
			func(p *hibiscuscoordination.Peer) { s.peer = p }).WithClock(s.clock.Now), newSessionStats(), log)
	}()
	go func() {
		s.ended <- RunSession(ctx, conn, testSecret, true, handlers(hibiscuscoordination.RoleAgent,
			func(*hibiscuscoordination.Peer) {}), newSessionStats(), log)
	}()
	time.Sleep(100 * time.Millisecond)
	return s
}

// TestSessionSteppedClock guards against a session that is closed because the time of day jumped forward, and against one whose
// silence is not noticed because it jumped back: on machines whose clock is set, all sessions were lost at once.
func TestSessionSteppedClock(t *testing.T) {
	var lines []string
	for _, c := range []struct {
		name   string
		step   time.Duration
		silent bool
	}{
		{"the time of day jumps forward", 2400 * time.Millisecond, false},
		{"the time of day jumps forward by an hour", time.Hour, false},
		{"the time of day jumps back", -2400 * time.Millisecond, false},
		{"the time of day jumps back and the connection goes silent", -2400 * time.Millisecond, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newSteppedSession(t)
			defer s.stop()
			s.peer.Send(hibiscuscoordination.NewStopMessage(nil))
			time.Sleep(50 * time.Millisecond)
			s.clock.Step(c.step)
			began := time.Now()
			if c.silent {
				s.network.Silence(steppedAddress, true, true)
			}
			outcome := "stays open for 5 s"
			select {
			case err := <-s.ended:
				outcome = fmt.Sprintf("closed after %v: %v", time.Since(began).Round(100*time.Millisecond), err)
			case <-time.After(5 * time.Second):
			}
			lines = append(lines, c.name+": "+outcome)
			s.stop()
			time.Sleep(5 * time.Second)
		})
	}
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "session_stepped_clock", []byte(strings.Join(lines, "\n")+"\n"))
}
