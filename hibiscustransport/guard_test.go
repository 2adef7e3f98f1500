package hibiscustransport

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"hibiscusrouter/hibiscusstate"
)

// guardedServer is a server with a guarded listener, and the text of what clients saw.
type guardedServer struct {
	t          *testing.T
	address    string
	guards     *Guards
	limits     hibiscusstate.RequestLimits
	transcript bytes.Buffer
}

// newGuardedServer starts a server that answers GET at once and POST with the number of bytes that it could read.
func newGuardedServer(t *testing.T, capacity Capacity) *guardedServer {
	s := &guardedServer{t: t, guards: NewGuards(capacity, slog.New(slog.DiscardHandler))}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	guarded := s.guards.Callers(l, func() (hibiscusstate.RequestLimits, bool) { return s.limits, true })
	go func() { done <- ServeHTTP(ctx, guarded, http.HandlerFunc(countBody), time.Second) }()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return s
}

func countBody(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintf(w, "%d", len(b))
}

// exchange sends a text on a new connection and notes the status line and the body of the answer.
func (s *guardedServer) exchange(name, text string) {
	conn := s.dial(text)
	defer conn.Close()
	s.note(name, conn)
}

func (s *guardedServer) dial(text string) net.Conn {
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		s.t.Fatal(err)
	}
	// The server may refuse a part of the text.
	_, _ = io.WriteString(conn, text)
	return conn
}

func (s *guardedServer) note(name string, conn net.Conn) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		fmt.Fprintf(&s.transcript, "%s: closed without an answer\n", name)
		return
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	fmt.Fprintf(&s.transcript, "%s: %s, Retry-After %q, close %v, body %q\n",
		name, response.Status, response.Header.Get("Retry-After"), response.Close, body)
}

func (s *guardedServer) noteCounters() {
	for reason := LimitConnections; reason <= LimitAnswerTime; reason++ {
		if n := s.guards.Counters()["callers"][reason.String()]; n > 0 {
			fmt.Fprintf(&s.transcript, "limit %s: %d\n", reason, n)
		}
	}
}

// TestGuardedRequests guards against a limit that refuses a request inside it, a request over it that is served, and a wrong answer.
func TestGuardedRequests(t *testing.T) {
	s := newGuardedServer(t, NewCapacity(144<<20))
	const get = "GET / HTTP/1.1\r\nHost: a\r\n"
	body := func(n int) string { return strings.Repeat("x", n) }
	post := func(n int) string { return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", n) }
	s.exchange("ordinary request", get+"\r\n")
	s.exchange("head of 16,384 bytes of short lines", get+strings.Repeat("a:\r\n", (16_384-len(get)-2)/4)+"\r\n")
	s.exchange("head of 16,384 bytes of one line", get+"b: "+body(16_384-len(get)-7)+"\r\n\r\n")
	s.exchange("head of 32,768 bytes", get+"b: "+body(32_768)+"\r\n\r\n")
	s.exchange("empty lines", strings.Repeat("\r\n", 20_000))
	s.exchange("body of 8 MiB", post(8<<20)+body(8<<20))
	s.exchange("chunked body", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	s.exchange("body of more than the budget", post(80<<20)+body(80<<20))
	conn := s.dial(get + "\r\n" + get + strings.Repeat("a: b\r\n", 500) + "\r\n")
	reader := bufio.NewReader(conn)
	for range 2 {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&s.transcript, "one of two requests in one write: %s\n", response.Status)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatal(err)
		}
	}
	conn.Close()
	s.noteCounters()
	goldie.New(t).Assert(t, "guarded_requests", s.transcript.Bytes())
}

// TestGuardedBudgets guards against a crowd that takes the whole of a budget: the largest request that has not arrived whole is refused
// first, an ordinary one is served, and the budget is free when the crowd has left.
func TestGuardedBudgets(t *testing.T) {
	s := newGuardedServer(t, NewCapacity(0).WithBytes(1<<20, 400<<10).WithConnections(8, 0))
	half := func(n int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("x", n-1))
	}
	large := s.dial(half(90_000))
	s.await(func() bool { return s.guards.bodies.used.Load() >= 3*89_999 })
	small := s.dial(half(30_000))
	s.note("largest body", large)
	s.exchange("ordinary request", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
	if _, err := io.WriteString(small, "x"); err != nil {
		t.Fatal(err)
	}
	s.note("smaller body", small)
	small.Close()
	large.Close()
	s.await(func() bool { return s.guards.bodies.used.Load() == 0 && s.guards.heads.used.Load() == 0 })
	var idle []net.Conn
	for range 12 {
		idle = append(idle, s.dial(""))
	}
	s.exchange("request beside idle connections", "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	for _, conn := range idle {
		conn.Close()
	}
	s.noteCounters()
	goldie.New(t).Assert(t, "guarded_budgets", s.transcript.Bytes())
}

