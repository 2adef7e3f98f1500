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
	// commandBatch is how many commands a duty takes at once; the work after a batch (timers, sending) is shared by them.
	commandBatch = 256
	// commandCapacity is the size of a duty's ring; producers wait when it is full, which slows their sockets.
	commandCapacity = 4096
)

// duty runs commands and, between them, what is due.
type duty struct {
	ring  *hibiscusstate.Ring[command]
	after func(now time.Time)
	next  func(now time.Time) time.Time
}

// newDuty returns a duty; after runs behind each batch of commands, and next says when to run it without any.
func newDuty(after func(now time.Time), next func(now time.Time) time.Time) *duty {
	return &duty{ring: hibiscusstate.NewRing[command](commandCapacity), after: after, next: next}
}

// run executes commands until the ring is closed and empty.
func (d *duty) run() {
	batch := make([]command, commandBatch)
	for {
		now := time.Now()
		n, err := d.ring.PopBatch(batch, max(d.next(now).Sub(now), 0))
		if err != nil {
			return
		}
		now = time.Now()
		for i := range n {
			batch[i](now)
			batch[i] = nil
		}
		d.after(now)
	}
}

// do queues a command; it waits while the ring is full and returns ErrStopped when the duty has ended.
func (d *duty) do(c command) error {
	if err := d.ring.Push(c); err != nil {
		return ErrStopped
	}
	return nil
}

// ask runs a question on the duty and waits for its answer.
func ask[T any](d *duty, question func(now time.Time) T) (T, error) {
	answer := hibiscusstate.NewRing[T](1)
	err := d.do(func(now time.Time) { answer.TryPush(question(now)) })
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
