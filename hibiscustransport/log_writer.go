package hibiscustransport

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// The LogWriter takes log lines without ever blocking. A duty of its own writes them; what comes faster than it may be
// written, or than the reader takes it, is dropped and counted in a line of its own.

const (
	// logLinesPerSecond bounds the lines of a process. A line costs some 10 us, so that this is 0.2% of a core.
	logLinesPerSecond = 200
	// logBurst is how many lines may come at once, from a quiet second.
	logBurst = 400
	// logReserve is how many of these are kept for lines that are about no single job: starts, stops, changes of the configuration,
	// lost and regained dependencies. They are few, and each explains many lines about jobs.
	logReserve = 100
	// logRing bounds the lines that wait for a reader that lags.
	logRing = 1024
	// logBatch is how many lines one write has at most.
	logBatch = 64
)

// LogWriter is safe for concurrent use.
type LogWriter struct {
	ring       *hibiscusstate.Ring[[]byte]
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	unreported uint64
	// reportedAt is when the last line about drops was written, at most one a second.
	reportedAt   time.Time
	totalDropped uint64
	done         chan struct{}
}

// jobAttribute is in every line that is about one job.
var jobAttribute = []byte(" job=")

// NewLogWriter returns a writer whose duty writes to out until Close.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{
		ring: hibiscusstate.NewRing[[]byte](logRing), tokens: logBurst, refilledAt: time.Now(), done: make(chan struct{}),
	}
	go w.run(out)
	return w
}

// Write implements io.Writer; it takes the line or drops it, and never fails.
func (w *LogWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	now := time.Now()
	w.tokens = min(w.tokens+now.Sub(w.refilledAt).Seconds()*logLinesPerSecond, logBurst)
	w.refilledAt = now
	taken := w.tokens >= 1
	if bytes.Contains(line, jobAttribute) {
		taken = w.tokens >= 1+logReserve
	}
	var report []byte
	if taken {
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
	if !taken {
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

// Close writes the lines that wait and ends the duty.
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
			// Nothing is left to tell it to: the log itself can't be written.
			continue
		}
	}
}
