package hibiscustransport

import (
	"context"
	"log/slog"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscuscoordination"
)

const (
	// lateReceiver is how long the receiver of a closed connection takes to end: on a loaded host it waits for the processor.
	lateReceiver = 100 * time.Millisecond
	// maxCloseTime is the processor time that closing a session may take meanwhile, both ends together.
	maxCloseTime = 20 * time.Millisecond
)

// lateConn is a connection whose receiver ends late after its Close, and whose writes can be made to fail.
type lateConn struct {
	net.Conn
	closed     atomic.Bool
	failWrites atomic.Bool
}

// Write implements net.Conn.
func (c *lateConn) Write(b []byte) (int, error) {
	if c.failWrites.Load() {
		return 0, errors.New("the write fails")
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *lateConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && c.closed.Load() {
		time.Sleep(lateReceiver)
	}
	return n, err
}

// Close implements net.Conn.
func (c *lateConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// emptyTimerPool must be called between tests with sessions in a bubble and those without: yamux keeps timers in a sync.Pool, which two
// collections empty.
func emptyTimerPool() {
	runtime.GC()
	runtime.GC()
}

// sessionEnd is one end of a session.
type sessionEnd struct {
	session *Session
	conn    *lateConn
}

// openSession runs a session over loopback, both ends in this process, and returns the end that dialled, the other one, and a function
// that waits until both have ended.
func openSession(t *testing.T) (dialer, acceptor sessionEnd, wait func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dialled, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	var up, goroutines sync.WaitGroup
	up.Add(2)
	run := func(conn *lateConn, dialer bool) *sessionStats {
		stats := newSessionStats()
		handlers := NewSessionHandlers(
			func() hibiscuscoordination.Hello {
				return hibiscuscoordination.NewHello(hibiscuscoordination.RoleEntry, 1, "10.0.0.1:1", "a", 0, hibiscuscoordination.Capacity{})
			},
			func(*hibiscuscoordination.Peer) error { up.Done(); return nil },
			func(*hibiscuscoordination.Peer, hibiscuscoordination.Message) error { return nil },
			func(*hibiscuscoordination.Peer) error { return nil },
		)
		goroutines.Go(func() {
			err := RunSession(context.Background(), conn, testSecret, dialer, handlers, stats, slog.New(slog.DiscardHandler))
			t.Log("session ended:", err)
		})
		return stats
	}
	conns := []*lateConn{{Conn: dialled}, {Conn: accepted}}
	stats := []*sessionStats{run(conns[0], true), run(conns[1], false)}
	up.Wait()
	var ends []sessionEnd
	for i, s := range stats {
		s.mu.Lock()
		for session := range s.open {
			ends = append(ends, sessionEnd{session: session, conn: conns[i]})
		}
		s.mu.Unlock()
	}
	return ends[0], ends[1], goroutines.Wait
}

// TestClosedSessionLeavesTheProcessor guards against streams that poll while their session is closed: after a suspension, hundreds of
// sessions that were closed as silent took the whole processor of an entry for seconds, and a version waited behind them.
func TestClosedSessionLeavesTheProcessor(t *testing.T) {
	emptyTimerPool()
	defer emptyTimerPool()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, c := range []struct {
		name  string
		close func(dialer, acceptor sessionEnd)
	}{
		{"the dialling end closes", func(dialer, _ sessionEnd) { dialer.session.close(errors.New("closed by the test")) }},
		{"the accepting end closes", func(_, acceptor sessionEnd) { acceptor.session.close(errors.New("closed by the test")) }},
		{"a write of the dialling end fails", func(dialer, _ sessionEnd) {
			dialer.conn.failWrites.Store(true)
			dialer.session.send(hibiscuscoordination.NewPingMessage())
		}},
	} {
		dialer, acceptor, wait := openSession(t)
		used := ProcessorTime()
		c.close(dialer, acceptor)
		wait()
		if took := ProcessorTime() - used; took > maxCloseTime {
			t.Errorf("a session that ends as %s takes %v of processor time, more than %v", c.name, took, maxCloseTime)
		}
	}
}
