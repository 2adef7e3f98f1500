package hibiscuscoordination

import (
	"log/slog"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// An event loop is one goroutine that owns some state and runs commands on it from one ring. Nothing else accesses the state,
// so the decisions need no locks.

// command is a function that an event loop calls with the current time.
type command func(now time.Time)

// queuedCommand is a command with the time at which it was queued.
type queuedCommand struct {
	run      command
	queuedAt time.Time
}

const (
	// commandBatchSize is the most commands of a batch; the work after a batch (timers, sending) is done once for all of them.
	commandBatchSize = 256
	// commandRingCapacity is the size of an event loop's ring; producers wait while it is full, which slows the reads of their sockets.
	commandRingCapacity = 4096
)

// eventLoop runs queued commands, and timers between them.
type eventLoop struct {
	clock      *Clock
	ring       *hibiscusstate.Ring[queuedCommand]
	afterBatch func(now time.Time)
	nextWake   func(now time.Time) time.Time
	monitor    loopMonitor
}

// newEventLoop returns an event loop; afterBatch runs after each batch of commands, and at the time that nextWake returns if no
// command arrives before.
func newEventLoop(afterBatch func(now time.Time), nextWake func(now time.Time) time.Time, log *slog.Logger) *eventLoop {
	return &eventLoop{
		clock: newRuntimeClock(), ring: hibiscusstate.NewRing[queuedCommand](commandRingCapacity), afterBatch: afterBatch, nextWake: nextWake,
		monitor: newLoopMonitor(log),
	}
}

// run executes commands until the ring is closed and empty.
func (l *eventLoop) run() {
	batch := make([]queuedCommand, commandBatchSize)
	for {
		now := l.clock.Now()
		n, err := l.ring.PopBatch(batch, max(l.nextWake(now).Sub(now), 0))
		if err != nil {
			return
		}
		now = l.clock.Now()
		oldest := now
		if n > 0 {
			oldest = batch[0].queuedAt
		}
		for i := range n {
			batch[i].run(now)
		}
		clear(batch[:n])
		l.afterBatch(now)
		l.monitor.observe(oldest, now, l.clock.Now(), l.ring.Len())
	}
}

// post queues a command; it waits while the ring is full and returns ErrStopped when the event loop has ended.
func (l *eventLoop) post(c command) error {
	if err := l.ring.Push(queuedCommand{run: c, queuedAt: l.clock.Now()}); err != nil {
		return ErrStopped
	}
	return nil
}

// runAndWait runs f on the event loop and waits for its result; it returns ErrStopped when the loop has ended. It must not be called
// on the loop itself, which would wait for itself.
func runAndWait[T any](l *eventLoop, f func(now time.Time) T) (T, error) {
	result := hibiscusstate.NewRing[T](1)
	err := l.post(func(now time.Time) { result.TryPush(f(now)) })
	if err != nil {
		var zero T
		return zero, err
	}
	v, err := result.Pop()
	if err != nil {
		return v, ErrStopped
	}
	return v, nil
}
