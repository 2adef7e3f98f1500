package hibiscuscoordination

import (
	"sync"
	"time"
)

// contact records whether this process was in contact with the others. A request may have been held up for as long as it was not:
// behind a partition, or while the process was suspended. It is safe for concurrent use.
type contact struct {
	mu sync.Mutex
	// provenAt is the latest time at which another process has certainly sent something that has arrived here, zero before the first.
	provenAt time.Time
	// impairedUntil is when something arrived for the last time after more than maxContactGap without such a proof.
	impairedUntil time.Time
}

const (
	// maxContactGap is how long a process that is in contact may receive nothing that was sent lately.
	maxContactGap = time.Second
	// contactProbeAfter is how long after the last proof an entry begins to ping others, one at each tick. Sessions that are quiet in both
	// directions carry a ping or a pong only every 1.5 s.
	contactProbeAfter = 400 * time.Millisecond
	// heldUpSlack is how long after contact is back a request may arrive that was held up before: TCP sends an unacknowledged segment
	// again after a delay that doubles, and a new connection has passed the kernel before the process accepts it.
	heldUpSlack = time.Second
)

// observe records a message that was received now and decided on at sentAfter or later; the zero time counts as now.
func (c *contact) observe(now, sentAfter time.Time) {
	if sentAfter.IsZero() {
		sentAfter = now
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.provenAt.IsZero() && now.Sub(c.provenAt) > maxContactGap {
		c.impairedUntil = now
	}
	if sentAfter.After(c.provenAt) {
		c.provenAt = sentAfter
	}
}

// needsProbe reports whether another process should be pinged now, so that a gap means that nothing arrives.
func (c *contact) needsProbe(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.provenAt) >= contactProbeAfter
}

// mayBeHeldUp reports whether a request that its client sent at sentAfter or later may have been held up before it arrived now.
func (c *contact) mayBeHeldUp(now, sentAfter time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sentAfter.IsZero() || c.provenAt.IsZero() {
		return false
	}
	return now.Sub(c.provenAt) > maxContactGap || c.impairedUntil.Add(heldUpSlack).After(sentAfter)
}
