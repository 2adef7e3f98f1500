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

// A rig is a set of sessions over loopback in this process. One end of each is under measurement; the other is bare: a
// production session without a duty behind it. Two bare ends cost the same, so half of what a rig of bare pairs costs is
// taken off to get the cost of the end under measurement.

const (
	rigService = "sighting"
	rigKind    = "plausibility_check"
	rigTeam    = "nokkhao"
	rigText    = "services:\n  - name: sighting\n    kinds:\n      - {name: plausibility_check, run_ms: 1, deadline_ms: 3600000}\n" +
		"teams:\n  - {name: nokkhao, share: 60, max_queued: 100000}\n"
	rigLease   = 1
	rigTimeout = 30 * time.Second
)

var rigSecret = []byte("a shared key for the rig only")

// rig holds the sessions and what they need to end.
type rig struct {
	ctx      context.Context
	stop     context.CancelFunc
	duties   sync.WaitGroup
	log      *slog.Logger
	listener net.Listener
	bytes    atomic.Int64
	next     atomic.Uint64
	up       *hibiscusstate.Ring[struct{}]
	cleanup  []func()
}

func newRig(ctx context.Context) (*rig, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &rig{
		log: slog.New(slog.NewTextHandler(io.Discard, nil)), listener: l, up: hibiscusstate.NewRing[struct{}](1024),
	}
	r.ctx, r.stop = context.WithCancel(ctx)
	return r, nil
}

func (r *rig) close() {
	r.stop()
	for _, f := range r.cleanup {
		f()
	}
	r.duties.Wait()
}

// bare returns the handlers of a bare end: each session has its own incarnation, offers slots when it plays an agent, and
// gives its messages to answer.
func (r *rig) bare(
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
				p.Send(hibiscuscoordination.NewCapacityMessage(hibiscuscoordination.NewCapacity(rigService, slots, false, rigLease)))
			}
			r.up.TryPush(struct{}{})
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

// accept takes sessions at the rig's listener.
func (r *rig) accept(handlers hibiscustransport.SessionHandlers) {
	c := hibiscustransport.NewConnector(hibiscustransport.NewTCPNetwork(), rigSecret, handlers, r.log)
	r.duties.Go(func() { c.Accept(r.ctx, r.listener) })
	r.duties.Go(func() { c.Reconcile(r.ctx, func() []string { return nil }) })
}

// dial opens n sessions to the rig's listener.
func (r *rig) dial(n int, handlers hibiscustransport.SessionHandlers) {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("end-%d", i)
	}
	network := hibiscustransport.NewNetwork(nil, func(ctx context.Context, _ string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", r.listener.Addr().String())
		return &countedConn{Conn: conn, bytes: &r.bytes}, err
	})
	c := hibiscustransport.NewConnector(network, rigSecret, handlers, r.log)
	r.duties.Go(func() { c.Reconcile(r.ctx, func() []string { return names }) })
}

// await returns when n bare ends are connected.
func (r *rig) await(n int) error {
	late := time.AfterFunc(rigTimeout, r.up.Close)
	defer late.Stop()
	for range n {
		if _, err := r.up.Pop(); err != nil {
			return err
		}
	}
	return nil
}

// entry runs the dispatch duty of an entry at the rig's listener.
func (r *rig) entry() (*hibiscuscoordination.Entry, error) {
	identity := hibiscuscoordination.NewIdentity(1, r.listener.Addr().String(), "a")
	e := hibiscuscoordination.NewEntry(identity, func(hibiscuscoordination.Event) {}, r.log)
	document, err := hibiscusprotocol.ParseConfiguration("rig", []byte(rigText))
	if err != nil {
		return nil, err
	}
	r.duties.Go(e.Run)
	r.cleanup = append(r.cleanup, e.Stop)
	r.accept(hibiscustransport.NewSessionHandlers(e.Hello, e.PeerUp, e.PeerMessage, e.PeerDown))
	return e, e.Configure(hibiscusstate.NewConfiguration(1, rigText, document))
}

// agent runs the slots duty of an agent that dials n entries, told of its endpoint every second.
func (r *rig) agent(n int) {
	identity := hibiscuscoordination.NewIdentity(1, "10.0.0.2:1", "a")
	a := hibiscuscoordination.NewAgent(identity, AgentsSettings{}.execute, r.log)
	r.duties.Go(a.Run)
	r.cleanup = append(r.cleanup, a.Stop)
	r.duties.Go(func() { AgentsSettings{service: rigService, slots: 8}.announce(r.ctx, a) })
	r.dial(n, hibiscustransport.NewSessionHandlers(a.Hello, a.PeerUp, a.PeerMessage, a.PeerDown))
}

// countedConn counts what goes both ways.
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
