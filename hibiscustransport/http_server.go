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

// ServeHTTP serves a handler until ctx is done, then waits at most grace for the open requests to finish.
func ServeHTTP(ctx context.Context, l net.Listener, handler http.Handler, grace time.Duration) error {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout,
	}
	stopped := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		graceCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
		defer cancel()
		stopped <- server.Shutdown(graceCtx)
	})
	err := server.Serve(l)
	if stop() {
		return errors.Wrap(err, "serve HTTP")
	}
	return errors.Wrap(<-stopped, "finish HTTP requests")
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
