package hibiscustransport

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// muxConn is the connection of a yamux session. yamux marks the session as shut down, closes the connection, waits until its receiver has
// returned, and only then ends the streams. In between, a blocked read or write of a stream would repeat without pause, so muxConn lets
// them time out first. It is safe for concurrent use.
type muxConn struct {
	net.Conn
	mu      sync.Mutex
	closed  bool
	streams []net.Conn
}

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

func newMuxConn(conn net.Conn) *muxConn { return &muxConn{Conn: conn} }

// add registers a stream whose reads and writes end with the connection.
func (c *muxConn) add(stream net.Conn) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams = append(c.streams, stream)
	if c.closed {
		return stream.SetDeadline(expired)
	}
	return nil
}

// Close implements net.Conn.
func (c *muxConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	var err error
	for _, stream := range c.streams {
		err = errors.CombineErrors(err, stream.SetDeadline(expired))
	}
	return errors.CombineErrors(c.Conn.Close(), err)
}
