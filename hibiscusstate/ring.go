package hibiscusstate

import (
	"sync"
	"time"
)

// initialRingBuffer is how many values a ring has room for before it grows; a session at rest holds one or two.
const initialRingBuffer = 8

// Ring is a bounded FIFO that joins two duties: any number of producers, one consumer.
//
// A mutex guards the buffer, and two channels of capacity one carry the wake-ups, so that a waiting side sleeps in the
// runtime and never spins. A batch is taken under one lock, which keeps the cost of a hand-over small under load.
//
// The buffer grows to the capacity as values wait. Whole from the start, the rings of a session took 2.3 MiB, and those of
// 920 sessions 2.1 GiB.
type Ring[T any] struct {
	mu       sync.Mutex
	buf      []T
	capacity int
	head     int
	n        int
	closed   bool
	dropped  uint64
	maxDepth int
	notEmpty chan struct{}
	notFull  chan struct{}
	done     chan struct{}
}

// NewRing returns an empty ring for capacity values; a capacity below one counts as one.
func NewRing[T any](capacity int) *Ring[T] {
	capacity = max(capacity, 1)
	return &Ring[T]{
		buf:      make([]T, min(capacity, initialRingBuffer)),
		capacity: capacity,
		notEmpty: make(chan struct{}, 1),
		notFull:  make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
}

// Push appends v, waiting while the ring is full; it returns ErrRingClosed once the ring is closed.
func (r *Ring[T]) Push(v T) error {
	for {
		ok, closed := r.offer(v)
		if closed {
			return ErrRingClosed
		}
		if ok {
			return nil
		}
		select {
		case <-r.notFull:
		case <-r.done:
		}
	}
}

// TryPush appends v when there is room, and otherwise counts a drop and returns false.
func (r *Ring[T]) TryPush(v T) bool {
	ok, _ := r.offer(v)
	if !ok {
		r.mu.Lock()
		r.dropped++
		r.mu.Unlock()
	}
	return ok
}

// Pop takes the oldest value, waiting for one; it returns ErrRingClosed when the ring is closed and empty.
func (r *Ring[T]) Pop() (T, error) {
	var one [1]T
	n, err := r.PopBatch(one[:], -1)
	if n == 1 {
		return one[0], nil
	}
	return one[0], err
}

// PopBatch moves up to len(dst) values into dst, waiting at most timeout for the first one (no limit when negative); it
// returns 0 values and no error on a timeout, and ErrRingClosed when the ring is closed and empty.
func (r *Ring[T]) PopBatch(dst []T, timeout time.Duration) (int, error) {
	n, closed := r.take(dst)
	if n > 0 {
		return n, nil
	}
	if closed {
		return 0, ErrRingClosed
	}
	var expired <-chan time.Time
	if timeout >= 0 {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		expired = timer.C
	}
	for {
		select {
		case <-r.notEmpty:
		case <-r.done:
		case <-expired:
			return 0, nil
		}
		n, closed = r.take(dst)
		if n > 0 {
			return n, nil
		}
		if closed {
			return 0, ErrRingClosed
		}
	}
}

// Close stops the ring: producers get ErrRingClosed, and the consumer gets what is left and then ErrRingClosed.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.closed = true
		close(r.done)
	}
}

// Len returns the number of values in the ring.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n
}

// Cap returns the number of values that the ring holds at most.
func (r *Ring[T]) Cap() int { return r.capacity }

// Dropped returns how many values TryPush has turned away.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// MaxDepth returns the largest number of values that the ring has held at once.
func (r *Ring[T]) MaxDepth() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.maxDepth
}

func (r *Ring[T]) offer(v T) (ok, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false, true
	}
	if r.n == r.capacity {
		return false, false
	}
	if r.n == len(r.buf) {
		r.grow()
	}
	r.buf[(r.head+r.n)%len(r.buf)] = v
	r.n++
	r.maxDepth = max(r.maxDepth, r.n)
	signal(r.notEmpty)
	if r.n < r.capacity {
		// Several producers may wait, and notFull holds one wake-up only, so each one that gets in wakes the next.
		signal(r.notFull)
	}
	return true, false
}

// grow doubles the buffer, up to the capacity; the caller holds the lock.
func (r *Ring[T]) grow() {
	buf := make([]T, min(2*len(r.buf), r.capacity))
	n := copy(buf, r.buf[r.head:])
	copy(buf[n:], r.buf[:r.head])
	r.buf = buf
	r.head = 0
}

func (r *Ring[T]) take(dst []T) (n int, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var zero T
	for n < len(dst) && r.n > 0 {
		dst[n] = r.buf[r.head]
		r.buf[r.head] = zero
		r.head = (r.head + 1) % len(r.buf)
		r.n--
		n++
	}
	if n > 0 {
		signal(r.notFull)
	}
	return n, r.closed
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
