package hibiscuscoordination

import (
	"time"

	"hibiscusrouter/hibiscusstate"
)

// A duty is one goroutine that owns some state and runs commands on it from one ring. Nothing else touches the state, so
// the decisions need no locks.

// command is one thing for a duty to do, with the time at which it does it.
type command func(now time.Time)

const (
	// commandBatchSize is how many commands a duty takes at once; the work after a batch (timers, sending) is shared by them.
	commandBatchSize = 256
	// commandRingCapacity is the size of a duty's ring; producers wait when it is full, which slows their sockets.
	commandRingCapacity = 4096
)

// eventLoop runs commands and, between them, what is due.
type eventLoop struct {
	ring       *hibiscusstate.Ring[command]
	afterBatch func(now time.Time)
	nextWake   func(now time.Time) time.Time
}

// newEventLoop returns a duty; after runs behind each batch of commands, and next says when to run it without any.
func newEventLoop(after func(now time.Time), next func(now time.Time) time.Time) *eventLoop {
	return &eventLoop{ring: hibiscusstate.NewRing[command](commandRingCapacity), afterBatch: after, nextWake: next}
}

// run executes commands until the ring is closed and empty.
func (d *eventLoop) run() {
	batch := make([]command, commandBatchSize)
	for {
		now := time.Now()
		n, err := d.ring.PopBatch(batch, max(d.nextWake(now).Sub(now), 0))
		if err != nil {
			return
		}
		now = time.Now()
		for i := range n {
			batch[i](now)
			batch[i] = nil
		}
		d.afterBatch(now)
	}
}

// post queues a command; it waits while the ring is full and returns ErrStopped when the duty has ended.
func (d *eventLoop) post(c command) error {
	if err := d.ring.Push(c); err != nil {
		return ErrStopped
	}
	return nil
}

// call runs a question on the duty and waits for its answer.
func call[T any](d *eventLoop, question func(now time.Time) T) (T, error) {
	answer := hibiscusstate.NewRing[T](1)
	err := d.post(func(now time.Time) { answer.TryPush(question(now)) })
	if err != nil {
		var zero T
		return zero, err
	}
	v, err := answer.Pop()
	if err != nil {
		return v, ErrStopped
	}
	return v, nil
}
