package hibiscustransport

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscusprotocol"
)

// errEvicted is the error of a body whose connection was evicted.
var errEvicted = errors.Mark(errors.New("the request was ended by a limit of the listener"), hibiscusprotocol.ErrOverloaded)

// guardedConnKey is the key of the guardedConn in the contexts of its requests.
type guardedConnKey struct{}

// install makes a server report the phases of its requests to the guard, whose limits replace its own.
func (g *Guard) install(server *http.Server) {
	connContext, connState := server.ConnContext, server.ConnState
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(connContext(ctx, conn), guardedConnKey{}, guardedConnOf(conn))
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c := guardedConnOf(conn); c != nil && state == http.StateIdle {
			c.endRequest()
		}
		connState(conn, state)
	}
	server.ReadHeaderTimeout, server.ReadTimeout, server.IdleTimeout = 0, 0, 0
}

// guardedConnOf returns the guarded connection below a tracked one, nil for none.
func guardedConnOf(conn net.Conn) *guardedConn {
	if t, ok := conn.(*trackedConn); ok {
		conn = t.Conn
	}
	c, _ := conn.(*guardedConn)
	return c
}

// serve returns a handler that applies the limits to each request before it calls next.
func (g *Guard) serve(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serveGuarded(next, w, r) })
}

func serveGuarded(next http.Handler, w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(guardedConnKey{}).(*guardedConn)
	if !ok || c == nil {
		next.ServeHTTP(w, r)
		return
	}
	defer c.finishHandler()
	if status := c.beginRequest(w, r); status != 0 {
		w.Header().Set("Connection", "close")
		if status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", "1")
		}
		w.WriteHeader(status)
		return
	}
	next.ServeHTTP(w, r)
}

// beginRequest starts the phase of the body, and returns the status of a refusal, zero for none.
func (c *guardedConn) beginRequest(w http.ResponseWriter, r *http.Request) int {
	hasBody := r.ContentLength != 0
	next := phaseAnswer
	if hasBody {
		next = phaseBody
	}
	if reason := c.setPhase(next); reason != limitNone {
		c.guard.count(reason, c.address, 0)
		return http.StatusServiceUnavailable
	}
	if c.head.bytes.Load() == 0 && !c.head.grow(headBytes(r.Header)) {
		// The head was read together with the request before.
		c.guard.count(LimitHeadMemory, c.address, 0)
		return http.StatusServiceUnavailable
	}
	if !hasBody {
		c.head.settle()
		return 0
	}
	most := int64(c.guard.current.Load().MaxBodyBytes())
	if r.ContentLength > most {
		c.guard.count(LimitBodyBytes, c.address, r.ContentLength)
		return http.StatusRequestEntityTooLarge
	}
	c.request = guardedBody{body: r.Body, conn: c, header: w.Header(), left: most}
	r.Body = &c.request
	return 0
}

func headBytes(h http.Header) int64 {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + headLineBytes
		}
	}
	return int64(n)
}

// finishHandler ends the charge of the body; what the handler has not read of it is discarded.
func (c *guardedConn) finishHandler() {
	c.body.release()
	if current, _ := c.state(); current == phaseBody {
		c.setPhase(phaseDiscard)
	}
}

// endRequest makes the connection wait for its next request.
func (c *guardedConn) endRequest() {
	c.head.release()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since, c.served = phaseIdle, c.guard.now(), true
}

// guardedBody is a body that is charged to the budget of bodies while it is read, until it is closed or its handler has returned.
type guardedBody struct {
	body   io.ReadCloser
	conn   *guardedConn
	header http.Header
	// left is how many bytes the limit of a body still allows.
	left  int64
	limit LimitReason
	ended bool
}

// Read implements io.Reader.
func (b *guardedBody) Read(p []byte) (int, error) {
	if b.limit != limitNone {
		return 0, b.refuse(b.limit)
	}
	n, err := b.body.Read(p)
	c := b.conn
	if b.left -= int64(n); b.left < 0 {
		return 0, b.refuse(LimitBodyBytes)
	}
	if n > 0 && !c.body.grow(int64(n)*bodyFactor) {
		return 0, b.refuse(LimitBodyMemory)
	}
	if err == nil {
		return n, nil
	}
	// net/http returns io.EOF itself at the end of a body, and errors.Is allocates.
	if err != io.EOF && errors.Is(err, errEvicted) {
		_, reason := c.state()
		return 0, b.refuse(reason)
	}
	if err == io.EOF && !b.ended {
		// From here on the request is answered. An eviction before has set the deadline of the connection, which would look like a client
		// that has left.
		b.ended = true
		if reason := c.setPhase(phaseAnswer); reason != limitNone {
			return 0, b.refuse(reason)
		}
		c.head.settle()
		c.body.settle()
	}
	return n, err
}

// refuse counts a refused body once and returns the error for its handler, whose answer closes the connection.
func (b *guardedBody) refuse(reason LimitReason) error {
	if b.limit == limitNone {
		b.limit = reason
		b.conn.guard.count(reason, b.conn.address, b.conn.body.bytes.Load()/bodyFactor)
		b.header.Set("Connection", "close")
		b.conn.body.release()
	}
	if b.limit == LimitBodyBytes {
		return &http.MaxBytesError{Limit: int64(b.conn.guard.current.Load().MaxBodyBytes())}
	}
	b.header.Set("Retry-After", "1")
	return errEvicted
}

// Close implements io.Closer; a handler calls it when it has decoded the body, so that the memory is available to others.
func (b *guardedBody) Close() error {
	if !b.ended {
		return nil
	}
	b.conn.body.release()
	return nil
}
