package hibiscustransport

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// muxConn is the connection of a yamux session, which is closed with Close instead of the session's own Close. yamux ends its streams only
// when its receiver has returned; if it is shut down before, each blocked read of a stream repeats without pause until then. So it may
// learn of the end of the connection from its receiver only. It is safe for concurrent use.
type muxConn struct {
	net.Conn
	readOnce sync.Once
	// readEnded is closed when a read has failed, after which the receiver ends the session.
	readEnded chan struct{}
}

func newMuxConn(conn net.Conn) *muxConn {
	return &muxConn{Conn: conn, readEnded: make(chan struct{})}
}

// Read implements net.Conn.
func (c *muxConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		c.readOnce.Do(func() { close(c.readEnded) })
	}
	return n, err
}

// Write implements net.Conn. A failed write closes the connection and returns after the receiver has noticed.
func (c *muxConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		err = errors.CombineErrors(err, c.Close())
		<-c.readEnded
	}
	return n, err
}
