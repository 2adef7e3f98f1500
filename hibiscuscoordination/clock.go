package hibiscuscoordination

import (
	"sync"
	"time"
)

// maxClockDeviation is how far the time of day and the steady clock may diverge between two readings before the suspended time is
// read again; it is far above what the adjustment of a clock's rate does in the second between two readings.
const maxClockDeviation = 50 * time.Millisecond

// Clock is the clock of a process, safe for concurrent use. It is the steady clock plus the time for which the VM was suspended, which
// the steady clock does not count: a lease that ran out during a suspension must not be used after it. Jumps of the time of day
// change nothing.
type Clock struct {
	now       func() time.Time
	suspended func() time.Duration
	mu        sync.Mutex
	last      time.Time
	// suspendedAtStart and suspension are the suspended time at the first reading, and since then.
	suspendedAtStart time.Duration
	suspension       time.Duration
}

// NewClock returns a clock; now returns the time with a steady reading, and suspended how long the VM has been suspended so far.
func NewClock(now func() time.Time, suspended func() time.Duration) *Clock {
	return &Clock{now: now, suspended: suspended}
}

// newRuntimeClock returns the runtime's clock, for a VM that is never suspended.
func newRuntimeClock() *Clock {
	return NewClock(time.Now, func() time.Duration { return 0 })
}

// Now returns the time. The suspended time is read only after the time of day and the steady clock have diverged, because that is
// a system call.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if c.last.IsZero() {
		c.suspendedAtStart = c.suspended()
	} else if divergence := now.Round(0).Sub(c.last.Round(0)) - now.Sub(c.last); divergence.Abs() > maxClockDeviation {
		c.suspension = c.suspended() - c.suspendedAtStart
	}
	c.last = now
	return now.Add(c.suspension)
}
