package hibiscustransport

import (
	"bufio"
	"context"
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
// Its goroutines are a reader and a writer for each stream, and a watchdog. The watchdog checks what this end receives, so that a
// connection that works in one direction only is closed by the end that no longer receives.
//
// A session is finished by closing its streams after the last messages; the other end closes the connection when it has
// read both streams to their end. Closing the connection at once would lose the bytes in flight.
//
// A message that is dropped because its ring is full ends the session, because the peer would wait for it forever. Both ends
// reconcile their open tasks over the next session. Orders, pings and loads don't end it: the sender requeues the tasks of dropped
// orders, pings are repeated, and later reports carry the load.

const (
	// maxTimerDelay is how late the watchdog may run before it gives the readers readGrace to receive what has arrived.
	maxTimerDelay = 100 * time.Millisecond
	readGrace     = 200 * time.Millisecond
	// finishTimeout is how long the peer may take to close a session that this end has finished.
	finishTimeout = time.Second

	writerCapacity = 4096
	writerBatch    = 16
	lengthBytes    = 4
	// An entry has a session to each of 920 agents, so buffers are small: with 64 KiB for the task stream and batches of 64 messages,
	// they took 242 KiB a session.
	controlBuffer = 4 << 10
	taskBuffer    = 8 << 10
	streamWindow  = 4 << 20

	controlStream = 'c'
	taskStream    = 't'
)

// SessionHandlers are the functions that a session calls in its process.
type SessionHandlers struct {
	hello   func() hibiscuscoordination.Hello
	up      func(*hibiscuscoordination.Peer) error
	message func(*hibiscuscoordination.Peer, hibiscuscoordination.Message) error
	down    func(*hibiscuscoordination.Peer) error
	now     func() time.Time
}

// NewSessionHandlers returns the handlers of a process: hello returns its hello, and up, message and down are called in this order
// at the start of a session, for each message and at the end.
func NewSessionHandlers(
	hello func() hibiscuscoordination.Hello,
	up func(*hibiscuscoordination.Peer) error,
	message func(*hibiscuscoordination.Peer, hibiscuscoordination.Message) error,
	down func(*hibiscuscoordination.Peer) error,
) SessionHandlers {
	return SessionHandlers{hello: hello, up: up, message: message, down: down, now: time.Now}
}

// WithClock sets the clock by which the session measures silence.
func (h SessionHandlers) WithClock(now func() time.Time) SessionHandlers {
	h.now = now
	return h
}

// Session is one connection between two processes of the system.
type Session struct {
	handlers SessionHandlers
	log      *slog.Logger
	conn     *muxConn
	mux      *yamux.Session
	control  *stream
	tasks    *stream
	peer     *hibiscuscoordination.Peer
	activity *activity
	stamps   *stamps
	// activated has a value when the short times of activity have begun to apply.
	activated   chan struct{}
	openReaders atomic.Int32
	finishOnce  sync.Once
	finished    chan struct{}
	overflow    chan hibiscuscoordination.MessageKind
	closeOnce   sync.Once
	closed      chan struct{}
	cause       error
}

// stream is one yamux stream with the ring of its writer.
type stream struct {
	conn   net.Conn
	reader *bufio.Reader
	ring   *hibiscusstate.Ring[hibiscuscoordination.Message]
}

// RunSession runs a session over a connection until it ends or ctx is done, and returns the cause; dialer is true at the end that
// opened the connection.
func RunSession(
	ctx context.Context, conn net.Conn, secret []byte, dialer bool, handlers SessionHandlers, stats *sessionStats, log *slog.Logger,
) error {
	s := &Session{
		handlers: handlers, log: log, closed: make(chan struct{}), finished: make(chan struct{}),
		overflow: make(chan hibiscuscoordination.MessageKind, 1), activity: newActivity(handlers.now(), dialer),
		activated: make(chan struct{}, 1), stamps: newStamps(handlers.now()),
	}
	if err := s.open(conn, secret, dialer, stats); err != nil {
		conn.Close()
		return errors.Mark(err, errNotOpened)
	}
	stats.add(s)
	defer stats.remove(s)
	var goroutines sync.WaitGroup
	goroutines.Go(func() { s.write(s.control) })
	goroutines.Go(func() { s.write(s.tasks) })
	goroutines.Go(s.watchdog)
	if err := handlers.up(s.peer); err != nil {
		s.close(err)
	} else {
		goroutines.Go(func() { s.read(s.tasks) })
		goroutines.Go(func() { s.read(s.control) })
	}
	stop := context.AfterFunc(ctx, s.finish)
	goroutines.Wait()
	stop()
	if err := handlers.down(s.peer); err != nil {
		return errors.Mark(errors.CombineErrors(s.cause, err), ErrSession)
	}
	return s.cause
}

// open performs the handshake, opens the streams and exchanges the hellos.
func (s *Session) open(conn net.Conn, secret []byte, dialer bool, stats *sessionStats) error {
	if err := handshake(conn, secret, dialer); err != nil {
		return err
	}
	stats.strangers.remove(conn)
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return errors.Mark(err, ErrSession)
	}
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.LogOutput = io.Discard
	cfg.MaxStreamWindowSize = streamWindow
	cfg.ConnectionWriteTimeout = idleSilentAfter
	// The session closes the connection soon after its streams; a stream's own close timer would outlive both.
	cfg.StreamCloseTimeout = 0
	s.conn = newMuxConn(conn)
	if err := s.openStreams(cfg, dialer); err != nil {
		return errors.Mark(errors.Wrap(err, "open streams"), ErrSession)
	}
	hello, err := s.exchangeHellos()
	if err != nil {
		s.conn.Close()
		return err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return errors.Mark(err, ErrSession)
	}
	s.activity.received(s.handlers.now())
	s.peer = hibiscuscoordination.NewPeer(hello, s.send, s.finish).WithLastReceived(s.activity.lastReceivedAt)
	s.openReaders.Store(2)
	return nil
}

