package hibiscustransport

import (
	"bufio"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscusstate"
)

// A Session is one connection between two processes: a shared-key handshake, then yamux with two streams, control and
// tasks, so that a large task frame delays no ping. Frames are preceded by their length, four bytes, big endian.
//
// Duties: a reader and a writer for each stream, and a watchdog. The watchdog looks at what this end receives, so that a
// connection that carries bytes in one direction only is closed by the end that no longer hears.

const (
	// pingAfter and silentAfter hold while tasks move: a silent connection is found within a second.
	pingAfter   = 400 * time.Millisecond
	silentAfter = 900 * time.Millisecond
	// idlePingAfter and idleSilentAfter hold otherwise, to stay within 8 KB/s for twelve sessions of a node.
	idlePingAfter   = time.Second
	idleSilentAfter = 2500 * time.Millisecond
	// activeFor is how long after a task frame the short times hold.
	activeFor = 2 * time.Second

	writerCapacity = 4096
	writerBatch    = 64
	lengthBytes    = 4
	streamBuffer   = 64 << 10
	streamWindow   = 4 << 20

	controlStream = 'c'
	taskStream    = 't'
)

// SessionHandlers are the function fields through which a session speaks to its process.
type SessionHandlers struct {
	hello   func() hibiscuscoordination.Hello
	up      func(*hibiscuscoordination.Peer) error
	message func(*hibiscuscoordination.Peer, hibiscuscoordination.Message) error
	down    func(*hibiscuscoordination.Peer) error
}

// NewSessionHandlers returns the handlers of a process: its introduction, and what takes the start, the messages and the
// end of a session, in this order.
func NewSessionHandlers(
	hello func() hibiscuscoordination.Hello,
	up func(*hibiscuscoordination.Peer) error,
	message func(*hibiscuscoordination.Peer, hibiscuscoordination.Message) error,
	down func(*hibiscuscoordination.Peer) error,
) SessionHandlers {
	return SessionHandlers{hello: hello, up: up, message: message, down: down}
}

// Session is one connection between two processes of the system.
type Session struct {
	handlers SessionHandlers
	log      *slog.Logger
	mux      *yamux.Session
	control  *stream
	tasks    *stream
	peer     *hibiscuscoordination.Peer
	heardAt  atomic.Int64
	activeAt atomic.Int64
	writers  atomic.Int32
	closing  sync.Once
	closed   chan struct{}
	cause    error
}

// stream is one yamux stream with the ring of its writer.
type stream struct {
	conn   net.Conn
	reader *bufio.Reader
	ring   *hibiscusstate.Ring[hibiscuscoordination.Message]
}

// RunSession speaks over a connection until it ends and returns why; dialer says which end this is.
func RunSession(conn net.Conn, secret []byte, dialer bool, handlers SessionHandlers, stats *sessionStats, log *slog.Logger) error {
	s := &Session{handlers: handlers, log: log, closed: make(chan struct{})}
	if err := s.open(conn, secret, dialer); err != nil {
		conn.Close()
		return err
	}
	stats.add(s)
	defer stats.remove(s)
	var duties sync.WaitGroup
	duties.Go(func() { s.write(s.control) })
	duties.Go(func() { s.write(s.tasks) })
	duties.Go(s.watch)
	err := handlers.up(s.peer)
	if err == nil {
		duties.Go(func() { s.read(s.tasks) })
		s.read(s.control)
	}
	s.close(err)
	duties.Wait()
	if err := handlers.down(s.peer); err != nil {
		return errors.Mark(errors.CombineErrors(s.cause, err), ErrSession)
	}
	return s.cause
}

// open does the handshake, opens the streams and exchanges the introductions.
func (s *Session) open(conn net.Conn, secret []byte, dialer bool) error {
	if err := handshake(conn, secret, dialer); err != nil {
		return err
	}
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return errors.Mark(err, ErrSession)
	}
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.LogOutput = io.Discard
	cfg.MaxStreamWindowSize = streamWindow
	cfg.ConnectionWriteTimeout = idleSilentAfter
	if err := s.openStreams(conn, cfg, dialer); err != nil {
		return errors.Mark(errors.Wrap(err, "open streams"), ErrSession)
	}
	hello, err := s.exchangeHellos()
	if err != nil {
		s.mux.Close()
		return err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return errors.Mark(err, ErrSession)
	}
	s.heard()
	s.peer = hibiscuscoordination.NewPeer(hello, s.send, s.finish)
	s.writers.Store(2)
	return nil
}

