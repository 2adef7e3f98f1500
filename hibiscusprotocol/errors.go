package hibiscusprotocol

import "github.com/cockroachdb/errors"

// The errors of the protocol layer.
var (
	// ErrBadFrame says that bytes from another process are not a valid frame.
	ErrBadFrame = errors.New("frame is not valid")
	// ErrBadText says that the operators' text has at least one error.
	ErrBadText = errors.New("configuration text is not valid")
	// ErrBadSettings says that a settings file has at least one error.
	ErrBadSettings = errors.New("settings are not valid")
)
