package hibiscusprotocol

import "github.com/cockroachdb/errors"

// The errors of the protocol layer.
var (
	// ErrBadFrame says that bytes from another process are not a valid frame.
	ErrBadFrame = errors.New("frame is not valid")
	// ErrBadConfiguration says that the operators' text has at least one error.
	ErrBadConfiguration = errors.New("configuration text is not valid")
	// ErrBadSettings says that a settings file has at least one error.
	ErrBadSettings = errors.New("settings are not valid")
	// ErrTable says that the table service or the object store did not answer, or refused.
	ErrTable = errors.New("table service is not available")
	// ErrRowChanged says that a transaction did not take effect because one of its conditions does not hold.
	ErrRowChanged = errors.New("row changed since it was read")
	// ErrOutcomeUnknown says that the table service did not say whether a write took effect.
	ErrOutcomeUnknown = errors.New("outcome of a write is unknown")
	// ErrUnknownVersion says that a configuration version does not exist.
	ErrUnknownVersion = errors.New("configuration version does not exist")
)
