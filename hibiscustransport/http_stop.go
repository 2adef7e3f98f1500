package hibiscustransport

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// The stop of an HTTP server. http.Server.Shutdown closes a connection without an answer when it has read a request, or a part of one,
// but not yet called the handler; clients keep connections open and send requests until the process is gone. A server that
// stops here answers each connection before it closes it: requests that have reached their handler get its answer, all others a
// refusal, also a connection without a request, because one may be on its way.

const (
	// acceptDrainTimeout bounds the time in which a stopping server accepts connections that clients have opened, and lastAcceptTimeout
	// without another one ends it. The kernel resets those that have not been accepted when the listener is closed.
	acceptDrainTimeout = 50 * time.Millisecond
	lastAcceptTimeout  = time.Millisecond
	// closeDrainTimeout is how long a connection is read after its last answer until the client closes it. When unread bytes arrive at a
	// closed connection, the kernel resets it, and the client may lose the answer.
	closeDrainTimeout = 250 * time.Millisecond
	// refusalWriteTimeout bounds the write of a refusal to a client that does not read.
	refusalWriteTimeout = 100 * time.Millisecond
	// stopRefusal is the answer to requests that a stopping server does not execute.
	stopRefusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
)

// errServerStopping is the error of reads of a body whose request was refused because the server stops.
var errServerStopping = errors.New("the server is stopping")

// connTracker knows the open connections of a server and what each of them does.
type connTracker struct {
	net.Listener
	stopping atomic.Bool
	mu       sync.Mutex
	// acceptUntil is when the server stops accepting.
	acceptUntil time.Time
	conns       map[*trackedConn]struct{}
	// finishing means that no more connections are accepted; then empty is closed when none is open.
	finishing bool
	empty     chan struct{}
}

// trackedConn is a connection of a server. Its requests are handled one after the other.
type trackedConn struct {
	net.Conn
	tracker *connTracker
	mu      sync.Mutex
	// handling means that the handler of a request runs or that its answer was not written yet, reading that the handler waits for the
	// body, and answering that a part of the answer was written.
	handling  bool
	reading   bool
	answering bool
	// refused means that the refusal was written and the write side closed; nothing else is written.
	refused bool
}

func newConnTracker(l net.Listener) *connTracker {
	return &connTracker{Listener: l, conns: map[*trackedConn]struct{}{}, empty: make(chan struct{})}
}

// Accept implements net.Listener.
func (t *connTracker) Accept() (net.Conn, error) {
	if t.stopping.Load() {
		return t.acceptLast()
	}
	conn, err := t.Listener.Accept()
	switch {
	case err == nil:
		return t.track(conn), nil
	case t.stopping.Load():
		return t.acceptLast()
	}
	return nil, err
}

// acceptLast accepts a connection that a client has opened before the listener is closed.
func (t *connTracker) acceptLast() (net.Conn, error) {
	// stop sets a deadline, too; it must not come after the one that is set here.
	t.mu.Lock()
	until := t.acceptUntil
	t.mu.Unlock()
	if l, ok := t.Listener.(deadliner); ok && time.Now().Before(until) && l.SetDeadline(time.Now().Add(lastAcceptTimeout)) == nil {
		if conn, err := t.Listener.Accept(); err == nil {
			return t.track(conn), nil
		}
	}
	t.Close()
	return nil, net.ErrClosed
}

func (t *connTracker) track(conn net.Conn) *trackedConn {
	c := &trackedConn{Conn: conn, tracker: t}
	t.mu.Lock()
	t.conns[c] = struct{}{}
	t.mu.Unlock()
	return c
}

// deadliner is a listener with a time limit for Accept.
type deadliner interface{ SetDeadline(t time.Time) error }

// stop refuses all requests that arrive from now on, and ends Accept.
func (t *connTracker) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.acceptUntil = time.Now().Add(acceptDrainTimeout)
	t.stopping.Store(true)
	if l, ok := t.Listener.(deadliner); !ok || l.SetDeadline(time.Now()) != nil {
		t.Close()
	}
}

