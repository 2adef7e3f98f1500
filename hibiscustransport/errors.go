package hibiscustransport

import "github.com/cockroachdb/errors"

// The errors of the transport layer.
var (
	// ErrHandshake means that the peer does not have the shared key or does not follow the protocol.
	ErrHandshake = errors.New("handshake failed")
	// ErrSilent means that nothing more was received while the connection stayed open.
	ErrSilent = errors.New("connection is unresponsive")
	// ErrSession means that a session ended.
	ErrSession = errors.New("session ended")
	// errNotOpened marks the end of a session that was not opened.
	errNotOpened = errors.New("the session was not opened")
)
