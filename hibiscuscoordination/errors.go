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
	// ErrEndpointGone says that the endpoint is down, so that nothing runs there.
	ErrEndpointGone = errors.New("the endpoint is down")
	// ErrStaleEpoch says that the endpoint has seen a higher epoch, so that it has done nothing.
	ErrStaleEpoch = errors.New("the endpoint has seen a higher epoch")
	// ErrHistoryLost says that the table no longer has the changes that a reader asked for.
	ErrHistoryLost = errors.New("the table has dropped these changes")
	// ErrUnknownWorker says that no connected worker has the given address.
	ErrUnknownWorker = errors.New("no connected endpoint has this address")
	// ErrNoAnswer says that a worker's agent did not confirm a request in time; repeating the request is safe.
	ErrNoAnswer = errors.New("the agent did not confirm in time; the request may have taken effect and may be repeated")
)
