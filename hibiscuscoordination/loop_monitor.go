package hibiscuscoordination

import (
	"log/slog"
	"runtime"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// A loopMonitor measures how far an event loop is behind: what a process decides late, it decides on old views. The reason is in the
// relation of three times: the loop ran commands all the while (busy), the process had other work (its processor time is above that), or
// it was not given the processor.

const (
	// maxLoopDelay is the wait of a command from which on the loop is reported to be behind.
	maxLoopDelay = 250 * time.Millisecond
	// loopReportInterval is the least time between two such lines.
	loopReportInterval = time.Second
)

// loopMonitor belongs to the goroutine of an event loop.
type loopMonitor struct {
	log *slog.Logger
	// processorTime returns the processor time that the process has used.
	processorTime func() time.Duration
	// delays has the longest wait of each batch of commands.
	delays hibiscusstate.Histogram
	// since is the start of the interval to which the other fields refer.
	since     time.Time
	usedSince time.Duration
	busy      time.Duration
	longest   time.Duration
}

func newLoopMonitor(log *slog.Logger) loopMonitor {
	return loopMonitor{log: log, processorTime: func() time.Duration { return 0 }}
}

// observe records a batch: its oldest command was queued at oldest, and it was run from began to ended. waiting commands are left.
func (m *loopMonitor) observe(oldest, began, ended time.Time, waiting int) {
	delay := began.Sub(oldest)
	m.delays.Observe(delay)
	m.busy += ended.Sub(began)
	m.longest = max(m.longest, delay)
	if m.since.IsZero() {
		m.since, m.usedSince = began, m.processorTime()
	}
	interval := ended.Sub(m.since)
	if interval < loopReportInterval {
		return
	}
	used := m.processorTime()
	if m.longest >= maxLoopDelay {
		m.log.Warn("process: event loop is behind", "delay_ms", m.longest.Milliseconds(), "interval_ms", interval.Milliseconds(),
			"busy_ms", m.busy.Milliseconds(), "processor_ms", (used - m.usedSince).Milliseconds(), "waiting", waiting,
			"goroutines", runtime.NumGoroutine())
	}
	m.since, m.usedSince, m.busy, m.longest = ended, used, 0, 0
}
