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

// lateConn is a connection whose receiver ends late after its Close.
type lateConn struct {
	net.Conn
	closed atomic.Bool
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

// openSession runs a session over loopback, both ends in this process, and returns the end that dialled, the other one, and a function
// that waits until both have ended.
func openSession(t *testing.T) (dialer, acceptor *Session, wait func()) {
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
	run := func(conn net.Conn, dialer bool) *sessionStats {
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
			err := RunSession(context.Background(), &lateConn{Conn: conn}, testSecret, dialer, handlers, stats, slog.New(slog.DiscardHandler))
			t.Log("session ended:", err)
		})
		return stats
	}
	ends := []*sessionStats{run(dialled, true), run(accepted, false)}
	up.Wait()
	var sessions []*Session
	for _, stats := range ends {
		stats.mu.Lock()
		for s := range stats.open {
			sessions = append(sessions, s)
		}
		stats.mu.Unlock()
	}
	return sessions[0], sessions[1], goroutines.Wait
}

// TestClosedSessionLeavesTheProcessor guards against streams that poll while their session is closed: after a suspension, hundreds of
// sessions that were closed as silent took the whole processor of an entry for seconds, and a version waited behind them.
func TestClosedSessionLeavesTheProcessor(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, end := range []string{"dialling", "accepting"} {
		dialer, acceptor, wait := openSession(t)
		closing := dialer
		if end == "accepting" {
			closing = acceptor
		}
		used := ProcessorTime()
		closing.close(errors.New("closed by the test"))
		wait()
		if took := ProcessorTime() - used; took > maxCloseTime {
			t.Errorf("a session that its %s end closes takes %v of processor time, more than %v", end, took, maxCloseTime)
		}
	}
}