func (s *Session) openStreams(cfg *yamux.Config, dialer bool) error {
	var err error
	if !dialer {
		if s.mux, err = yamux.Server(s.conn, cfg); err != nil {
			return err
		}
		return s.acceptStreams()
	}
	if s.mux, err = yamux.Client(s.conn, cfg); err != nil {
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
	return newStream(conn, kind), nil
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
			s.control = newStream(conn, kind[0])
		case kind[0] == taskStream && s.tasks == nil:
			s.tasks = newStream(conn, kind[0])
		default:
			return errors.Newf("unexpected stream kind %q", kind[0])
		}
	}
	return nil
}

func newStream(conn net.Conn, kind byte) *stream {
	size := taskBuffer
	if kind == controlStream {
		size = controlBuffer
	}
	return &stream{
		conn: conn, reader: bufio.NewReaderSize(conn, size),
		ring: hibiscusstate.NewRing[hibiscuscoordination.Message](writerCapacity),
	}
}

func (s *Session) exchangeHellos() (hibiscuscoordination.Hello, error) {
	sent := make(chan error, 1)
	hello := s.handlers.hello()
	go func() {
		m := hibiscuscoordination.NewHelloMessage(hello)
		sent <- s.control.writeBatch(nil, []hibiscuscoordination.Message{m.WithTiming(s.stamps.outgoing(s.handlers.now(), time.Time{}))})
	}()
	m, err := s.control.readMessage()
	if err := errors.CombineErrors(err, <-sent); err != nil {
		return hello, errors.Mark(errors.Wrap(err, "exchange hellos"), ErrSession)
	}
	s.stamps.incoming(s.handlers.now(), m)
	if m.Kind() != hibiscuscoordination.MessageHello {
		return hello, errors.Mark(errors.Newf("the first frame is %s, not hello", m.Kind()), ErrSession)
	}
	return m.Hello(), nil
}

// send queues a message for the writer of its stream.
func (s *Session) send(m hibiscuscoordination.Message) bool {
	st := s.control
	if isTaskMessage(m.Kind()) {
		st = s.tasks
	}
	if st.ring.TryPush(m.WithTiming(s.stamps.outgoing(s.handlers.now(), m.DecidedAt()))) {
		return true
	}
	if m.Kind() != hibiscuscoordination.MessageOrders && m.Kind() != hibiscuscoordination.MessagePing &&
		m.Kind() != hibiscuscoordination.MessageLoad {
		select {
		case s.overflow <- m.Kind():
		default:
		}
	}
	return false
}

func isTaskMessage(kind hibiscuscoordination.MessageKind) bool {
	switch kind {
	case hibiscuscoordination.MessageOrders, hibiscuscoordination.MessageReports, hibiscuscoordination.MessageStop,
		hibiscuscoordination.MessageForward, hibiscuscoordination.MessageForwarded:
		return true
	case hibiscuscoordination.MessageHello, hibiscuscoordination.MessagePing, hibiscuscoordination.MessagePong,
		hibiscuscoordination.MessageSettle, hibiscuscoordination.MessageRecover, hibiscuscoordination.MessageRecovered,
		hibiscuscoordination.MessageConfiguration, hibiscuscoordination.MessageMembers, hibiscuscoordination.MessageCapacity,
		hibiscuscoordination.MessageInForce, hibiscuscoordination.MessageLoad, hibiscuscoordination.MessageFetch,
		hibiscuscoordination.MessageClaim, hibiscuscoordination.MessageClaimed, hibiscuscoordination.MessageRelease,
		hibiscuscoordination.MessageCancel, hibiscuscoordination.MessageCancelled, hibiscuscoordination.MessageEvacuation:
		return false
	}
	return false
}

