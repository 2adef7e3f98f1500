package hibiscusstate

import "time"

// WorkTable holds the work of waiting tasks by the time at which they have to start, so that admission can ask how much work
// is due before a time without a pass over the queue.
type WorkTable struct {
	work [workBuckets]time.Duration
	// first is the bucket that holds everything that had to start before its end.
	first int64
	total time.Duration
}

const (
	// workBucket is the resolution of a WorkTable; the shortest slack of the known kinds is 96 ms.
	workBucket = 20 * time.Millisecond
	// workBuckets times workBucket is how far a WorkTable looks ahead; later starts count in the last bucket.
	workBuckets = 128
)

// Add adds work that has to start by a time, and returns the bucket with which it is removed.
func (w *WorkTable) Add(startBy time.Time, work time.Duration) int64 {
	bucket := min(max(startBy.UnixNano()/int64(workBucket), w.first), w.first+workBuckets-1)
	w.work[bucket%workBuckets] += work
	w.total += work
	return bucket
}

// Remove removes work from the bucket that Add returned.
func (w *WorkTable) Remove(bucket int64, work time.Duration) {
	w.work[max(bucket, w.first)%workBuckets] -= work
	w.total -= work
}

// Advance moves what had to start before now to the front.
func (w *WorkTable) Advance(now time.Time) {
	first := now.UnixNano() / int64(workBucket)
	if first <= w.first {
		return
	}
	late := time.Duration(0)
	for bucket := w.first; bucket < min(first, w.first+workBuckets); bucket++ {
		late += w.work[bucket%workBuckets]
		w.work[bucket%workBuckets] = 0
	}
	w.first = first
	w.work[first%workBuckets] += late
}

// Total returns all waiting work.
func (w *WorkTable) Total() time.Duration { return w.total }

// Before returns the work that has to start by a time.
func (w *WorkTable) Before(startBy time.Time) time.Duration {
	last := min(startBy.UnixNano()/int64(workBucket), w.first+workBuckets-1)
	work := time.Duration(0)
	for bucket := w.first; bucket <= last; bucket++ {
		work += w.work[bucket%workBuckets]
	}
	return work
}

// Each calls f with the work that has to start by the end of each bucket in turn, and that time after now, until f returns false.
func (w *WorkTable) Each(now time.Time, f func(startBy, work time.Duration) bool) {
	work := time.Duration(0)
	for bucket := w.first; bucket < w.first+workBuckets; bucket++ {
		added := w.work[bucket%workBuckets]
		if added == 0 {
			continue
		}
		work += added
		if !f(time.Duration((bucket+1)*int64(workBucket)-now.UnixNano()), work) {
			return
		}
	}
}
