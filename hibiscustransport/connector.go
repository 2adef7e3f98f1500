package hibiscustransport

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscuscoordination"
)

// The Connector maintains one session to each wanted address (see Reconcile), and accepts the sessions that others open.

const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
	// earlyBackoff bounds the backoff within earlyPeriod after a session was lost: when a whole site restarts, its processes start
	// within a second of each other, and no task is served before the sessions are open.
	earlyBackoff = 100 * time.Millisecond
	earlyPeriod  = 3 * time.Second
	// sessionDialTimeout bounds the setup of a connection. A host that is still down drops the first SYN, and TCP would retransmit
	// it only after a second.
	sessionDialTimeout = 300 * time.Millisecond
	// reconcileEvery is the interval between reconciliations with the wanted addresses.
	reconcileEvery = 250 * time.Millisecond
)

// Connector runs the sessions of one process.
type Connector struct {
	network    Network
	secret     []byte
	handlers   SessionHandlers
	stats      *sessionStats
	log        *slog.Logger
	mu         sync.Mutex
	cancels    map[string]context.CancelFunc
	goroutines sync.WaitGroup
	warnings   map[string]*warning
}

// warning limits the log lines about one cause.
type warning struct {
	at    time.Time
	count int
}

// report logs a line at most once in warningInterval for each message, with the number since the last line.
func (c *Connector) report(level slog.Level, message, address string, cause error) {
	c.mu.Lock()
	w := c.warnings[message]
	if w == nil {
		w = &warning{}
		c.warnings[message] = w
	}
	w.count++
	n, now := w.count, time.Now()
	due := now.Sub(w.at) >= warningInterval
	if due {
		w.at, w.count = now, 0
	}
	c.mu.Unlock()
	if due {
		c.log.Log(context.Background(), level, message, "address", address, "cause", cause.Error(), "count", n)
	}
}

// NewConnector returns a connector; all processes of a deployment share the secret.
func NewConnector(network Network, secret []byte, handlers SessionHandlers, log *slog.Logger) *Connector {
	return &Connector{
		network: network, secret: secret, handlers: handlers, stats: newSessionStats(), log: log,
		cancels: map[string]context.CancelFunc{}, warnings: map[string]*warning{},
	}
}

// Counters returns the totals of the sessions.
func (c *Connector) Counters() hibiscuscoordination.SessionCounters { return c.stats.counters() }

// Accept runs the sessions of connections accepted by a listener until ctx is done.
func (c *Connector) Accept(ctx context.Context, l net.Listener) {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The process has no descriptor left for a while, or the client has left.
			c.stats.strangers.closeOldest()
			c.report(slog.LevelWarn, "session: connection not accepted", l.Addr().String(), err)
			select {
			case <-ctx.Done():
			case <-time.After(acceptBackoff):
			}
			continue
		}
		c.stats.strangers.add(conn)
		c.goroutines.Go(func() {
			c.run(ctx, conn, false)
			c.stats.strangers.remove(conn)
		})
	}
}

// Reconcile maintains a session to each address that wanted returns until ctx is done, and returns when all sessions have ended.
func (c *Connector) Reconcile(ctx context.Context, wanted func() []string) {
	ticker := time.NewTicker(reconcileEvery)
	defer ticker.Stop()
	for {
		c.reconcile(ctx, wanted())
		select {
		case <-ctx.Done():
			c.goroutines.Wait()
			return
		case <-ticker.C:
		}
	}
}

func (c *Connector) reconcile(ctx context.Context, wanted []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	keep := map[string]bool{}
	for _, address := range wanted {
		keep[address] = true
		if c.cancels[address] == nil {
			addressCtx, cancel := context.WithCancel(ctx)
			c.cancels[address] = cancel
			c.goroutines.Go(func() { c.keepSession(addressCtx, address) })
		}
	}
	for address, cancel := range c.cancels {
		if !keep[address] {
			cancel()
			delete(c.cancels, address)
		}
	}
}

// keepSession runs in one goroutine for each wanted address: it opens a new session whenever the last one ended.
func (c *Connector) keepSession(ctx context.Context, address string) {
	backoff := firstBackoff
	lostAt := time.Now()
	for dials := 0; ctx.Err() == nil; dials++ {
		began := time.Now()
		if dials > 0 {
			c.stats.reconnects.Add(1)
		}
		opened := c.dial(ctx, address)
		if opened && time.Since(began) > maxBackoff {
			backoff = firstBackoff
			lostAt = time.Now()
		}
		if time.Since(lostAt) < earlyPeriod {
			backoff = min(backoff, earlyBackoff)
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// dial opens a session to an address, runs it until it ends, and reports whether it was open.
func (c *Connector) dial(ctx context.Context, address string) bool {
	dialCtx, cancel := context.WithTimeout(ctx, sessionDialTimeout)
	conn, err := c.network.Dial(dialCtx, address)
	cancel()
	if err != nil {
		c.report(slog.LevelInfo, "session: can't connect", address, err)
		return false
	}
	return c.run(ctx, conn, true)
}

// run runs a session until it ends, and reports whether it was open.
func (c *Connector) run(ctx context.Context, conn net.Conn, dialer bool) bool {
	err := RunSession(ctx, conn, c.secret, dialer, c.handlers, c.stats, c.log)
	c.stats.countEnd(err)
	switch address := conn.RemoteAddr().String(); {
	case errors.Is(err, ErrHandshake):
		c.report(slog.LevelWarn, "session: peer was refused", address, err)
	case errors.Is(err, ErrSilent):
		c.report(slog.LevelInfo, "session: closed, nothing was received", address, err)
	default:
		c.report(slog.LevelInfo, "session: ended", address, err)
	}
	return !errors.Is(err, errNotOpened)
}
