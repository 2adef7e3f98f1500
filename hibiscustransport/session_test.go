package hibiscustransport

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"github.com/sebdah/goldie/v2"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscusstandin"
)

var testSecret = []byte("a shared key for tests only")

// hostilePeer is a peer that violates the protocol of a session at one step.
type hostilePeer struct {
	conn    net.Conn
	mux     *yamux.Session
	control net.Conn
	tasks   net.Conn
}

// sendHello follows the protocol of the dialer up to its hello.
func (h *hostilePeer) sendHello() error {
	if err := h.openMux(); err != nil {
		return err
	}
	if err := h.openStreams(); err != nil {
		return err
	}
	frame, err := hibiscusprotocol.EncodeFrame(nil, hibiscuscoordination.NewHelloMessage(
		hibiscuscoordination.NewHello(hibiscuscoordination.RoleAgent, 7, "10.0.2.1:7300", "a", 0, hibiscuscoordination.Capacity{})))
	if err != nil {
		return err
	}
	return h.write(h.control, uint32(len(frame)), frame)
}

func (h *hostilePeer) openMux() error {
	if err := handshake(h.conn, testSecret, true); err != nil {
		return err
	}
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.LogOutput = io.Discard
	var err error
	h.mux, err = yamux.Client(h.conn, cfg)
	return err
}

func (h *hostilePeer) openStreams() error {
	var err error
	if h.control, err = h.mux.Open(); err != nil {
		return err
	}
	if h.tasks, err = h.mux.Open(); err != nil {
		return err
	}
	if _, err = h.control.Write([]byte{controlStream}); err != nil {
		return err
	}
	_, err = h.tasks.Write([]byte{taskStream})
	return err
}

// write sends a frame whose header may have a wrong length.
func (h *hostilePeer) write(stream net.Conn, length uint32, body []byte) error {
	_, err := stream.Write(append(binary.BigEndian.AppendUint32(nil, length), body...))
	return err
}

// afterHello returns a function that sends a valid hello and then runs attack.
func afterHello(attack func(h *hostilePeer) error) func(h *hostilePeer) error {
	return func(h *hostilePeer) error {
		if err := h.sendHello(); err != nil {
			return err
		}
		return attack(h)
	}
}

// TestSessionHostile guards against a peer that keeps a session open or makes it allocate memory without following the protocol:
// each session is closed within a bounded time, and a length in a header allocates no memory.
func TestSessionHostile(t *testing.T) {
	lines := []string{}
	for _, c := range []struct {
		name   string
		attack func(h *hostilePeer) error
	}{
		{"sends nothing", func(*hostilePeer) error { return nil }},
		{"sends half a nonce", func(h *hostilePeer) error { return errorOf(h.conn.Write(make([]byte, nonceBytes/2))) }},
		{"has another key", func(h *hostilePeer) error { return handshake(h.conn, []byte("another shared key"), true) }},
		{"sends zeros for everything", func(h *hostilePeer) error { return errorOf(h.conn.Write(make([]byte, 1000))) }},
		{"opens no stream", func(h *hostilePeer) error { return h.openMux() }},
		{"never sends hello", func(h *hostilePeer) error { return errors.CombineErrors(h.openMux(), h.openStreams()) }},
		{"sends ping instead of hello", func(h *hostilePeer) error {
			frame, err := hibiscusprotocol.EncodeFrame(nil, hibiscuscoordination.NewPingMessage())
			return errors.CombineErrors(errors.CombineErrors(err, errors.CombineErrors(h.openMux(), h.openStreams())),
				h.write(h.control, uint32(len(frame)), frame))
		}},
		{"sends only hello", afterHello(func(*hostilePeer) error { return nil })},
		{"sends a frame of 4 GB", afterHello(func(h *hostilePeer) error { return h.write(h.tasks, 1<<32-1, nil) })},
		{"sends the header of the largest frame only", afterHello(func(h *hostilePeer) error {
			return h.write(h.tasks, hibiscusprotocol.MaxFrameBytes, nil)
		})},
		{"sends a frame at one byte in 100 ms", afterHello(func(h *hostilePeer) error {
			err := h.write(h.tasks, 1000, nil)
			for err == nil {
				time.Sleep(100 * time.Millisecond)
				err = errorOf(h.tasks.Write([]byte{0}))
			}
			return nil
		})},
		{"sends an invalid frame body", afterHello(func(h *hostilePeer) error { return h.write(h.tasks, 5, []byte("noise")) })},
		{"sends an empty frame", afterHello(func(h *hostilePeer) error { return h.write(h.control, 0, nil) })},
	} {
		synctest.Test(t, func(t *testing.T) { lines = append(lines, c.name+": "+runHostilePeer(t, c.attack)) })
	}
	// In some builds, the protobuf library puts a no-break space into its errors, to discourage comparing them.
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "session_hostile", []byte(strings.ReplaceAll(strings.Join(lines, "\n")+"\n", "\u00a0", " ")))
}

// errorOf returns the error of a write without its count.
func errorOf(_ int, err error) error { return err }

// runHostilePeer returns after how long the session ended, why, and whether more than 4 MiB were allocated.
func runHostilePeer(t *testing.T, attack func(h *hostilePeer) error) string {
	// yamux keeps timers in a sync.Pool; two garbage collections empty it.
	runtime.GC()
	runtime.GC()
	network := hibiscusstandin.NewMemoryNetwork(500 * time.Microsecond)
	l, err := network.Listen("10.0.1.1:7200")
	if err != nil {
		t.Fatal(err)
	}
	conn, err := network.Dial(context.Background(), "10.0.1.1:7200")
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	h := &hostilePeer{conn: conn}
	attacked := make(chan error, 1)
	go func() { attacked <- attack(h) }()
	began := time.Now()
	err = RunSession(context.Background(), accepted, testSecret, false, NewSessionHandlers(
		func() hibiscuscoordination.Hello {
			return hibiscuscoordination.NewHello(hibiscuscoordination.RoleEntry, 1, "10.0.1.1:7200", "a", 0, hibiscuscoordination.Capacity{})
		},
		func(*hibiscuscoordination.Peer) error { return nil },
		func(*hibiscuscoordination.Peer, hibiscuscoordination.Message) error { return nil },
		func(*hibiscuscoordination.Peer) error { return nil },
	), newSessionStats(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	took := time.Since(began)
	runtime.ReadMemStats(&after)
	conn.Close()
	<-attacked
	return fmt.Sprintf("closed after %v, over 4 MiB allocated: %t, %v",
		took.Round(100*time.Millisecond), after.TotalAlloc-before.TotalAlloc > 4<<20, err)
}
