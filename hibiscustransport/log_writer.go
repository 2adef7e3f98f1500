package hibiscustransport

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// The LogWriter accepts log lines without blocking. A goroutine writes them; lines beyond the rate limit, or faster than the
// reader of the output reads them, are dropped, and their number is logged in a line of its own.

const (
	// logLinesPerSecond limits the log rate of a process. A line costs some 10 us, so this is 0.2% of a core.
	logLinesPerSecond = 200
	// logBurst is the size of the token bucket: how many lines may be written at once.
	logBurst = 400
	// logReserve is how many of these are reserved for lines that are not about a single job: starts, stops, changes of the
	// configuration, lost and restored dependencies. They are few, and each explains many lines about jobs.
	logReserve = 100
	// logRing is the maximum number of lines that wait for a slow reader.
	logRing = 1024
	// logBatch is the maximum number of lines in one write.
	logBatch = 64
)

// LogWriter is safe for concurrent use.
type LogWriter struct {
	ring       *hibiscusstate.Ring[[]byte]
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	unreported uint64
	// reportedAt is when the last line about dropped lines was written, at most one a second.
	reportedAt   time.Time
	totalDropped uint64
	done         chan struct{}
}

// jobAttribute occurs in every line that is about a single job.
var jobAttribute = []byte(" job=")

// NewLogWriter returns a writer whose goroutine writes to out until Close.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{
		ring: hibiscusstate.NewRing[[]byte](logRing), tokens: logBurst, refilledAt: time.Now(), done: make(chan struct{}),
	}
	go w.run(out)
	return w
}

// Write implements io.Writer; it queues the line or drops it, and never fails.
func (w *LogWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	now := time.Now()
	w.tokens = min(w.tokens+now.Sub(w.refilledAt).Seconds()*logLinesPerSecond, logBurst)
	w.refilledAt = now
	accepted := w.tokens >= 1
	if bytes.Contains(line, jobAttribute) {
		accepted = w.tokens >= 1+logReserve
	}
	var report []byte
	if accepted {
		w.tokens--
		if w.unreported > 0 && now.Sub(w.reportedAt) >= time.Second {
			w.reportedAt = now
			report = fmt.Appendf(nil, "time=%s level=WARN msg=\"log: lines were dropped\" lines=%d\n", now.Format(time.RFC3339Nano), w.unreported)
			w.unreported = 0
		}
	} else {
		w.unreported++
		w.totalDropped++
	}
	w.mu.Unlock()
	if !accepted {
		return len(line), nil
	}
	if !w.ring.TryPush(append(report, line...)) {
		w.mu.Lock()
		w.unreported++
		w.totalDropped++
		w.mu.Unlock()
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *LogWriter) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.totalDropped
}

// Close waits until the queued lines are written and ends the goroutine.
func (w *LogWriter) Close() {
	w.ring.Close()
	<-w.done
}

func (w *LogWriter) run(out io.Writer) {
	defer close(w.done)
	batch := make([][]byte, logBatch)
	var buf []byte
	for {
		n, err := w.ring.PopBatch(batch, -1)
		if err != nil {
			return
		}
		buf = buf[:0]
		for _, line := range batch[:n] {
			buf = append(buf, line...)
		}
		clear(batch[:n])
		if _, err := out.Write(buf); err != nil {
			// The error can't be reported, because the log itself can't be written.
			continue
		}
	}
}