// write is the writer goroutine of a stream.
func (s *Session) write(st *stream) {
	batch := make([]hibiscuscoordination.Message, writerBatch)
	buf := make([]byte, 0, st.reader.Size())
	for {
		n, err := st.ring.PopBatch(batch, -1)
		if err != nil {
			if err := st.conn.Close(); err != nil {
				s.close(err)
			}
			return
		}
		if st == s.tasks {
			s.noteTaskFrame()
		}
		if err := st.writeBatch(buf, batch[:n]); err != nil {
			s.close(err)
			return
		}
		clear(batch[:n])
	}
}

// writeBatch writes messages with one Write call.
func (st *stream) writeBatch(buf []byte, batch []hibiscuscoordination.Message) error {
	buf = buf[:0]
	for _, m := range batch {
		for more := true; more; {
			var part hibiscuscoordination.Message
			part, m, more = hibiscusprotocol.SplitMessage(m)
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

// read is the reader goroutine of a stream.
func (s *Session) read(st *stream) {
	for {
		m, err := st.readMessage()
		if errors.Is(err, io.EOF) {
			if s.openReaders.Add(-1) == 0 {
				s.close(errors.New("finished by the peer"))
			}
			return
		}
		if err != nil {
			s.close(err)
			return
		}
		now := s.handlers.now()
		m = s.stamps.incoming(now, m)
		s.activity.received(now)
		if st == s.tasks {
			s.noteTaskFrame()
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

// noteTaskFrame records a task frame, and wakes the watchdog when the short times begin to apply.
func (s *Session) noteTaskFrame() {
	if !s.activity.taskFrame(s.handlers.now()) {
		return
	}
	select {
	case s.activated <- struct{}{}:
	default:
	}
}

// watchdog is the watchdog goroutine. It pings after a time without traffic, and closes the session if still nothing arrives, if
// the peer does not close a finished session, or if the send ring is full.
func (s *Session) watchdog() {
	timer := time.NewTimer(pingAfter)
	defer timer.Stop()
	var pinged time.Time
	due := s.handlers.now().Add(pingAfter)
	var expired <-chan time.Time
	finished := s.finished
	for {
		select {
		case <-s.closed:
			return
		case <-finished:
			finished = nil
			expired = time.After(finishTimeout)
			continue
		case <-expired:
			s.close(errors.New("the peer did not close the finished session"))
			return
		case kind := <-s.overflow:
			if finished == nil {
				continue
			}
			s.close(errors.Newf("the send ring is full, the first dropped message is %s", kind))
			return
		case <-s.activated:
		case <-timer.C:
		}
		now := s.handlers.now()
		quiet, ping, silent := s.activity.silence(now)
		if quiet >= silent && now.Sub(due) > maxTimerDelay {
			// This process stood still or had no processor time, so its readers may be late too.
			due = now.Add(readGrace)
			timer.Reset(readGrace)
			continue
		}
		if quiet >= silent {
			s.close(errors.Mark(errors.Newf("nothing was received for %v", quiet.Round(time.Millisecond)), ErrSilent))
			return
		}
		if quiet >= ping && now.Sub(pinged) > quiet-ping {
			pinged = now
			s.send(hibiscuscoordination.NewPingMessage())
		}
		next := ping - quiet
		if next <= 0 {
			// The answer to the ping may arrive meanwhile, and then the next ping is due a whole interval later.
			next = min(silent-quiet, ping)
		}
		due = now.Add(next)
		timer.Reset(next)
	}
}

// finish ends the session after the messages that are already queued.
func (s *Session) finish() {
	s.finishOnce.Do(func() {
		close(s.finished)
		s.control.ring.Close()
		s.tasks.ring.Close()
	})
}

// close ends the session at once; only the first cause is kept.
func (s *Session) close(cause error) {
	s.closeOnce.Do(func() {
		if cause != nil {
			s.cause = errors.Mark(cause, ErrSession)
		} else {
			s.cause = errors.Mark(errors.New("closed by this end"), ErrSession)
		}
		close(s.closed)
		s.control.ring.Close()
		s.tasks.ring.Close()
		s.conn.Close()
	})
}
