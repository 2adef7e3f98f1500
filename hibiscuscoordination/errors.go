package hibiscuscoordination

import "github.com/cockroachdb/errors"

// The errors of the coordination layer.
var (
	// ErrStopped means that the process is stopping and its event loop accepts no more commands.
	ErrStopped = errors.New("process is stopping")
	// ErrConflict means that an edit was based on a version that is no longer the current one.
	ErrConflict = errors.New("configuration changed since the version that the edit was based on")
	// ErrPlatformUnavailable means that the table service did not answer.
	ErrPlatformUnavailable = errors.New("table service is not available")
	// ErrEndpointGone means that the endpoint is down, so no task runs there.
	ErrEndpointGone = errors.New("the endpoint is down")
	// ErrStaleEpoch means that the endpoint has ignored a request because it has seen a higher epoch.
	ErrStaleEpoch = errors.New("the endpoint has seen a higher epoch")
	// ErrHistoryLost means that the table no longer has the changes that a reader requested.
	ErrHistoryLost = errors.New("the table has dropped these changes")
	// ErrUnknownWorker means that no connected worker has the given address.
	ErrUnknownWorker = errors.New("no connected endpoint has this address")
	// ErrNoAnswer means that a worker's agent did not confirm a request in time; repeating the request is safe.
	ErrNoAnswer = errors.New("the agent did not confirm in time; the request may have taken effect and may be repeated")
)
