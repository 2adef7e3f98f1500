package hibiscusstate

import "github.com/cockroachdb/errors"

// The errors of the state layer; the layers above turn them into their own.
var (
	// ErrRingClosed says that a ring no longer takes or has no more values.
	ErrRingClosed = errors.New("ring is closed")
	// ErrBadKey says that a text is not a submission key that this system issued.
	ErrBadKey = errors.New("submission key was not issued by this system")
	// ErrKeyExpired says that a submission key is older than the window of remembered keys.
	ErrKeyExpired = errors.New("submission key is older than the remembered window")
	// ErrKeyNotIssued says that a sequence number was never issued by this incarnation.
	ErrKeyNotIssued = errors.New("submission key was never issued by this incarnation")
)
