package hibiscustransport

import (
	"sync"
	"sync/atomic"
)

// smallCharge is the charge up to which a request is an ordinary one: it gets the part of a budget that is closed to larger ones, and is
// not evicted for the sake of another.
const smallCharge = 8 << 10

// budget bounds the bytes that the requests of all listeners of a process hold. Above three quarters of its size, a larger charge evicts
// the largest of a sample of those that can be evicted, which may be itself; the last quarter is for small charges. It is safe for
// concurrent use.
type budget struct {
	size int64
	used atomic.Int64
	mu   sync.Mutex
	// large has the charges that can be evicted.
	large map[*charge]struct{}
	// leaving is the sum of the evicted charges that are not released yet.
	leaving int64
}

func newBudget(size int64) *budget { return &budget{size: size, large: map[*charge]struct{}{}} }

// charge is what one connection holds of a budget. Only one goroutine at a time calls its methods.
type charge struct {
	budget *budget
	// limit is the use of the budget up to which this charge may grow.
	limit int64
	// evict ends the request of the charge and reports whether that was possible. It is called under the lock of the budget.
	evict func() bool
	bytes atomic.Int64
	// listed means that the charge was added to budget.large since its last release.
	listed atomic.Bool
	// left is the part of budget.leaving for this charge, guarded by its lock.
	left int64
}

// grow adds n bytes to the charge, or returns false if the budget does not allow them.
func (c *charge) grow(n int64) bool {
	total := c.budget.used.Add(n)
	if own := c.bytes.Add(n); own <= smallCharge && total <= c.limit || c.growLarge(total, own) {
		return true
	}
	c.budget.used.Add(-n)
	c.bytes.Add(-n)
	return false
}

// growLarge decides on a charge that is not small, or that does not fit, and makes room by an eviction.
func (c *charge) growLarge(total, own int64) bool {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if own > smallCharge && c.left == 0 {
		c.listed.Store(true)
		b.large[c] = struct{}{}
	}
	if own <= smallCharge && total-b.leaving <= c.limit {
		return true
	}
	if total > c.limit {
		// What has been evicted is not released yet.
		return false
	}
	if total-b.leaving <= b.size/4*3 {
		return true
	}
	for {
		largest := b.largest()
		if largest == nil || largest == c {
			return false
		}
		delete(b.large, largest)
		if largest.evict() {
			largest.left = largest.bytes.Load()
			b.leaving += largest.left
			return true
		}
	}
}

// largest returns the largest charge of a sample, so that a crowd of thousands does not cost a search of all for each of their reads.
func (b *budget) largest() *charge {
	var largest *charge
	seen := 0
	for c := range b.large {
		if largest == nil || c.bytes.Load() > largest.bytes.Load() {
			largest = c
		}
		if seen++; seen == evictionSample {
			break
		}
	}
	return largest
}

// settle excludes the charge from evictions: its request is being answered.
func (c *charge) settle() {
	if c.listed.Load() {
		c.budget.mu.Lock()
		delete(c.budget.large, c)
		c.budget.mu.Unlock()
	}
}

// release returns all bytes of the charge to the budget. A listed charge may hold few or none: a refused growth is taken back.
func (c *charge) release() {
	if n := c.bytes.Swap(0); n > 0 {
		c.budget.used.Add(-n)
	}
	if c.listed.Swap(false) {
		c.budget.mu.Lock()
		delete(c.budget.large, c)
		c.budget.leaving -= c.left
		c.left = 0
		c.budget.mu.Unlock()
	}
}
