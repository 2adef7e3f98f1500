package hibiscuscoordination

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscusstate"
)

// The configuration duty of an entry whose configuration belongs to somebody else, who writes it into the table. The duty
// reads it once and then follows the changes, one open request at a time. Each version is pushed to the other entries, so
// that an entry that the table turns away gets it too.

const (
	// feedRetryDelay is the time between two tries when the table does not answer. A version has to be in force 2 s after it was
	// written, also when the table is back just then.
	feedRetryDelay = 250 * time.Millisecond
	// maxFeedRetryDelay bounds the growing pause between the tries of a long outage, because every request is paid for.
	maxFeedRetryDelay = time.Second
	// firstReadTimeout bounds the first read after a failure, and the time doubles with each failure. An entry without a configuration
	// refuses everything, and a read that hangs on a connection that carries nothing is not worth a second; the store takes
	// 4 ms on a calm day and 240 ms on a slow one.
	firstReadTimeout = 300 * time.Millisecond
	// maxReadTimeout is the bound after failures, so that a store that is slower still is read.
	maxReadTimeout = 2 * time.Second
)

// FeedPosition is a place in the history of the table.
type FeedPosition uint64

// ConfigurationFeed is the configuration duty.
type ConfigurationFeed struct {
	entry     *Entry
	read      func(ctx context.Context) (*hibiscusstate.Configuration, FeedPosition, error)
	next      func(ctx context.Context, after FeedPosition) (*hibiscusstate.Configuration, FeedPosition, error)
	log       *slog.Logger
	tableDown bool
}

// NewConfigurationFeed returns the duty. read returns the newest version, nil for none; next waits for a later one and may
// return nil when there was none. Both return the place up to which they have read; next returns ErrHistoryLost when the
// table no longer has what came after its place.
func NewConfigurationFeed(
	entry *Entry, read func(ctx context.Context) (*hibiscusstate.Configuration, FeedPosition, error),
	next func(ctx context.Context, after FeedPosition) (*hibiscusstate.Configuration, FeedPosition, error), log *slog.Logger,
) *ConfigurationFeed {
	return &ConfigurationFeed{entry: entry, read: read, next: next, log: log}
}

// Run follows the configuration until ctx is done. The entry gets ready as with ConfigurationPoller.
func (f *ConfigurationFeed) Run(ctx context.Context) {
	wait := time.AfterFunc(peerVersionTimeout, f.entry.releaseReady)
	defer wait.Stop()
	var repeats sync.WaitGroup
	defer repeats.Wait()
	repeats.Go(func() { f.resendLoop(ctx) })
	pause, limit := feedRetryDelay, firstReadTimeout
	for ctx.Err() == nil {
		readCtx, cancel := context.WithTimeout(ctx, limit)
		position, err := f.apply(f.read(readCtx))
		cancel()
		limit = min(2*limit, maxReadTimeout)
		for err == nil {
			pause, limit = feedRetryDelay, firstReadTimeout
			f.entry.releaseReady()
			position, err = f.apply(f.next(ctx, position))
		}
		if errors.Is(err, ErrHistoryLost) {
			f.log.Info("config: history is gone, reading the newest version")
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if !f.tableDown {
			// The first failure may be one bad connection.
			pause = 0
			f.log.Warn("config: table does not answer, the version in force stays", "cause", err.Error())
		}
		f.tableDown = true
		sleep(ctx, pause)
		pause = min(max(2*pause, feedRetryDelay), maxFeedRetryDelay)
	}
}

// configureFromFeed puts a version in force that all entries read from the table at the same moment.
func (e *Entry) configureFromFeed(c *hibiscusstate.Configuration) error {
	return e.loop.post(func(now time.Time) {
		if e.applyConfiguration(now, c) {
			e.pushConfiguration(true)
		}
	})
}

// resendLoop sends the version in force to those who lack it, until ctx is done.
func (f *ConfigurationFeed) resendLoop(ctx context.Context) {
	ticker := time.NewTicker(configurationPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if f.entry.resendConfiguration() != nil {
			// The process is stopping.
			return
		}
	}
}

// apply puts a version in force.
func (f *ConfigurationFeed) apply(c *hibiscusstate.Configuration, position FeedPosition, err error) (FeedPosition, error) {
	if err != nil {
		return position, err
	}
	if f.tableDown {
		f.tableDown = false
		f.log.Info("config: table answers again")
	}
	if c == nil {
		return position, nil
	}
	return position, f.entry.configureFromFeed(c)
}
