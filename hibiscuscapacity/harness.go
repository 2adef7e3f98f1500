package hibiscuscapacity

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscusstate"
	"hibiscusrouter/hibiscustransport"
)

// A harness is a set of sessions over loopback in this process. One end of each is under measurement; the other is bare: a
// production session without an entry or agent behind it. Two bare ends cost the same, so half the cost of a harness of bare
// pairs is subtracted to get the cost of the end under measurement.

const (
	harnessService = "sighting"
	harnessKind    = "plausibility_check"
	harnessTeam    = "nokkhao"
	harnessText    = "services:\n  - name: sighting\n    kinds:\n      - {name: plausibility_check, run_ms: 1, deadline_ms: 3600000}\n" +
		"teams:\n  - {name: nokkhao, share: 60, max_queued: 100000}\n"
	harnessLease   = 1
	harnessTimeout = 30 * time.Second
)

var harnessSharedKey = []byte("a shared key for the rig only")

// harness holds the sessions and the functions that end them.
type harness struct {
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup
	log        *slog.Logger
	listener   net.Listener
	bytes      atomic.Int64
	next       atomic.Uint64
	connected  *hibiscusstate.Ring[struct{}]
	cleanup    []func()
}

func newHarness(ctx context.Context) (*harness, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &harness{
		log: slog.New(slog.NewTextHandler(io.Discard, nil)), listener: l, connected: hibiscusstate.NewRing[struct{}](1024),
	}
	r.ctx, r.stop = context.WithCancel(ctx)
	return r, nil
}

func (r *harness) close() {
	r.stop()
	for _, f := range r.cleanup {
		f()
	}
	r.goroutines.Wait()
}

// bareHandlers returns the handlers of a bare end: each session has its own incarnation, announces slots in the role of an agent,
// and passes its messages to answer.
func (r *harness) bareHandlers(
	role hibiscuscoordination.Role, slots int,
	answer func(*hibiscuscoordination.Peer, hibiscuscoordination.Message),
) hibiscustransport.SessionHandlers {
	return hibiscustransport.NewSessionHandlers(
		func() hibiscuscoordination.Hello {
			n := r.next.Add(1)
			return hibiscuscoordination.NewHello(role, hibiscusstate.Incarnation(1000+n), fmt.Sprintf("10.0.0.1:%d", n), "a", 0,
				hibiscuscoordination.Capacity{})
		},
		func(p *hibiscuscoordination.Peer) error {
			if role == hibiscuscoordination.RoleAgent {
				p.Send(hibiscuscoordination.NewCapacityMessage(hibiscuscoordination.NewCapacity(harnessService, slots, false, harnessLease)))
			}
			r.connected.TryPush(struct{}{})
			return nil
		},
		func(p *hibiscuscoordination.Peer, m hibiscuscoordination.Message) error {
			answer(p, m)
			return nil
		},
		func(*hibiscuscoordination.Peer) error { return nil },
	)
}

func ignore(*hibiscuscoordination.Peer, hibiscuscoordination.Message) {}

// accept accepts sessions at the harness's listener.
func (r *harness) accept(handlers hibiscustransport.SessionHandlers) {
	c := hibiscustransport.NewConnector(hibiscustransport.NewTCPNetwork(), harnessSharedKey, handlers, r.log)
	r.goroutines.Go(func() { c.Accept(r.ctx, r.listener) })
	r.goroutines.Go(func() { c.Reconcile(r.ctx, func() []string { return nil }) })
}

// dial opens n sessions to the harness's listener.
func (r *harness) dial(n int, handlers hibiscustransport.SessionHandlers) {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("end-%d", i)
	}
	network := hibiscustransport.NewNetwork(nil, func(ctx context.Context, _ string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", r.listener.Addr().String())
		return &countedConn{Conn: conn, bytes: &r.bytes}, err
	})
	c := hibiscustransport.NewConnector(network, harnessSharedKey, handlers, r.log)
	r.goroutines.Go(func() { c.Reconcile(r.ctx, func() []string { return names }) })
}

// awaitConnected waits until n bare ends are connected.
func (r *harness) awaitConnected(n int) error {
	timeout := time.AfterFunc(harnessTimeout, r.connected.Close)
	defer timeout.Stop()
	for range n {
		if _, err := r.connected.Pop(); err != nil {
			return err
		}
	}
	return nil
}

// entry runs an entry at the harness's listener.
func (r *harness) entry() (*hibiscuscoordination.Entry, error) {
	identity := hibiscuscoordination.NewIdentity(1, r.listener.Addr().String(), "a")
	e := hibiscuscoordination.NewEntry(identity, func(hibiscuscoordination.Event) {}, r.log)
	document, err := hibiscusprotocol.ParseConfiguration("rig", []byte(harnessText))
	if err != nil {
		return nil, err
	}
	r.goroutines.Go(e.Run)
	r.cleanup = append(r.cleanup, e.Stop)
	r.accept(hibiscustransport.NewSessionHandlers(e.Hello, e.PeerUp, e.PeerMessage, e.PeerDown))
	return e, e.Configure(hibiscusstate.NewConfiguration(1, harnessText, document))
}

// agent runs an agent that dials n entries and gets an announcement of its endpoint every second.
func (r *harness) agent(n int) {
	identity := hibiscuscoordination.NewIdentity(1, "10.0.0.2:1", "a")
	a := hibiscuscoordination.NewAgent(identity, AgentsSettings{}.execute, r.log)
	r.goroutines.Go(a.Run)
	r.cleanup = append(r.cleanup, a.Stop)
	r.goroutines.Go(func() { AgentsSettings{service: harnessService, slots: 8}.announce(r.ctx, a) })
	r.dial(n, hibiscustransport.NewSessionHandlers(a.Hello, a.PeerUp, a.PeerMessage, a.PeerDown))
}

// countedConn counts the bytes in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
