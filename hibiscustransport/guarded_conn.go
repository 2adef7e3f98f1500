package hibiscustransport

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// phase is what a connection is doing.
type phase int

const (
	// phaseIdle waits for the first byte of a request.
	phaseIdle phase = iota
	phaseHead
	// phaseBody is the time from the start of the handler until it has read the body.
	phaseBody
	// phaseAnswer is the time until the request is answered. Such a connection is not closed for the sake of another.
	phaseAnswer
	// phaseDiscard is the time in which net/http reads what the handler left of a body.
	phaseDiscard
)

// errRead is the error of the reads of an evicted connection. net/http closes a connection after an error of this type without an answer
// of its own.
var errRead error = &net.OpError{Op: "read", Net: "tcp", Err: errEvicted}

// readBuffer is the size of net/http's buffer, in which the start of the next request may lie.
const readBuffer = 4096

// guardedConn is a connection of a guarded listener. net/http reads it from one goroutine at a time.
type guardedConn struct {
	net.Conn
	guard   *Guard
	address string
	head    charge
	body    charge
	// request is the body of the current request.
	request guardedBody
	// writing is the time at which a write began, zero for none.
	writing atomic.Int64
	mu      sync.Mutex
	phase   phase
	since   time.Duration
	served  bool
	evicted LimitReason
	// departing is set when the connection was evicted to make room and is not closed yet, guarded by guard.mu.
	departing bool

	// The rest is used only by the reading goroutine and between requests.
	headBytes int
	lines     int
	// lineBytes is the number of bytes since the last line break, and lineCR is set when they are one carriage return.
	lineBytes int
	lineCR    bool
	// started is set by a line that is not empty.
	started   bool
	headEnded bool
	// tailLines is the number of lines in the last bytes that were read after a head: they may be the start of the next one.
	tailLines int
}

func newGuardedConn(g *Guard, conn net.Conn) *guardedConn {
	c := &guardedConn{Conn: conn, guard: g, since: g.now()}
	if host, _, err := net.SplitHostPort(conn.RemoteAddr().String()); err == nil {
		c.address = host
	}
	c.head = charge{budget: g.guards.heads, limit: g.headLimit, evict: func() bool { return c.evict(LimitHeadMemory) }}
	c.body = charge{budget: g.guards.bodies, limit: g.bodyLimit, evict: func() bool { return c.evict(LimitBodyMemory) }}
	return c
}

// setPhase changes the phase and returns the limit by which the connection was evicted before.
func (c *guardedConn) setPhase(p phase) LimitReason {
	now := c.guard.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = p, now
	return c.evicted
}

func (c *guardedConn) state() (phase, LimitReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase, c.evicted
}

// evict ends a connection that is not being answered: its reading goroutine refuses the request and closes the connection. It returns
// false if the connection is being answered.
func (c *guardedConn) evict(reason LimitReason) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted != limitNone || c.phase == phaseAnswer {
		return false
	}
	c.evicted = reason
	if c.Conn.SetReadDeadline(time.Unix(1, 0)) != nil {
		c.Conn.Close()
	}
	return true
}

// evictionScore is higher the sooner a connection should be closed for the sake of another, and zero for one that must not be.
func (c *guardedConn) evictionScore(now time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := now - c.since + 1
	switch {
	case c.evicted != limitNone || c.phase == phaseAnswer:
		return 0
	case c.phase == phaseIdle && c.served:
		return age
	case age < ordinaryTime:
		if c.phase == phaseBody {
			return 0
		}
		return age
	default:
		// A connection without a whole request goes before an idle one that had requests.
		return age + time.Hour
	}
}

