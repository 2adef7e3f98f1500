package hibiscustransport

import "github.com/cockroachdb/errors"

// The errors of the transport layer.
var (
	// ErrHandshake says that the other end does not hold the shared key or does not speak the protocol.
	ErrHandshake = errors.New("handshake failed")
	// ErrSilent says that the other end stopped sending while the connection stayed open.
	ErrSilent = errors.New("connection went silent")
	// ErrSession says that a session ended.
	ErrSession = errors.New("session ended")
)
