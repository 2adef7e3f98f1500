package hibiscuscoordination

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// TestLoopMonitor guards against an event loop that is behind without a line that tells why.
func TestLoopMonitor(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey || a.Key == "goroutines" {
			return slog.Attr{}
		}
		return a
	}}))
	m := newLoopMonitor(log)
	used := time.Duration(0)
	m.processorTime = func() time.Duration { return used }
	at := time.Unix(1_000_000, 0)
	batch := func(wait, run, processor time.Duration) {
		oldest := at
		at = at.Add(wait)
		began := at
		at = at.Add(run)
		used += processor
		m.observe(oldest, began, at, 3)
	}
	note := func(text string) { out.WriteString(text + "\n") }
	note("commands wait briefly")
	for range 20 {
		batch(100*time.Millisecond, 10*time.Millisecond, 10*time.Millisecond)
	}
	note("commands take long")
	for range 10 {
		batch(300*time.Millisecond, 900*time.Millisecond, 900*time.Millisecond)
	}
	note("the process has other work")
	for range 4 {
		batch(900*time.Millisecond, 10*time.Millisecond, 800*time.Millisecond)
	}
	note("the process is paused")
	batch(3*time.Second, 10*time.Millisecond, 10*time.Millisecond)
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "loop_monitor", out.Bytes())
}
