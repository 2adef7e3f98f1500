package hibiscusstate

import "github.com/cockroachdb/errors"

// The errors of the state layer; the layers above convert them to their own.
var (
	// ErrRingClosed is returned by a closed ring: it accepts no values, or all its values were read.
	ErrRingClosed = errors.New("ring is closed")
	// ErrBadKey means that a text is not a submission key that this system issued.
	ErrBadKey = errors.New("submission key was not issued by this system")
	// ErrKeyExpired means that a submission key is older than the window of tracked keys.
	ErrKeyExpired = errors.New("submission key is older than the remembered window")
	// ErrKeyNotIssued means that a sequence number was never issued by this incarnation.
	ErrKeyNotIssued = errors.New("submission key was never issued by this incarnation")
)