// applyTimes evicts or closes the connection if it is over a limit of time; closing is set while the server stops.
func (c *guardedConn) applyTimes(limits hibiscusstate.RequestLimits, now time.Duration, closing bool) {
	mostBody, mostDiscard, mostAnswer := bodyTimeout, limits.HeadTimeout()+timeoutMargin, answerTimeout
	if closing {
		mostBody, mostDiscard, mostAnswer = closingTimeout, closingTimeout, closingTimeout
	}
	c.mu.Lock()
	age, p := now-c.since, c.phase
	c.mu.Unlock()
	switch {
	case p == phaseIdle && age > limits.IdleTimeout()+timeoutMargin:
		c.evict(LimitIdleTime)
	case p == phaseHead && age > limits.HeadTimeout()+timeoutMargin:
		c.evict(LimitHeadTime)
	case p == phaseBody && age > mostBody, p == phaseDiscard && age > mostDiscard:
		c.evict(LimitBodyTime)
	}
	if began := time.Duration(c.writing.Load()); began > 0 && now-began > mostAnswer {
		c.guard.count(LimitAnswerTime, c.address, 0)
		c.Conn.Close()
	}
}

// Read implements net.Conn; it counts the head of a request and ends the connection at a limit.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	current, reason := c.state()
	if reason == limitNone && n > 0 {
		reason = c.count(current, p[:n])
	}
	if reason == limitNone {
		return n, err
	}
	if current == phaseBody || current == phaseDiscard {
		return 0, errRead
	}
	c.guard.count(reason, c.address, int64(c.headBytes))
	if text := reason.refusal(); text != "" && (n > 0 || current == phaseHead) {
		c.refuse(text)
	}
	return 0, errRead
}

// refuse answers a request whose head was not read whole.
func (c *guardedConn) refuse(text string) {
	if c.SetWriteDeadline(time.Now().Add(time.Second)) == nil {
		// The client may have closed the connection.
		_, _ = c.Conn.Write([]byte(text))
	}
}

// count counts bytes that were read, and returns the limit that they are over.
func (c *guardedConn) count(current phase, b []byte) LimitReason {
	if current == phaseIdle {
		if reason := c.setPhase(phaseHead); reason != limitNone {
			return reason
		}
		c.headBytes, c.lines, c.lineBytes = 0, c.tailLines, 0
		c.lineCR, c.started, c.headEnded = false, false, false
		current = phaseHead
	}
	if current != phaseHead || c.headEnded {
		c.tailLines = bytes.Count(b[max(0, len(b)-readBuffer):], []byte{'\n'})
		return limitNone
	}
	lines := c.lines
	if c.headBytes == 0 {
		lines = 0
	}
	n := c.scanHead(b)
	c.headBytes += n
	if c.headBytes > c.guard.current.Load().MaxHeadBytes()+headMargin {
		return LimitHeadBytes
	}
	if !c.head.grow(int64(n + (c.lines-lines)*headLineBytes)) {
		return LimitHeadMemory
	}
	return limitNone
}

// scanHead counts lines until the end of the head and returns the number of its bytes in b. Empty lines before the request line belong to
// the head; the first empty line after it ends it.
func (c *guardedConn) scanHead(b []byte) int {
	for i := 0; i < len(b); {
		end := bytes.IndexByte(b[i:], '\n')
		if end < 0 {
			rest := b[i:]
			c.lineCR = c.lineBytes == 0 && len(rest) == 1 && rest[0] == '\r'
			c.lineBytes += len(rest)
			return len(b)
		}
		line := b[i : i+end]
		i += end + 1
		empty := c.lineBytes == 0 && (len(line) == 0 || len(line) == 1 && line[0] == '\r') || c.lineCR && len(line) == 0
		c.lines++
		c.lineBytes, c.lineCR = 0, false
		if !empty {
			c.started = true
		} else if c.started {
			c.headEnded = true
			c.tailLines = bytes.Count(b[i:], []byte{'\n'})
			return i
		}
	}
	return len(b)
}

// Write implements net.Conn; it marks the time for which the client reads nothing.
func (c *guardedConn) Write(p []byte) (int, error) {
	written := 0
	for {
		c.writing.Store(int64(c.guard.now()) + 1)
		n, err := c.Conn.Write(p[:min(len(p), writePart)])
		written += n
		if p = p[n:]; err != nil || len(p) == 0 {
			c.writing.Store(0)
			return written, err
		}
	}
}

// SetReadDeadline implements net.Conn; the deadline of an evicted connection stays.
func (c *guardedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted != limitNone {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the writing side where the connection supports it, as net/http does before it closes a connection.
func (c *guardedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	c.guard.remove(c)
	c.head.release()
	c.body.release()
	return c.Conn.Close()
}
