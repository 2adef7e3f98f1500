package hibiscuscoordination

import "github.com/cockroachdb/errors"

// The errors of the coordination layer.
var (
	// ErrStopped says that the process is stopping and its duty no longer takes commands.
	ErrStopped = errors.New("process is stopping")
	// ErrConflict says that an edit was based on a version that is no longer the current one.
	ErrConflict = errors.New("configuration changed since the version that the edit was based on")
	// ErrPlatformUnavailable says that the table service did not answer.
	ErrPlatformUnavailable = errors.New("table service is not available")
)
