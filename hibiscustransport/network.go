package hibiscustransport

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// dialTimeout bounds the set-up of a TCP connection.
const dialTimeout = time.Second

// An open connection can go silent for good. A reader that waits for long, like one that follows the table's changes, learns
// of it from these probes, 1.4 s after the last byte.
const (
	keepAliveIdle     = 500 * time.Millisecond
	keepAliveInterval = 300 * time.Millisecond
	keepAliveCount    = 3
)

// Network opens listeners and connections; tests put an in-memory one with faults in its place.
type Network struct {
	listen func(address string) (net.Listener, error)
	dial   func(ctx context.Context, address string) (net.Conn, error)
}

// NewNetwork returns a network of the given functions; both take addresses of host and port.
func NewNetwork(
	listen func(address string) (net.Listener, error),
	dial func(ctx context.Context, address string) (net.Conn, error),
) Network {
	return Network{listen: listen, dial: dial}
}

// NewTCPNetwork returns the network of the machine.
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
