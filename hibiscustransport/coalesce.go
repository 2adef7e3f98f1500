package hibiscustransport

import (
	"encoding/binary"
	"net"
)

// yamux writes the header of a frame and its body with one system call each. The writes of an entry are mostly small frames,
// so the header is held back until the body comes and both go out with one call.

const (
	muxHeaderBytes = 12
	// muxTypeData is the frame type with a body; the other types use the length field for something else.
	muxTypeData = 0
	muxTypeAt   = 1
	muxLengthAt = 8
	// maxCoalesced is the largest body that is copied behind its header; for larger ones a second call costs less.
	maxCoalesced = 64 << 10
)

// coalescedConn is a connection below yamux, which calls Write from one goroutine only.
type coalescedConn struct {
	net.Conn
	held []byte
}

func newCoalescedConn(conn net.Conn) *coalescedConn {
	return &coalescedConn{Conn: conn, held: make([]byte, 0, muxHeaderBytes+maxCoalesced)}
}

// Write implements net.Conn.
func (c *coalescedConn) Write(b []byte) (int, error) {
	if len(c.held) == 0 {
		if len(b) == muxHeaderBytes && b[muxTypeAt] == muxTypeData && binary.BigEndian.Uint32(b[muxLengthAt:]) > 0 {
			c.held = append(c.held, b...)
			return len(b), nil
		}
		return c.Conn.Write(b)
	}
	if len(b) > maxCoalesced {
		header := c.held
		c.held = c.held[:0]
		if _, err := c.Conn.Write(header); err != nil {
			return 0, err
		}
		return c.Conn.Write(b)
	}
	frame := append(c.held, b...)
	c.held = c.held[:0]
	if _, err := c.Conn.Write(frame); err != nil {
		return 0, err
	}
	return len(b), nil
}
