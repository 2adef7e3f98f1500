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

// The composition of processes with the adapter for the users' platform, and what a process does about changed settings.

// settingsPollInterval is how often the settings file is looked at: it may change without a signal.
const settingsPollInterval = 5 * time.Second

// AdaptEntry makes an entry serve the platform's callers and use its store.
func AdaptEntry(
	entry *hibiscusprocess.Entry, settings hibiscusprotocol.EntrySettings, network hibiscustransport.Network, log *slog.Logger,
) {
	duty := entry.Duty()
	store := hibiscusplatform.NewStore(hibiscusplatform.NewStoreClient(network), settings.PlatformAddress())
	configurations := hibiscusplatform.NewConfigurationReader(store, log)
	members := hibiscusplatform.NewMemberStore(store, log)
	feed := hibiscuscoordination.NewConfigurationFeed(duty, configurations.Read, configurations.Next, log)
	membership := hibiscuscoordination.NewMembership(
		hibiscuscoordination.NewMembershipSeams(members.List, members.Put, members.Remove), log)
	callers := hibiscusplatform.NewCallerAPI(hibiscusplatform.NewCallerAPISeams(
		duty.SubmitNamed, duty.CallerDisconnected, duty.RunningNamed, duty.Configuration, entry.Draining), log)
	entry.UseAdapter(hibiscusprocess.NewEntryAdapter(callers, []func(context.Context){
		feed.Run,
		func(ctx context.Context) { membership.RunEntry(ctx, duty) },
	}, store.Counters))
}

// AdaptAgent makes an agent speak to the platform's worker beside it.
func AdaptAgent(
	agent *hibiscusprocess.Agent, settings hibiscusprotocol.AgentSettings, network hibiscustransport.Network, log *slog.Logger,
) {
	duty := agent.Duty()
	store := hibiscusplatform.NewStore(hibiscusplatform.NewStoreClient(network), settings.PlatformAddress())
	members := hibiscusplatform.NewMemberStore(store, log)
	membership := hibiscuscoordination.NewMembership(
		hibiscuscoordination.NewMembershipSeams(members.List, members.Put, members.Remove), log)
	client := hibiscustransport.NewHTTPClientWithIdleTimeout(network, hibiscusplatform.WorkerConnections, hibiscusplatform.WorkerIdleTimeout)
	var worker *hibiscuscoordination.LeasedEndpoint
	workers := hibiscusplatform.NewWorkerAPI(client,
		func(a hibiscuscoordination.Announcement) error { return worker.Announce(a) },
		func(id string) error { return worker.Gone(id) }, log)
	worker = hibiscuscoordination.NewLeasedEndpoint(hibiscuscoordination.NewLeasedEndpointSeams(
		workers.Start, workers.Stop, workers.Poll, duty.Announce, duty.Leave), log)
	agent.UseAdapter(hibiscusprocess.NewAgentAdapter(workers.Mount, worker.Execute,
		[]func(context.Context){worker.Run},
		func(ctx context.Context) { membership.RunAgent(ctx, duty) }))
}

// watchSettings notes changes of the settings file, at SIGHUP and by looking at it. All settings are read at the start; the
// addresses that others use can't change while the process runs, so a change takes effect with the next start.
func watchSettings(path string, log *slog.Logger) (stop func()) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(context.Background())
	var duties sync.WaitGroup
	duties.Go(func() {
		defer signal.Stop(hangup)
		ticker := time.NewTicker(settingsPollInterval)
		defer ticker.Stop()
		last, err := os.ReadFile(path)
		if err != nil {
			log.Warn("settings: not readable", "file", path, "cause", err.Error())
		}
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangup:
				log.Info("settings: asked to reload", "file", path)
			case <-ticker.C:
			}
			text, err := os.ReadFile(path)
			switch {
			case err != nil:
				log.Warn("settings: not readable, the present ones stay", "file", path, "cause", err.Error())
			case !bytes.Equal(text, last):
				log.Info("settings: file changed, takes effect with the next start", "file", path)
				last = text
			}
		}
	})
	return func() {
		cancel()
		duties.Wait()
	}
}
