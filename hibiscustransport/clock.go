package hibiscustransport

import (
	"time"

	"hibiscusrouter/hibiscuscoordination"
)

// NewClock returns the clock of the host for one process.
func NewClock() *hibiscuscoordination.Clock {
	return hibiscuscoordination.NewClock(time.Now, suspendedTime)
}
