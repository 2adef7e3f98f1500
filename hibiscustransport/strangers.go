package hibiscustransport

import (
	"container/list"
	"net"
	"sync"
	"time"
)

const (
	// maxStrangers bounds the connections whose peer has not proved the shared key yet. All sessions of a deployment may open at once, and
	// a handshake takes some milliseconds.
	maxStrangers = 512
	// acceptBackoff is the pause after a connection that could not be accepted.
	acceptBackoff = 50 * time.Millisecond
	// warningInterval is the time between two warnings of a connector about one cause.
	warningInterval = time.Second
)

// strangers are the accepted connections whose peer has not proved the shared key yet, in the order of their arrival. A connection over
// the bound closes the oldest, which has had more time than an honest peer needs. It is safe for concurrent use.
type strangers struct {
	mu       sync.Mutex
	order    *list.List
	elements map[net.Conn]*list.Element
}

func newStrangers() *strangers {
	return &strangers{order: list.New(), elements: map[net.Conn]*list.Element{}}
}

func (s *strangers) add(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.elements[conn] = s.order.PushBack(conn)
	if s.order.Len() > maxStrangers {
		s.closeFirst()
	}
}

// remove takes out a connection whose peer is known or which has ended.
func (s *strangers) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.elements[conn]; e != nil {
		s.order.Remove(e)
		delete(s.elements, conn)
	}
}

func (s *strangers) closeOldest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.order.Len() > 0 {
		s.closeFirst()
	}
}

func (s *strangers) closeFirst() {
	e := s.order.Front()
	conn, _ := s.order.Remove(e).(net.Conn)
	delete(s.elements, conn)
	conn.Close()
}