func (s *Session) openStreams(conn net.Conn, cfg *yamux.Config, dialer bool) error {
	var err error
	if !dialer {
		if s.mux, err = yamux.Server(conn, cfg); err != nil {
			return err
		}
		return s.acceptStreams()
	}
	if s.mux, err = yamux.Client(conn, cfg); err != nil {
		return err
	}
	if s.control, err = s.openStream(controlStream); err != nil {
		return err
	}
	s.tasks, err = s.openStream(taskStream)
	return err
}

func (s *Session) openStream(kind byte) (*stream, error) {
	conn, err := s.mux.Open()
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write([]byte{kind}); err != nil {
		return nil, err
	}
	return newStream(conn), nil
}

func (s *Session) acceptStreams() error {
	for s.control == nil || s.tasks == nil {
		conn, err := s.mux.Accept()
		if err != nil {
			return err
		}
		var kind [1]byte
		if _, err := io.ReadFull(conn, kind[:]); err != nil {
			return err
		}
		switch {
		case kind[0] == controlStream && s.control == nil:
			s.control = newStream(conn)
		case kind[0] == taskStream && s.tasks == nil:
			s.tasks = newStream(conn)
		default:
			return errors.Newf("unexpected stream kind %q", kind[0])
		}
	}
	return nil
}

func newStream(conn net.Conn) *stream {
	return &stream{
		conn: conn, reader: bufio.NewReaderSize(conn, streamBuffer),
		ring: hibiscusstate.NewRing[hibiscuscoordination.Message](writerCapacity),
	}
}

func (s *Session) exchangeHellos() (hibiscuscoordination.Hello, error) {
	sent := make(chan error, 1)
	hello := s.handlers.hello()
	go func() {
		sent <- s.control.writeBatch(nil, []hibiscuscoordination.Message{hibiscuscoordination.NewHelloMessage(hello)})
	}()
	m, err := s.control.readMessage()
	if err := errors.CombineErrors(err, <-sent); err != nil {
		return hello, errors.Mark(errors.Wrap(err, "exchange hellos"), ErrSession)
	}
	if m.Kind() != hibiscuscoordination.MessageHello {
		return hello, errors.Mark(errors.Newf("the first frame is %s, not hello", m.Kind()), ErrSession)
	}
	return m.Hello(), nil
}

// send gives a message to the writer of its stream.
func (s *Session) send(m hibiscuscoordination.Message) bool {
	if isTaskMessage(m.Kind()) {
		return s.tasks.ring.TryPush(m)
	}
	return s.control.ring.TryPush(m)
}

func isTaskMessage(kind hibiscuscoordination.MessageKind) bool {
	switch kind {
	case hibiscuscoordination.MessageOrders, hibiscuscoordination.MessageReports, hibiscuscoordination.MessageStop,
		hibiscuscoordination.MessageForward, hibiscuscoordination.MessageForwarded:
		return true
	case hibiscuscoordination.MessageHello, hibiscuscoordination.MessagePing, hibiscuscoordination.MessagePong,
		hibiscuscoordination.MessageSettle, hibiscuscoordination.MessageRecover, hibiscuscoordination.MessageRecovered,
		hibiscuscoordination.MessageConfiguration, hibiscuscoordination.MessageMembers, hibiscuscoordination.MessageCapacity:
		return false
	}
	return false
}

// write is the writer duty of a stream.
func (s *Session) write(st *stream) {
	batch := make([]hibiscuscoordination.Message, writerBatch)
	buf := make([]byte, 0, streamBuffer)
	for {
		n, err := st.ring.PopBatch(batch, -1)
		if err != nil {
			if s.writers.Add(-1) == 0 {
				s.close(nil)
			}
			return
		}
		if st == s.tasks {
			s.activeAt.Store(time.Now().UnixNano())
		}
		if err := st.writeBatch(buf, batch[:n]); err != nil {
			s.close(err)
			return
		}
		clear(batch[:n])
	}
}

