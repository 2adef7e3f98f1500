package hibiscusprotocol

import "github.com/cockroachdb/errors"

// Errors of the protocol layer.
var (
	// ErrBadFrame means that bytes from another process are not a valid frame.
	ErrBadFrame = errors.New("frame is not valid")
	// ErrBadConfiguration means that an operator's configuration has at least one error.
	ErrBadConfiguration = errors.New("configuration text is not valid")
	// ErrBadSettings means that a settings file has at least one error.
	ErrBadSettings = errors.New("settings are not valid")
	// ErrBadAddress means that a text is not an IP address with a port.
	ErrBadAddress = errors.New("address is not valid")
	// ErrOverloaded means that a body was not read whole because the process holds too much already; the request has not run.
	ErrOverloaded = errors.New("the process has no memory for the request")
	// ErrTable means that the table service or the object store did not respond, or rejected the request.
	ErrTable = errors.New("table service is not available")
	// ErrRowChanged means that a transaction was not applied because one of its conditions does not hold.
	ErrRowChanged = errors.New("row changed since it was read")
	// ErrOutcomeUnknown means that the table service did not report whether a write was applied.
	ErrOutcomeUnknown = errors.New("outcome of a write is unknown")
	// ErrUnknownVersion means that a configuration version does not exist.
	ErrUnknownVersion = errors.New("configuration version does not exist")
	// ErrTooManyDomains means that the set of evacuated failure domains has reached its bound.
	ErrTooManyDomains = errors.New("too many failure domains are evacuated")
)
