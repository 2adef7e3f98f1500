package hibiscuscommand

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusprocess"
	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscustransport"
	hibiscusplatform "hibiscusrouter/platform"
)

// The composition of processes with the platform adapter, and the watch of settings files.

// settingsPollInterval is the time between two reads of the settings file, which may change without a signal.
const settingsPollInterval = 5 * time.Second

// AdaptEntry adds the platform adapter to an entry: it serves the platform's callers and uses the platform's store.
func AdaptEntry(
	entry *hibiscusprocess.Entry, settings hibiscusprotocol.EntrySettings, network hibiscustransport.Network, log *slog.Logger,
) {
	coordination := entry.Coordination()
	store := hibiscusplatform.NewStore(hibiscusplatform.NewStoreClient(network), settings.PlatformAddress(), log)
	configurations := hibiscusplatform.NewConfigurationReader(store, log)
	members := hibiscusplatform.NewMemberStore(store, log)
	feed := hibiscuscoordination.NewConfigurationFeed(coordination, configurations.Read, configurations.Next, log)
	membership := hibiscuscoordination.NewMembership(
		hibiscuscoordination.NewMembershipSeams(members.List, members.Put, members.Remove), log)
	callers := hibiscusplatform.NewCallerAPI(hibiscusplatform.NewCallerAPISeams(
		coordination.SubmitNamed, coordination.CallerDisconnected, coordination.CancelNamed, coordination.RunningNamed,
		coordination.Configuration, entry.Draining), log)
	entry.UseAdapter(hibiscusprocess.NewEntryAdapter(callers, []func(context.Context){
		feed.Run,
		func(ctx context.Context) { membership.RunEntry(ctx, coordination) },
	}, store.Counters))
}

// AdaptAgent adds the platform adapter to an agent: it uses the protocol of the platform's worker on the same VM.
func AdaptAgent(
	agent *hibiscusprocess.Agent, settings hibiscusprotocol.AgentSettings, network hibiscustransport.Network, log *slog.Logger,
) {
	coordination := agent.Coordination()
	store := hibiscusplatform.NewStore(hibiscusplatform.NewStoreClient(network), settings.PlatformAddress(), log)
	members := hibiscusplatform.NewMemberStore(store, log)
	membership := hibiscuscoordination.NewMembership(
		hibiscuscoordination.NewMembershipSeams(members.List, members.Put, members.Remove), log)
	client := hibiscustransport.NewHTTPClientWithIdleTimeout(network, hibiscusplatform.WorkerConnections, hibiscusplatform.WorkerIdleTimeout)
	var worker *hibiscuscoordination.LeasedEndpoint
	workers := hibiscusplatform.NewWorkerAPI(client,
		func(a hibiscuscoordination.Announcement) error { return worker.Announce(a) },
		func(id string) error { return worker.WithdrawAnnouncement(id) }, log)
	worker = hibiscuscoordination.NewLeasedEndpoint(hibiscuscoordination.NewLeasedEndpointSeams(
		workers.Start, workers.Stop, workers.Poll, coordination.Announce, coordination.LeaveWithNotice).
		WithLocate(coordination.SetRack), log)
	worker.SetClock(hibiscustransport.NewClock())
	agent.UseAdapter(hibiscusprocess.NewAgentAdapter(workers.Mount, worker.Execute,
		[]func(context.Context){worker.Run},
		func(ctx context.Context) { membership.RunAgent(ctx, coordination) }))
}

// watchSettings logs changes of the settings file, which it reads at SIGHUP and every settingsPollInterval. It does not apply
// them: addresses that other processes use can't change while the process runs, so all settings are read at the start only.
func watchSettings(path string, log *slog.Logger) (stop func()) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	goroutines.Go(func() {
		defer signal.Stop(hangup)
		ticker := time.NewTicker(settingsPollInterval)
		defer ticker.Stop()
		last, err := os.ReadFile(path)
		if err != nil {
			log.Warn("settings: file can't be read", "file", path, "cause", err.Error())
		}
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangup:
				log.Info("settings: received SIGHUP", "file", path)
			case <-ticker.C:
			}
			text, err := os.ReadFile(path)
			switch {
			case err != nil:
				log.Warn("settings: file can't be read, the current settings stay", "file", path, "cause", err.Error())
			case !bytes.Equal(text, last):
				log.Info("settings: file changed, applies after a restart", "file", path)
				last = text
			}
		}
	})
	return func() {
		cancel()
		goroutines.Wait()
	}
}