// TestGuardedAddresses guards against a limit for each client address that has no effect, or counts connections that are closed.
func TestGuardedAddresses(t *testing.T) {
	s := newGuardedServer(t, NewCapacity(0).WithConnections(0, 2))
	const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	first := s.dial(get)
	s.note("first connection", first)
	second := s.dial("")
	s.exchange("third connection", get)
	first.Close()
	second.Close()
	g := s.guards.guards[0]
	s.await(func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return len(g.addresses) == 0
	})
	s.exchange("connection after the others have closed", get)
	s.noteCounters()
	goldie.New(t).Assert(t, "guarded_addresses", s.transcript.Bytes())
}

// await polls a condition, at most for 5 s.
func (s *guardedServer) await(condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("condition not met; %d bytes of heads, %d of bodies", s.guards.heads.used.Load(), s.guards.bodies.used.Load())
		}
	}
}

// TestGuardedTimes guards against a client just inside the limits of times that is cut off, one over them that is kept, and limits that do
// not change while the process runs.
func TestGuardedTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ours, theirs := net.Pipe()
		guards := NewGuards(NewCapacity(0), slog.New(slog.DiscardHandler))
		var limits atomic.Pointer[hibiscusstate.RequestLimits]
		setLimits := func(headTimeout time.Duration) {
			l := hibiscusstate.NewRequestLimits(0, 0, headTimeout, 15*time.Second)
			limits.Store(&l)
		}
		setLimits(3 * time.Second)
		ctx, stop := context.WithCancel(context.Background())
		l := newOneListener(theirs)
		done := make(chan error, 1)
		guarded := guards.Callers(l, func() (hibiscusstate.RequestLimits, bool) { return *limits.Load(), true })
		go func() { done <- ServeHTTP(ctx, guarded, http.HandlerFunc(countBody), time.Second) }()
		reader := bufio.NewReader(ours)
		var clients sync.WaitGroup
		request := func(pause time.Duration) string {
			_, _ = io.WriteString(ours, "GET / HTTP/1.1\r\n")
			clients.Go(func() {
				time.Sleep(pause)
				_, _ = io.WriteString(ours, "Host: a\r\n\r\n")
			})
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return "closed"
			}
			_, _ = io.Copy(io.Discard, response.Body)
			return response.Status
		}
		var got []string
		got = append(got, request(2900*time.Millisecond))
		time.Sleep(14_900 * time.Millisecond)
		got = append(got, request(0))
		setLimits(20 * time.Second)
		time.Sleep(time.Second)
		got = append(got, request(10*time.Second), request(25*time.Second))
		want := "200 OK, 200 OK, 200 OK, 408 Request Timeout"
		if text := strings.Join(got, ", "); text != want {
			t.Errorf("got %s, want %s", text, want)
		}
		clients.Wait()
		ours.Close()
		stop()
		<-done
	})
}

// oneListener accepts one connection.
type oneListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newOneListener(conn net.Conn) *oneListener {
	l := &oneListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	l.conns <- conn
	return l
}

func (l *oneListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close may be called more than once, as that of net.TCPListener.
func (l *oneListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *oneListener) Addr() net.Addr { return &net.TCPAddr{} }

// BenchmarkServeHTTP measures an ordinary request over loopback with and without a guard.
func BenchmarkServeHTTP(b *testing.B) {
	request := []byte("POST /q/0000000000000001 HTTP/1.1\r\nHost: one.example\r\nX-Trace: 0000001400\r\nRequest-Id: r-1\r\n" +
		"Content-Type: application/json\r\nContent-Length: 200\r\n\r\n" + strings.Repeat("x", 200))
	for _, name := range []string{"plain", "guarded"} {
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			address := l.Addr().String()
			if name == "guarded" {
				l = NewGuards(NewCapacity(0), slog.New(slog.DiscardHandler)).Callers(l, nil)
			}
			ctx, stop := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() { done <- ServeHTTP(ctx, l, http.HandlerFunc(countBody), time.Second) }()
			conn, err := net.Dial("tcp", address)
			if err != nil {
				b.Fatal(err)
			}
			answer := make([]byte, 4096)
			b.ReportAllocs()
			before := ProcessorTime()
			for b.Loop() {
				if _, err := conn.Write(request); err != nil {
					b.Fatal(err)
				}
				if _, err := conn.Read(answer); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(ProcessorTime()-before)/float64(b.N), "cpu-ns/op")
			conn.Close()
			stop()
			<-done
		})
	}
}