// writeBatch writes messages with one call.
func (st *stream) writeBatch(buf []byte, batch []hibiscuscoordination.Message) error {
	buf = buf[:0]
	for _, m := range batch {
		for more := true; more; {
			var part hibiscuscoordination.Message
			part, m, more = hibiscusprotocol.CutMessage(m)
			start := len(buf)
			buf = append(buf, 0, 0, 0, 0)
			var err error
			if buf, err = hibiscusprotocol.EncodeFrame(buf, part); err != nil {
				return err
			}
			binary.BigEndian.PutUint32(buf[start:], uint32(len(buf)-start-lengthBytes))
		}
	}
	_, err := st.conn.Write(buf)
	return err
}

// read is the reader duty of a stream.
func (s *Session) read(st *stream) {
	for {
		m, err := st.readMessage()
		if err != nil {
			s.close(err)
			return
		}
		s.heard()
		if st == s.tasks {
			s.activeAt.Store(time.Now().UnixNano())
		}
		if m.Kind() == hibiscuscoordination.MessagePing {
			s.send(hibiscuscoordination.NewPongMessage())
		}
		if err := s.handlers.message(s.peer, m); err != nil {
			s.close(err)
			return
		}
	}
}

func (st *stream) readMessage() (hibiscuscoordination.Message, error) {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(st.reader, header[:]); err != nil {
		return hibiscuscoordination.Message{}, err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > hibiscusprotocol.MaxFrameBytes {
		return hibiscuscoordination.Message{}, errors.Newf("frame of %d bytes is over the limit of %d", n, hibiscusprotocol.MaxFrameBytes)
	}
	b, err := io.ReadAll(io.LimitReader(st.reader, int64(n)))
	if err != nil {
		return hibiscuscoordination.Message{}, err
	}
	if len(b) < int(n) {
		return hibiscuscoordination.Message{}, io.ErrUnexpectedEOF
	}
	return hibiscusprotocol.DecodeFrame(b)
}

func (s *Session) heard() { s.heardAt.Store(time.Now().UnixNano()) }

// watch is the watchdog duty: it pings when nothing was heard for a while and closes a session that stays silent.
func (s *Session) watch() {
	timer := time.NewTimer(pingAfter)
	defer timer.Stop()
	var pinged time.Time
	for {
		select {
		case <-s.closed:
			return
		case <-timer.C:
		}
		now := time.Now()
		ping, silent := idlePingAfter, idleSilentAfter
		if now.Sub(time.Unix(0, s.activeAt.Load())) < activeFor {
			ping, silent = pingAfter, silentAfter
		}
		heard := time.Unix(0, s.heardAt.Load())
		quiet := now.Sub(heard)
		if quiet >= silent {
			s.close(errors.Mark(errors.Newf("nothing was received for %v", quiet.Round(time.Millisecond)), ErrSilent))
			return
		}
		if quiet >= ping && pinged.Before(heard.Add(ping)) {
			pinged = now
			s.send(hibiscuscoordination.NewPingMessage())
		}
		next := heard.Add(ping)
		if !next.After(now) {
			next = heard.Add(silent)
		}
		// The short times may come into force at any moment, so look at least that often.
		timer.Reset(min(next.Sub(now), pingAfter))
	}
}

// finish ends the session after the messages that were sent before.
func (s *Session) finish() {
	s.control.ring.Close()
	s.tasks.ring.Close()
}

// close ends the session; the first cause counts.
func (s *Session) close(cause error) {
	s.closing.Do(func() {
		if cause != nil {
			s.cause = errors.Mark(cause, ErrSession)
		} else {
			s.cause = errors.Mark(errors.New("closed by this end"), ErrSession)
		}
		close(s.closed)
		s.control.ring.Close()
		s.tasks.ring.Close()
		s.mux.Close()
	})
}
