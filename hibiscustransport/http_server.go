package hibiscustransport

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	headerTimeout = 5 * time.Second
	bodyTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	// clientIdleTimeout is shorter than the idle timeouts of the servers, so that the client closes idle connections first. When a
	// server closes a connection just as a request is written, the client can't determine whether the request was executed.
	clientIdleTimeout = 500 * time.Millisecond
)

// ServeHTTP serves a handler until ctx is done. Then it refuses new requests and waits at most grace for those that are handled.
func ServeHTTP(ctx context.Context, l net.Listener, handler http.Handler, grace time.Duration) error {
	tracker := newConnTracker(l)
	handler = trackIdleTime(handler)
	guard, guarded := l.(*Guard)
	if guarded {
		handler = guard.serve(handler)
	}
	server := &http.Server{
		Handler: tracker.serve(handler), ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			ctx = context.WithValue(ctx, trackedConnKey{}, conn)
			return context.WithValue(ctx, idleTimeKey{}, &idleTime{since: time.Now()})
		},
		ConnState: func(conn net.Conn, state http.ConnState) {
			if c, ok := conn.(*trackedConn); ok && state == http.StateIdle {
				c.answered()
			}
		},
	}
	if guarded {
		guard.install(server)
	}
	stop := context.AfterFunc(ctx, tracker.stop)
	err := server.Serve(tracker)
	if stop() {
		return errors.Wrap(err, "serve HTTP")
	}
	return errors.Wrap(tracker.finish(grace), "finish HTTP requests")
}

// idleTimeKey is the key of the idleTime of a connection in the contexts of its requests.
type idleTimeKey struct{}

// idleTime is since when a connection waits for a request; the requests of a connection are handled one after the other.
type idleTime struct{ since time.Time }

// IdleSince returns since when the connection of a request was idle before it: since it was accepted, or since the last request on it
// was answered. The client has not sent the request before that. It returns the zero time for a context of another server.
func IdleSince(ctx context.Context) time.Time {
	if idle, ok := ctx.Value(idleTimeKey{}).(*idleTime); ok {
		return idle.since
	}
	return time.Time{}
}

// trackIdleTime updates the idle time of the connection after each request.
func trackIdleTime(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		if idle, ok := r.Context().Value(idleTimeKey{}).(*idleTime); ok {
			idle.since = time.Now()
		}
	})
}

// NewHTTPClient returns a client that connects through the network, with at most perHost connections to one address.
func NewHTTPClient(network Network, perHost int) *http.Client {
	return NewHTTPClientWithIdleTimeout(network, perHost, clientIdleTimeout)
}

// NewHTTPClientWithIdleTimeout is NewHTTPClient with an idle timeout of the connections, which must be shorter than the server's.
func NewHTTPClientWithIdleTimeout(network Network, perHost int, idle time.Duration) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return network.Dial(ctx, address)
		},
		MaxConnsPerHost: perHost, MaxIdleConnsPerHost: perHost, IdleConnTimeout: idle,
	}}
}