// finish refuses what is on the connections that handle no request, and waits for all connections to end, at most for grace. It must be
// called after the server has stopped accepting.
func (t *connTracker) finish(grace time.Duration) error {
	timeout := time.NewTimer(grace)
	defer timeout.Stop()
	var refusals sync.WaitGroup
	for _, c := range t.open() {
		refusals.Go(c.refuseUnhandled)
	}
	refusals.Wait()
	t.mu.Lock()
	t.finishing = true
	t.mu.Unlock()
	t.closeIfEmpty()
	select {
	case <-t.empty:
		return nil
	case <-timeout.C:
		open := t.open()
		for _, c := range open {
			_ = c.closeNow()
		}
		return errors.Wrapf(context.DeadlineExceeded, "%d connections were still open", len(open))
	}
}

func (t *connTracker) open() []*trackedConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := make([]*trackedConn, 0, len(t.conns))
	for c := range t.conns {
		conns = append(conns, c)
	}
	return conns
}

// closeIfEmpty closes empty when no connection is open and none will be.
func (t *connTracker) closeIfEmpty() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) > 0 || !t.finishing {
		return
	}
	select {
	case <-t.empty:
	default:
		close(t.empty)
	}
}

// serve calls next for a request, or refuses the request when the server stops.
func (t *connTracker) serve(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(trackedConnKey{}).(*trackedConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if !c.begin() {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.ContentLength != 0 {
			r.Body = &trackedBody{ReadCloser: r.Body, conn: c}
		}
		next.ServeHTTP(w, r)
	})
}

// trackedConnKey is the key of the trackedConn of a request in its context.
type trackedConnKey struct{}

// begin records that a request has reached its handler, and reports whether it may be executed.
func (c *trackedConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tracker.stopping.Load() || c.refused {
		return false
	}
	c.handling, c.reading, c.answering = true, false, false
	return true
}

// answered records that the answer to a request was written, and refuses the next one when the server stops.
func (c *trackedConn) answered() {
	c.mu.Lock()
	c.handling = false
	c.mu.Unlock()
	if c.tracker.stopping.Load() {
		c.refuseUnhandled()
	}
}

// refuseUnhandled refuses the request of a connection, unless its handler may execute it: then the handler answers. A handler that
// waits for the body does not execute it, because the body is never passed to it.
func (c *trackedConn) refuseUnhandled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.handling || c.reading {
		c.refuse()
	}
}

// refuse writes the refusal, unless a part of an answer was written. It closes the write side, and the connection if the client does
// not close it in time. The caller holds mu.
func (c *trackedConn) refuse() {
	if c.refused || c.handling && c.answering {
		return
	}
	c.refused = true
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	// The client may be gone; nothing else can be done for it.
	_, _ = io.WriteString(c.Conn, stopRefusal)
	_ = c.CloseWrite()
	time.AfterFunc(closeDrainTimeout, func() { _ = c.closeNow() })
}

// CloseWrite closes the write side, if the network supports it; http.Server uses it, too.
func (c *trackedConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Write implements net.Conn. After the refusal of the request it discards the answer of the handler.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.refused {
		c.mu.Unlock()
		return len(b), nil
	}
	// The request to send the body is not the answer.
	if len(b) < 12 || string(b[:12]) != "HTTP/1.1 100" {
		c.answering = true
	}
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Close implements net.Conn. While the server stops, it closes the write side and reads until the client has closed the connection, so
// that the client gets the whole answer.
func (c *trackedConn) Close() error {
	if c.tracker.stopping.Load() {
		c.drain()
	}
	return c.closeNow()
}

func (c *trackedConn) drain() {
	if c.CloseWrite() == nil && c.SetReadDeadline(time.Now().Add(closeDrainTimeout)) == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
}

func (c *trackedConn) closeNow() error {
	t := c.tracker
	t.mu.Lock()
	delete(t.conns, c)
	t.mu.Unlock()
	err := c.Conn.Close()
	if t.stopping.Load() {
		t.closeIfEmpty()
	}
	return err
}

// trackedBody is the body of a request.
type trackedBody struct {
	io.ReadCloser
	conn *trackedConn
}

// Read implements io.Reader. It refuses the request when the server stops, and then fails, so that the handler does not execute it.
func (b *trackedBody) Read(p []byte) (int, error) {
	if !b.conn.setReading(true) {
		return 0, errServerStopping
	}
	n, err := b.ReadCloser.Read(p)
	if !b.conn.setReading(false) {
		return 0, errServerStopping
	}
	return n, err
}

// setReading records whether the handler waits for the body, and reports whether it may have it.
func (c *trackedConn) setReading(reading bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tracker.stopping.Load() && reading {
		c.refuse()
	}
	c.reading = reading
	return !c.refused
}
