package hibiscuscoordination

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// The audit trail of a process is written in batches, at most one transaction a second, because hundreds of workers may
// disconnect and reconnect within a second, and the table accepts a few hundred writes a second from all processes. While the
// table is down, entries wait in the ring; when it is full, they are dropped and counted.

const (
	auditRingCapacity = 4096
	auditBatchSize    = 256
	auditInterval     = time.Second
	// auditRetention is how long audit rows stay in the table before they move to the object store.
	auditRetention = 30 * 24 * time.Hour
	// archiveInterval is the average interval at which one batch of old rows is moved; it keeps the share of the table's writes small.
	archiveInterval = 10 * time.Minute
)

// AuditEntry is one line of the audit trail.
type AuditEntry struct {
	at          time.Time
	who         string
	from        string
	what        string
	fromVersion uint64
	toVersion   uint64
}

// NewAuditEntry returns an entry: the actor, its address and its action; the versions are zero unless the configuration changed.
func NewAuditEntry(at time.Time, who, from, what string, fromVersion, toVersion uint64) AuditEntry {
	return AuditEntry{at: at, who: who, from: from, what: what, fromVersion: fromVersion, toVersion: toVersion}
}

// At returns the time of the entry.
func (a AuditEntry) At() time.Time { return a.at }

// Who returns the name of the operator or process that acted.
func (a AuditEntry) Who() string { return a.who }

// From returns the address of the actor.
func (a AuditEntry) From() string { return a.from }

// What returns a description of the event in one line.
func (a AuditEntry) What() string { return a.what }

// FromVersion returns the configuration version before the change.
func (a AuditEntry) FromVersion() uint64 { return a.fromVersion }

// ToVersion returns the configuration version after the change.
func (a AuditEntry) ToVersion() uint64 { return a.toVersion }

// AuditWriter writes the audit trail of a process; Add is safe for concurrent use.
type AuditWriter struct {
	ring    *hibiscusstate.Ring[AuditEntry]
	write   func(ctx context.Context, entries []AuditEntry) error
	archive func(ctx context.Context, before time.Time) (int, error)
	dropped atomic.Uint64
	stopped chan struct{}
	stop    sync.Once
	log     *slog.Logger
}

// NewAuditWriter returns an AuditWriter; write stores entries in one transaction, and archive moves one batch of rows that are
// older than a time to the object store and returns their number.
func NewAuditWriter(
	write func(ctx context.Context, entries []AuditEntry) error,
	archive func(ctx context.Context, before time.Time) (int, error), log *slog.Logger,
) *AuditWriter {
	return &AuditWriter{
		ring: hibiscusstate.NewRing[AuditEntry](auditRingCapacity), write: write, archive: archive,
		stopped: make(chan struct{}), log: log,
	}
}

// Add queues an entry without waiting; it returns false and counts a drop when the ring is full.
func (a *AuditWriter) Add(entry AuditEntry) bool {
	if a.ring.TryPush(entry) {
		return true
	}
	a.dropped.Add(1)
	return false
}

// Dropped returns the number of entries that were dropped.
func (a *AuditWriter) Dropped() uint64 { return a.dropped.Load() }

// Run writes entries until Stop, and then the remaining ones without the interval.
func (a *AuditWriter) Run(ctx context.Context) {
	batch := make([]AuditEntry, auditBatchSize)
	for {
		n, err := a.ring.PopBatch(batch, -1)
		if err != nil {
			return
		}
		a.writeBatch(ctx, batch[:n])
		select {
		case <-a.stopped:
		case <-time.After(auditInterval):
		}
	}
}

// writeBatch writes a batch. A failed write is retried until the process stops; meanwhile the ring fills, and further entries
// are dropped and counted.
func (a *AuditWriter) writeBatch(ctx context.Context, batch []AuditEntry) {
	for {
		err := a.write(ctx, batch)
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			a.dropped.Add(uint64(len(batch)))
			a.log.Warn("audit: entries dropped at the end of the process", "entries", len(batch), "cause", err.Error())
			return
		}
		a.log.Warn("audit: write failed, retrying", "entries", len(batch), "dropped", a.Dropped(), "cause", err.Error())
		sleep(ctx, auditInterval)
	}
}

// Stop ends Run after the entries that were added before.
func (a *AuditWriter) Stop() {
	a.ring.Close()
	a.stop.Do(func() { close(a.stopped) })
}

// RunArchive moves old rows to the object store, one batch at a time, until ctx is done.
func (a *AuditWriter) RunArchive(ctx context.Context) {
	for sleep(ctx, archiveInterval/2+randomPart(archiveInterval)) {
		n, err := a.archive(ctx, time.Now().Add(-auditRetention))
		switch {
		case err != nil:
			a.log.Warn("audit: old entries not moved to the object store", "cause", err.Error())
		case n > 0:
			a.log.Info("audit: old entries moved to the object store", "entries", n)
		}
	}
}

// sleep waits for d or the end of ctx, and reports whether d has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
