package hibiscuscoordination

import "time"

// Peer is the other end of a session, for use by an event loop.
type Peer struct {
	hello   Hello
	version uint64
	// evacuation is the revision of the evacuated domains that the other end has announced or was sent.
	evacuation   uint64
	leaving      bool
	send         func(Message) bool
	close        func()
	lastReceived func() time.Time
}

// NewPeer returns a peer; send never blocks and reports whether the message was queued, and closeSession ends the session.
func NewPeer(hello Hello, send func(Message) bool, closeSession func()) *Peer {
	return &Peer{hello: hello, version: hello.version, evacuation: hello.evacuation, send: send, close: closeSession}
}

// WithLastReceived sets the function that returns when the session last received a message.
func (p *Peer) WithLastReceived(lastReceived func() time.Time) *Peer {
	p.lastReceived = lastReceived
	return p
}

// lastReceivedAt returns when the session last received a message, now if that is not known.
func (p *Peer) lastReceivedAt(now time.Time) time.Time {
	if p.lastReceived == nil {
		return now
	}
	return p.lastReceived()
}

// Hello returns what the other process sent when the session opened.
func (p *Peer) Hello() Hello { return p.hello }

// recordVersion records the highest configuration version that the other end had in force; only the owning event loop calls it.
func (p *Peer) recordVersion(version uint64) { p.version = max(p.version, version) }

// Send queues a message for the session's writer, and reports whether its ring had free space.
func (p *Peer) Send(m Message) bool { return p.send(m) }

// Close ends the session.
func (p *Peer) Close() { p.close() }
