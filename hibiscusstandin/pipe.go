package hibiscusstandin

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// A pipe transfers the bytes of one direction of a connection: it buffers them, delivers them after a delay, and can drop or
// withhold them while the connection stays open. net.Pipe has no buffer, so two ends that both write would block each other,
// unlike with TCP.

const pipeBytes = 1 << 20

type pipe struct {
	mu     sync.Mutex
	chunks []chunk
	bytes  int
	closed bool
	cut    bool
	paused bool
	// arrival returns when n bytes that are written now arrive.
	arrival  func(n int) time.Time
	silent   atomic.Bool
	changed  chan struct{}
	deadline time.Time
}

type chunk struct {
	data []byte
	due  time.Time
}

func newPipe(arrival func(n int) time.Time) *pipe {
	return &pipe{arrival: arrival, changed: make(chan struct{})}
}

// wake wakes all waiting readers and writers after a change; the caller holds the lock.
func (p *pipe) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pipe) write(b []byte) (int, error) {
	for {
		p.mu.Lock()
		if p.closed && !p.paused {
			p.mu.Unlock()
			return 0, io.ErrClosedPipe
		}
		if p.closed || p.silent.Load() {
			// The writer doesn't notice that the reader is gone while nothing gets through.
			p.mu.Unlock()
			return len(b), nil
		}
		if p.bytes < pipeBytes {
			p.chunks = append(p.chunks, chunk{data: append([]byte(nil), b...), due: p.arrival(len(b))})
			p.bytes += len(b)
			p.wake()
			p.mu.Unlock()
			return len(b), nil
		}
		changed := p.changed
		p.mu.Unlock()
		<-changed
	}
}

func (p *pipe) read(b []byte) (int, error) {
	for {
		p.mu.Lock()
		now := time.Now()
		if !p.deadline.IsZero() && !now.Before(p.deadline) {
			p.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		}
		wait := time.Duration(-1)
		if !p.deadline.IsZero() {
			wait = p.deadline.Sub(now)
		}
		if p.cut {
			p.mu.Unlock()
			return 0, io.EOF
		}
		if len(p.chunks) > 0 && !p.silent.Load() && !p.paused {
			first := &p.chunks[0]
			if !now.Before(first.due) {
				n := copy(b, first.data)
				first.data = first.data[n:]
				p.bytes -= n
				if len(first.data) == 0 {
					p.chunks = p.chunks[1:]
				}
				p.wake()
				p.mu.Unlock()
				return n, nil
			}
			if until := first.due.Sub(now); wait < 0 || until < wait {
				wait = until
			}
		} else if p.closed && !p.paused {
			p.mu.Unlock()
			return 0, io.EOF
		}
		changed := p.changed
		p.mu.Unlock()
		p.wait(changed, wait)
	}
}

func (p *pipe) wait(changed chan struct{}, wait time.Duration) {
	if wait < 0 {
		<-changed
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

func (p *pipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.closed = true
		p.wake()
	}
}

// discard closes the pipe and discards its bytes.
func (p *pipe) discard() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.cut {
		p.closed = true
		p.cut = true
		p.chunks = nil
		p.wake()
	}
}

func (p *pipe) setPaused(held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = held
	p.wake()
}

func (p *pipe) setDeadline(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadline = t
	p.wake()
}

// link is one connection: two pipes and two ends.
type link struct {
	address    string
	dialer     *Host
	listener   *Host
	toListener *pipe
	toDialer   *pipe
}

func (k *link) open(address net.Addr, delay time.Duration) (dialerEnd, listenerEnd net.Conn) {
	k.toListener = newPipe(func(n int) time.Time { return arrival(k.dialer, k.listener, n, delay) })
	k.toDialer = newPipe(func(n int) time.Time { return arrival(k.listener, k.dialer, n, delay) })
	return &memoryConn{in: k.toDialer, out: k.toListener, address: address}, &memoryConn{in: k.toListener, out: k.toDialer, address: address}
}

func (k *link) cut() {
	k.toListener.discard()
	k.toDialer.discard()
}

// updatePaused pauses the pipes if one of the processes is frozen or the pair is held, and resumes them otherwise; the caller holds the
// network's lock.
func (k *link) updatePaused() {
	paused := k.dialer.frozen || k.listener.frozen || k.dialer.network.held[hostPair{k.dialer, k.listener}]
	k.toListener.setPaused(paused)
	k.toDialer.setPaused(paused)
}

// closed reports whether faults no longer affect the connection; a paused pipe still has to be resumed.
func (k *link) closed() bool { return k.toListener.finished() && k.toDialer.finished() }

func (p *pipe) finished() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed && !p.paused
}

type memoryConn struct {
	in      *pipe
	out     *pipe
	address net.Addr
}

// Read implements net.Conn.
func (c *memoryConn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write implements net.Conn.
func (c *memoryConn) Write(b []byte) (int, error) { return c.out.write(b) }

// Close implements net.Conn; as with TCP, the other end doesn't notice it while the connection drops its bytes.
func (c *memoryConn) Close() error {
	if !c.out.silent.Load() {
		c.out.close()
	}
	c.in.discard()
	return nil
}

// LocalAddr implements net.Conn.
func (c *memoryConn) LocalAddr() net.Addr { return c.address }

// RemoteAddr implements net.Conn.
func (c *memoryConn) RemoteAddr() net.Addr { return c.address }

// SetDeadline implements net.Conn; it applies to reads only, as writes are buffered.
func (c *memoryConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *memoryConn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn; it does nothing, as writes are buffered.
func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }
