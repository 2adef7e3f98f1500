package hibiscuscoordination

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"
)

// TestAuditBatches guards against more than one transaction a second, an entry that is written twice or never, a drop that is
// not counted, and an Add that blocks while the table is down.
func TestAuditBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines strings.Builder
		began := time.Now()
		var down atomic.Bool
		write := func(_ context.Context, entries []AuditEntry) error {
			if down.Load() {
				return errors.New("the table is down")
			}
			fmt.Fprintf(&lines, "%4.1f s  %d entries, %s to %s\n", time.Since(began).Seconds(), len(entries),
				entries[0].What(), entries[len(entries)-1].What())
			return nil
		}
		a := NewAuditWriter(write, nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
		finished := make(chan struct{})
		go func() {
			defer close(finished)
			a.Run(t.Context())
		}()
		n := 0
		add := func(count int) {
			for range count {
				a.Add(NewAuditEntry(time.Now(), "entry", "10.0.1.1:7200", fmt.Sprintf("event %d", n), 0, 0))
				n++
			}
			synctest.Wait()
		}
		add(1)
		add(300)
		time.Sleep(10 * time.Second)
		down.Store(true)
		add(1)
		add(6000)
		fmt.Fprintf(&lines, "%4.1f s  %d dropped while the table is down\n", time.Since(began).Seconds(), a.Dropped())
		// The table recovers between two retries.
		time.Sleep(10500 * time.Millisecond)
		down.Store(false)
		time.Sleep(30 * time.Second)
		add(1)
		a.Stop()
		<-finished
		fmt.Fprintf(&lines, "%4.1f s  stopped, %d dropped of %d\n", time.Since(began).Seconds(), a.Dropped(), n)
		goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "audit_batches", []byte(lines.String()))
	})
}
