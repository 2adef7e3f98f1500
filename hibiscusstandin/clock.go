package hibiscusstandin

import (
	"sync"
	"time"
	"unsafe"
)

// Clock is a clock whose time of day can be stepped apart from its steady reading, and whose VM can be suspended: then the time of
// day advances and the steady clock does not. It is safe for concurrent use.
type Clock struct {
	mu        sync.Mutex
	start     time.Time
	step      time.Duration
	suspended time.Duration
	skipped   time.Duration
}

// NewClock returns a clock whose time of day is that of the runtime.
func NewClock() *Clock { return &Clock{start: time.Now()} }

// Step moves the time of day; a negative step moves it back.
func (c *Clock) Step(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.step += d
}

// Suspend simulates that the VM was suspended for a while and has just resumed.
func (c *Clock) Suspend(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.step += d
	c.suspended += d
}

// Skip simulates that the process stood still for a while and has just resumed: both readings advance, and no timer has fired.
func (c *Clock) Skip(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.step += d
	c.skipped += d
}

// Suspended returns how long the VM has been suspended so far.
func (c *Clock) Suspended() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspended
}

// Now returns the time of day with all steps, and a steady reading with the skipped times only.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return withSteadyReading(now.Add(c.step), now.Sub(c.start)+c.skipped)
}

// timeLayout is the layout of the first two fields of a time.Time with a steady reading: a flag, 33 bits of seconds since 1885 and 30
// bits of nanoseconds, and the steady reading.
type timeLayout struct {
	wall uint64
	ext  int64
}

const (
	steadyFlag     = 1 << 63
	nanosecondBits = 30
)

var wallEpoch = time.Date(1885, 1, 1, 0, 0, 0, 0, time.UTC).Unix()

// withSteadyReading returns a time of day with a steady reading. No function of package time combines the two, and in a bubble of
// testing/synctest the runtime's clock has no steady reading.
func withSteadyReading(timeOfDay time.Time, steady time.Duration) time.Time {
	t := timeOfDay.Round(0)
	layout := (*timeLayout)(unsafe.Pointer(&t))
	layout.wall = steadyFlag | uint64(timeOfDay.Unix()-wallEpoch)<<nanosecondBits | uint64(timeOfDay.Nanosecond())
	layout.ext = int64(steady)
	return t
}
