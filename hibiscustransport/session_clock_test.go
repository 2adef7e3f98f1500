package hibiscustransport

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
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
	// frames is the number of frames that either end has received.
	frames atomic.Int64
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
			func(*hibiscuscoordination.Peer, hibiscuscoordination.Message) error {
				s.frames.Add(1)
				return nil
			},
			func(*hibiscuscoordination.Peer) error { return nil })
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	opened := make(chan *hibiscuscoordination.Peer, 1)
	go func() {
		s.ended <- RunSession(ctx, accepted, testSecret, false, handlers(hibiscuscoordination.RoleEntry,
			func(p *hibiscuscoordination.Peer) { opened <- p }).WithClock(s.clock.Now), newSessionStats(), log)
	}()
	go func() {
		s.ended <- RunSession(ctx, conn, testSecret, true, handlers(hibiscuscoordination.RoleAgent,
			func(*hibiscuscoordination.Peer) {}), newSessionStats(), log)
	}()
	s.peer = <-opened
	time.Sleep(100 * time.Millisecond)
	return s
}

// TestSessionSteppedClock guards against a session that is closed because the time of day jumped forward, or because its process
// stood still while the peer's frames waited in the socket, and against one whose silence is not noticed because the time of day jumped
// back: on machines whose clock is set, all sessions were lost at once.
func TestSessionSteppedClock(t *testing.T) {
	var lines []string
	for _, c := range []struct {
		name   string
		step   time.Duration
		skip   time.Duration
		silent bool
	}{
		{"the time of day jumps forward", 2400 * time.Millisecond, 0, false},
		{"the time of day jumps forward by an hour", time.Hour, 0, false},
		{"the time of day jumps back", -2400 * time.Millisecond, 0, false},
		{"the time of day jumps back and the connection goes silent", -2400 * time.Millisecond, 0, true},
		{"the process stands still", 0, 3 * time.Second, false},
		{"the process stands still and the connection goes silent", 0, 3 * time.Second, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newSteppedSession(t)
			defer s.stop()
			s.peer.Send(hibiscuscoordination.NewStopMessage(nil))
			time.Sleep(50 * time.Millisecond)
			s.clock.Step(c.step)
			s.clock.Skip(c.skip)
			began := time.Now()
			if c.silent {
				s.network.Silence(steppedAddress, true, true)
			}
			outcome := "stays open for 5 s"
			select {
			case err := <-s.ended:
				outcome = fmt.Sprintf("closed after %v, as silent: %t", time.Since(began).Round(100*time.Millisecond), errors.Is(err, ErrSilent))
			case <-time.After(5 * time.Second):
			}
			lines = append(lines, c.name+": "+outcome)
			s.stop()
			time.Sleep(5 * time.Second)
		})
	}
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "session_stepped_clock", []byte(strings.Join(lines, "\n")+"\n"))
}

// TestQuietSessionCost guards against sessions whose keep-alives cost more than one ping and one pong at a time: at 55 entries and 240
// agents there are 13,200, and both ends pinged each other at the same moments.
func TestQuietSessionCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			idleTime   = 20 * time.Second
			activeTime = 10 * time.Second
		)
		// mostFrames returns two frames for each ping interval, and 15% for moments at which both ends ping because their intervals end
		// together.
		mostFrames := func(d time.Duration, interval float64) int64 { return int64(1.15 * 2 * float64(d) / interval) }
		s := newSteppedSession(t)
		defer s.stop()
		time.Sleep(2 * time.Second)
		before := s.frames.Load()
		time.Sleep(idleTime)
		idle := s.frames.Load() - before
		if most := mostFrames(idleTime, float64(idlePingAfter)); idle > most {
			t.Errorf("%d pings and pongs in %v without tasks, more than %d", idle, idleTime, most)
		}
		tasks := int64(activeTime / (100 * time.Millisecond))
		for range tasks {
			s.peer.Send(hibiscuscoordination.NewStopMessage(nil))
			time.Sleep(100 * time.Millisecond)
		}
		active := s.frames.Load() - before - idle - tasks
		// The end that receives the tasks does not ping.
		if most := mostFrames(activeTime, acceptorPingFactor*float64(pingAfter)); active > most {
			t.Errorf("%d pings and pongs in %v with tasks in one direction, more than %d", active, activeTime, most)
		}
		s.stop()
		time.Sleep(5 * time.Second)
	})
}
