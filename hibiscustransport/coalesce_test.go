package hibiscustransport

import (
	"bytes"
	"net"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// countedConn remembers what each call wrote.
type countedConn struct {
	net.Conn
	writes [][]byte
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	c.writes = append(c.writes, bytes.Clone(b))
	return len(b), nil
}

func muxHeader(kind, length byte) []byte { return []byte{0, kind, 0, 0, 0, 0, 0, 1, 0, 0, 0, length} }

// TestCoalescedConn guards against a header that stays behind when no body follows, and against a body that is taken for a
// header: either stalls or garbles a session.
func TestCoalescedConn(t *testing.T) {
	lookalike := muxHeader(muxTypeData, 5)
	large := make([]byte, maxCoalesced+1)
	for _, c := range []struct {
		name   string
		in     [][]byte
		writes [][]byte
	}{
		{"header and body", [][]byte{muxHeader(0, 3), []byte("abc")}, [][]byte{append(muxHeader(0, 3), "abc"...)}},
		{"window update", [][]byte{muxHeader(1, 3)}, [][]byte{muxHeader(1, 3)}},
		{"data without body", [][]byte{muxHeader(0, 0)}, [][]byte{muxHeader(0, 0)}},
		{"body like a header", [][]byte{muxHeader(0, 12), lookalike, muxHeader(1, 3)},
			[][]byte{append(muxHeader(0, 12), lookalike...), muxHeader(1, 3)}},
		{"large body", [][]byte{muxHeader(0, 9), large, muxHeader(0, 1), {1}}, [][]byte{muxHeader(0, 9), large, append(muxHeader(0, 1), 1)}},
	} {
		conn := &countedConn{}
		coalesced := newCoalescedConn(conn)
		convey.Convey(c.name, t, func() {
			for _, b := range c.in {
				n, err := coalesced.Write(b)
				convey.So(err, convey.ShouldBeNil)
				convey.So(n, convey.ShouldEqual, len(b))
			}
			convey.So(conn.writes, convey.ShouldResemble, c.writes)
		})
	}
}
