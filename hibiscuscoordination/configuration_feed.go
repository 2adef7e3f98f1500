package hibiscuscoordination

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscusscheduling"
	"hibiscusrouter/hibiscusstate"
)

// A ConfigurationFeed is for an entry whose configuration is managed by the host platform, which writes it into the table. It
// reads the configuration once and then waits for changes, one pending request at a time. Each version is pushed to the other
// entries, so that an entry whose requests the table rejects receives it too.

const (
	// feedRetryDelay is the delay before a read is retried when the table does not answer. A version must be in force 2 s after it
	// was written, even if the table recovers only at the time of the write.
	feedRetryDelay = 250 * time.Millisecond
	// maxFeedRetryDelay bounds the delay, which doubles in a long outage, because every request is charged.
	maxFeedRetryDelay = time.Second
	// firstReadTimeout is the timeout of the first read; it doubles with each failure. An entry without a configuration refuses all
	// submissions, so a read on a connection that is lost must time out early; the store answers in 4 ms, or 240 ms when slow.
	firstReadTimeout = 300 * time.Millisecond
	// maxReadTimeout bounds the timeout; it is long enough for a store that is even slower.
	maxReadTimeout = 2 * time.Second
)

// FeedPosition is a position in the change history of the table.
type FeedPosition uint64

// FeedPage is what one read of the table returned.
type FeedPage struct {
	configuration *hibiscusstate.Configuration
	evacuation    hibiscusscheduling.Evacuation
	evacuated     bool
	position      FeedPosition
}

// NewFeedPage returns a page: the newest version of the configuration, nil for none, and the position up to which the table was read.
func NewFeedPage(configuration *hibiscusstate.Configuration, position FeedPosition) FeedPage {
	return FeedPage{configuration: configuration, position: position}
}

// WithEvacuation adds the evacuated domains, all of them, as of the position.
func (p FeedPage) WithEvacuation(domains []string) FeedPage {
	p.evacuation, p.evacuated = hibiscusscheduling.NewEvacuation(uint64(p.position), domains), true
	return p
}

// Configuration returns the newest version of the configuration, nil for none.
func (p FeedPage) Configuration() *hibiscusstate.Configuration { return p.configuration }

// Evacuation returns the evacuated domains, and whether the page has them.
func (p FeedPage) Evacuation() (hibiscusscheduling.Evacuation, bool) {
	return p.evacuation, p.evacuated
}

// Position returns the position up to which the table was read.
func (p FeedPage) Position() FeedPosition { return p.position }

// ConfigurationFeed follows the configuration changes and the evacuated domains in the table.
type ConfigurationFeed struct {
	entry     *Entry
	read      func(ctx context.Context) (FeedPage, error)
	next      func(ctx context.Context, after FeedPosition) (FeedPage, error)
	log       *slog.Logger
	tableDown bool
}

// NewConfigurationFeed returns a ConfigurationFeed. read returns the newest version and the evacuated domains; next waits for changes
// after the last position, and returns the domains if they have changed. It returns ErrHistoryLost when the table no longer has the
// changes after its position.
func NewConfigurationFeed(
	entry *Entry, read func(ctx context.Context) (FeedPage, error),
	next func(ctx context.Context, after FeedPosition) (FeedPage, error), log *slog.Logger,
) *ConfigurationFeed {
	return &ConfigurationFeed{entry: entry, read: read, next: next, log: log}
}

// Run follows the configuration until ctx is done. The entry becomes ready as with ConfigurationPoller.
func (f *ConfigurationFeed) Run(ctx context.Context) {
	timer := time.AfterFunc(peerVersionTimeout, f.entry.releaseReady)
	defer timer.Stop()
	var resends sync.WaitGroup
	defer resends.Wait()
	resends.Go(func() { f.resendLoop(ctx) })
	delay, timeout, retryAtOnce := feedRetryDelay, firstReadTimeout, true
	for ctx.Err() == nil {
		readCtx, cancel := context.WithTimeout(ctx, timeout)
		position, err := f.apply(f.read(readCtx))
		cancel()
		timeout = min(2*timeout, maxReadTimeout)
		for followed := false; err == nil; followed = true {
			if followed {
				// Only an answered feed ends the backoff: a table may answer all reads and refuse all feeds.
				delay, retryAtOnce = feedRetryDelay, true
			}
			timeout = firstReadTimeout
			f.entry.releaseReady()
			position, err = f.apply(f.next(ctx, position))
		}
		if ctx.Err() != nil {
			return
		}
		f.recordFailure(err)
		if retryAtOnce {
			// The first failure may be that of one connection.
			retryAtOnce = false
			continue
		}
		sleep(ctx, delay)
		delay = min(2*delay, maxFeedRetryDelay)
	}
}

// recordFailure logs why the table was not followed any further; a failure of several reads in a row is logged once.
func (f *ConfigurationFeed) recordFailure(err error) {
	if errors.Is(err, ErrHistoryLost) {
		f.log.Info("config: change history no longer available, reading the newest version")
		return
	}
	if !f.tableDown {
		f.log.Warn("config: table does not answer, the version in force is kept", "cause", err.Error())
	}
	f.tableDown = true
}

// resendLoop sends the version in force every second to the processes that lack it, until ctx is done.
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

// apply applies what was read and returns the position.
func (f *ConfigurationFeed) apply(page FeedPage, err error) (FeedPosition, error) {
	if err != nil {
		return page.position, err
	}
	if f.tableDown {
		f.tableDown = false
		f.log.Info("config: table answers again")
	}
	if page.evacuated {
		if err := f.entry.Evacuate(page.evacuation); err != nil {
			return page.position, err
		}
	}
	if page.configuration == nil {
		return page.position, nil
	}
	return page.position, f.entry.Configure(page.configuration)
}
