package hibiscusstate

import "time"

// Histogram counts durations by size.
type Histogram struct {
	counts [len(histogramBounds) + 1]uint64
	sum    time.Duration
}

// histogramBounds are the upper bounds of all buckets but the last, which is unbounded. They resolve the durations that matter
// to callers: a round trip, a task of 50 ms, and the seconds after which an answer is of no use.
var histogramBounds = [...]time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
}

// Observe counts a duration.
func (h *Histogram) Observe(d time.Duration) {
	h.sum += d
	for i, bound := range histogramBounds {
		if d <= bound {
			h.counts[i]++
			return
		}
	}
	h.counts[len(histogramBounds)]++
}

// Buckets calls f with the upper bound of each bucket, zero for the last one, and the durations counted in it.
func (h *Histogram) Buckets(f func(bound time.Duration, count uint64)) {
	for i, bound := range histogramBounds {
		f(bound, h.counts[i])
	}
	f(0, h.counts[len(histogramBounds)])
}

// Sum returns the sum of all durations.
func (h *Histogram) Sum() time.Duration { return h.sum }
