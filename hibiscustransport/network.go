package hibiscustransport

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// dialTimeout bounds the setup of a TCP connection.
const dialTimeout = time.Second

// An open connection can stop carrying traffic permanently. For a reader that waits for long, like the one of the table's changes,
// these probes detect that 1.4 s after the last byte.
const (
	keepAliveIdle     = 500 * time.Millisecond
	keepAliveInterval = 300 * time.Millisecond
	keepAliveCount    = 3
)

// Network opens listeners and connections; tests replace it with an in-memory network with faults.
type Network struct {
	listen func(address string) (net.Listener, error)
	dial   func(ctx context.Context, address string) (net.Conn, error)
}

// NewNetwork returns a network of the given functions; both take addresses of the form host:port.
func NewNetwork(
	listen func(address string) (net.Listener, error),
	dial func(ctx context.Context, address string) (net.Conn, error),
) Network {
	return Network{listen: listen, dial: dial}
}

// NewTCPNetwork returns the TCP network of the host.
func NewTCPNetwork() Network {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	return NewNetwork(
		func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
	)
}

// Listen opens a listener on an address.
func (n Network) Listen(address string) (net.Listener, error) {
	l, err := n.listen(address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return l, nil
}

// Dial opens a connection to an address.
func (n Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := n.dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	return c, nil
}
