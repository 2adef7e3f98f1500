package hibiscusprocess

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscusstate"
	"hibiscusrouter/hibiscustransport"
)

// The use of the platform's table service: an entry polls the configuration, updates its member row and writes audit entries; an
// agent reads the member rows. A process without platform_address in its settings does none of these.

const (
	// tableConnections bounds the connections of a process to the table service.
	tableConnections = 4
	// auditFlushTimeout bounds the time in which a stopping entry writes its last audit entries.
	auditFlushTimeout = 2 * time.Second
)

// entryPlatform has the goroutines of an entry that use the table service.
type entryPlatform struct {
	entry          *hibiscuscoordination.Entry
	tableCounters  func() hibiscuscoordination.TableCounters
	configurations *hibiscusprotocol.ConfigurationStore
	evacuations    *hibiscusprotocol.EvacuationStore
	auditStore     *hibiscusprotocol.AuditStore
	poller         *hibiscuscoordination.ConfigurationPoller
	membership     *hibiscuscoordination.Membership
	auditWriter    *hibiscuscoordination.AuditWriter
	address        string
	closeIdle      func()
	cancel         context.CancelFunc
	goroutines     sync.WaitGroup
	auditDone      chan struct{}
}

func newEntryPlatform(
	settings hibiscusprotocol.EntrySettings, entry *hibiscuscoordination.Entry, network hibiscustransport.Network, log *slog.Logger,
) *entryPlatform {
	client := hibiscustransport.NewHTTPClient(network, tableConnections)
	table := hibiscusprotocol.NewTableClient(client, settings.PlatformAddress())
	configurations := hibiscusprotocol.NewConfigurationStore(table)
	auditStore := hibiscusprotocol.NewAuditStore(table, log)
	return &entryPlatform{
		entry: entry, tableCounters: table.Counters, configurations: configurations,
		evacuations: hibiscusprotocol.NewEvacuationStore(table), auditStore: auditStore, address: settings.SessionAddress(),
		poller:      hibiscuscoordination.NewConfigurationPoller(entry, configurations.Poll, configurations.Read, log),
		membership:  newMembership(table, log),
		auditWriter: hibiscuscoordination.NewAuditWriter(auditStore.Write, auditStore.Archive, log),
		closeIdle:   client.CloseIdleConnections,
		auditDone:   make(chan struct{}),
	}
}

func newMembership(table *hibiscusprotocol.TableClient, log *slog.Logger) *hibiscuscoordination.Membership {
	store := hibiscusprotocol.NewMemberStore(table, log)
	return hibiscuscoordination.NewMembership(
		hibiscuscoordination.NewMembershipSeams(store.List, store.Put, store.Remove), log)
}

// start starts the goroutines; the entry is not ready before the configuration has been requested from the table.
func (p *entryPlatform) start(bus *hibiscustransport.Bus) error {
	if err := p.entry.HoldReady(); err != nil {
		return err
	}
	events, err := bus.Subscribe(p.recordEvent)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.goroutines.Go(func() {
		defer p.auditWriter.Stop()
		events()
	})
	p.goroutines.Go(func() {
		defer close(p.auditDone)
		p.auditWriter.Run(ctx)
	})
	p.goroutines.Go(func() { p.auditWriter.RunArchive(ctx) })
	p.goroutines.Go(func() { p.poller.Run(ctx) })
	p.goroutines.Go(func() { p.membership.RunEntry(ctx, p.entry) })
	return nil
}

// recordEvent writes an event to the audit trail; the audit writer counts those that it has to drop.
func (p *entryPlatform) recordEvent(event hibiscuscoordination.Event) {
	what := fmt.Sprintf("%s %s: %s", event.Kind(), event.Subject(), event.Cause())
	p.auditWriter.Add(hibiscuscoordination.NewAuditEntry(time.Now(), "entry", p.address, what, 0, 0))
}

// stop waits for the last audit entries and ends the goroutines. The event bus must be stopped before.
func (p *entryPlatform) stop() {
	grace := time.NewTimer(auditFlushTimeout)
	defer grace.Stop()
	select {
	case <-p.auditDone:
	case <-grace.C:
	}
	p.cancel()
	p.goroutines.Wait()
	p.closeIdle()
}

func (e *Entry) startPlatform() error {
	if e.platform == nil {
		return e.startAdapter()
	}
	return e.platform.start(e.bus)
}

// stopPlatform publishes the stop of the process before it stops the event bus, so that the stop is audited. The bus delivers its
// last events before the audit writer ends.
func (e *Entry) stopPlatform() {
	e.bus.Publish(hibiscuscoordination.NewEvent(
		hibiscusstate.EventProcessStopped, e.settings.SessionAddress(), "the process stopped as planned"))
	e.bus.Stop()
	if e.platform != nil {
		e.platform.stop()
	}
	e.stopAdapter()
}

func (e *Entry) configurationAPI(auth *hibiscusprotocol.AdminAuth) *hibiscusprotocol.ConfigurationAPI {
	if e.platform == nil {
		return hibiscusprotocol.NewConfigurationAPI(auth, nil, nil, e.coordination.Configure, e.coordination.Processes)
	}
	return hibiscusprotocol.NewConfigurationAPI(
		auth, e.platform.configurations, e.platform.auditStore, e.coordination.Configure, e.coordination.Processes)
}

func (e *Entry) evacuationAPI(auth *hibiscusprotocol.AdminAuth) *hibiscusprotocol.EvacuationAPI {
	if e.platform == nil {
		return hibiscusprotocol.NewEvacuationAPI(auth, nil, e.coordination)
	}
	return hibiscusprotocol.NewEvacuationAPI(auth, e.platform.evacuations, e.coordination)
}

// runMembership reads the member rows for the agent until ctx is done.
func (a *Agent) runMembership(ctx context.Context) {
	client := hibiscustransport.NewHTTPClient(a.network, 1)
	defer client.CloseIdleConnections()
	newMembership(hibiscusprotocol.NewTableClient(client, a.settings.PlatformAddress()), a.log).RunAgent(ctx, a.coordination)
}
