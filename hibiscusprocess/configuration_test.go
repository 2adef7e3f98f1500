package hibiscusprocess

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscusstandin"
	"hibiscusrouter/hibiscustransport"
)

// Sessions of configuration and membership: entries and agents with the platform's stand-in, processes that stop, crash and
// restart, and a table that is down. An observer reads the version of every process every 10 ms, to detect versions that decrease
// even briefly between two pushes.

const (
	platformAddress        = "10.0.0.1:7000"
	defaultObserveInterval = 10 * time.Millisecond
	// noteInterval is the resolution at which changes are noted, because the order of two pushes differs between runs.
	noteInterval = 100 * time.Millisecond
)

// platformDeployment is a deployment whose processes use the platform's table service.
type platformDeployment struct {
	*deployment
	platform        *hibiscusstandin.Platform
	versionsMu      sync.Mutex
	versions        map[string]func() uint64
	lastVersions    map[string]uint64
	notedVersions   map[string]uint64
	configurations  *hibiscusprotocol.ConfigurationStore
	members         *hibiscusprotocol.MemberStore
	observeInterval time.Duration
	normalized      bool
}

func runPlatformSession(t *testing.T, golden string, session func(f *platformDeployment)) {
	runPlatformSessionEvery(t, golden, defaultObserveInterval, session)
}

// runPlatformSessionEvery runs a session whose observer reads the versions at the given interval.
func runPlatformSessionEvery(t *testing.T, golden string, interval time.Duration, session func(f *platformDeployment)) {
	synctest.Test(t, func(t *testing.T) {
		f := &platformDeployment{
			deployment: newDeployment(t), platform: hibiscusstandin.NewPlatform(), versions: map[string]func() uint64{},
			lastVersions: map[string]uint64{}, notedVersions: map[string]uint64{}, observeInterval: interval,
		}
		host := f.network.Host()
		l, err := host.Listen(platformAddress)
		f.must(err)
		f.run("platform", host, func(ctx context.Context) error {
			return hibiscustransport.ServeHTTP(ctx, l, f.platform.Handler(), time.Second)
		})
		table := hibiscusprotocol.NewTableClient(f.newHTTPClient(), platformAddress)
		f.configurations, f.members = hibiscusprotocol.NewConfigurationStore(table), hibiscusprotocol.NewMemberStore(table, slog.New(slog.DiscardHandler))
		f.goroutines.Go(f.observe)
		session(f)
		f.close()
		if f.normalized {
			f.normalize()
		}
		f.golden(golden)
	})
}

// observe notes each change of a process's version, and fails the test when a version decreases.
func (f *platformDeployment) observe() {
	for f.ctx.Err() == nil {
		f.versionsMu.Lock()
		names := make([]string, 0, len(f.versions))
		for name := range f.versions {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			v := f.versions[name]()
			if v < f.lastVersions[name] {
				f.t.Errorf("the version of %s decreased from %d to %d", name, f.lastVersions[name], v)
			}
			f.lastVersions[name] = v
			if v != f.notedVersions[name] && time.Since(f.startTime)%noteInterval == 0 {
				if v > 0 {
					f.note("%s has version %d in force", name, v)
				}
				f.notedVersions[name] = v
			}
		}
		f.versionsMu.Unlock()
		time.Sleep(f.observeInterval)
	}
}

func (f *platformDeployment) watch(name string, version func() uint64) {
	f.versionsMu.Lock()
	defer f.versionsMu.Unlock()
	delete(f.lastVersions, name)
	delete(f.notedVersions, name)
	f.versions[name] = version
}

func (f *platformDeployment) unwatch(name string) {
	f.versionsMu.Lock()
	defer f.versionsMu.Unlock()
	delete(f.versions, name)
}

const platformSettings = "failure_domain: a\nshared_key: " + testSecret + "\nplatform_address: " + platformAddress + "\n"

// startEntryWithSeeds starts an entry and watches the version of its configuration.
func (f *platformDeployment) startEntryWithSeeds(name string, seeds ...string) {
	settings, err := hibiscusprotocol.ParseEntrySettings(name, fmt.Appendf(nil,
		"%scaller_address: %s:7100\nsession_address: %s:7200\ndrain_ms: 0\nseed_entries: [%s]\n"+testTokens,
		platformSettings, name, name, strings.Join(seeds, ", ")))
	f.must(err)
	host := f.network.Host()
	e := NewEntry(settings, f.incarnation(), hibiscustransport.NewNetwork(host.Listen, host.Dial), f.logger(name))
	f.run(name, host, e.Run).entry = e
	f.watch("entry "+name, func() uint64 { return e.Coordination().Hello().Version() })
	f.note("entry %s starts", name)
}

// startAgentWithSeeds starts an agent, with an endpoint unless it has one, and watches the version of its configuration.
func (f *platformDeployment) startAgentWithSeeds(name string, seeds ...string) {
	settings, err := hibiscusprotocol.ParseAgentSettings(name, fmt.Appendf(nil,
		"%sendpoint_address: %s:7300\nseed_entries: [%s]\n", platformSettings, name, strings.Join(seeds, ", ")))
	f.must(err)
	host := f.network.Host()
	a := NewAgent(settings, f.incarnation(), hibiscustransport.NewNetwork(host.Listen, host.Dial), f.logger(name))
	f.run(name, host, a.Run)
	f.watch("agent "+name, func() uint64 { return a.coordination.Hello().Version() })
	f.note("agent %s starts", name)
	if f.nodes[name+"/endpoint"] == nil {
		f.startEndpoint(name, 2)
	}
}

// stopProcess stops a process gracefully and waits for its end.
func (f *platformDeployment) stopProcess(role, name string) {
	f.note("%s %s is stopped", role, name)
	f.unwatch(role + " " + name)
	f.nodes[name].stop()
	<-f.nodes[name].done
	f.waitForStep()
}

// waitForStep waits until the next multiple of the resolution, because the time that a process takes to stop differs between
// runs.
func (f *platformDeployment) waitForStep() {
	time.Sleep(f.resolution - time.Since(f.startTime)%f.resolution)
}

// crash disconnects a process from the network and ends it.
func (f *platformDeployment) crash(role, name string) {
	f.note("%s %s crashes", role, name)
	f.unwatch(role + " " + name)
	f.nodes[name].host.Kill()
	f.nodes[name].stop()
	f.waitForStep()
}

// acceptVersion writes a version to the table without pushing it, like an entry that ends right after its transaction.
func (f *platformDeployment) acceptVersion(base uint64) {
	document, err := hibiscusprotocol.ParseConfiguration("test", []byte(testConfiguration))
	f.must(err)
	edit := hibiscuscoordination.NewEdit(base, testConfiguration, document, "operator Asha", "10.0.9.1")
	_, err = f.configurations.Accept(f.ctx, time.Now(), edit, "test")
	f.must(err)
	f.waitForStep()
	f.note("version %d is accepted", base+1)
}

func (f *platformDeployment) setOutage(down bool) {
	f.platform.SetOutage(down)
	f.note("the table is down: %t", down)
}

// noteReadiness records whether an entry reports readiness to the load balancer.
func (f *platformDeployment) noteReadiness(name string) {
	response, err := f.newHTTPClient().Get("http://" + name + ":7100/readyz")
	if err != nil {
		f.note("entry %s: no answer to /readyz", name)
		return
	}
	response.Body.Close()
	f.note("entry %s is ready: %t", name, response.StatusCode == http.StatusOK)
}

// noteMemberRows notes the member rows in the table.
func (f *platformDeployment) noteMemberRows() {
	rows, err := f.members.List(f.ctx)
	if err != nil {
		f.note("member rows: the table does not answer")
		return
	}
	var addresses []string
	for _, r := range rows {
		addresses = append(addresses, fmt.Sprintf("%s (heartbeat %d)", r.Member().Address(), r.Member().Heartbeat()))
	}
	sort.Strings(addresses)
	f.note("member rows: %s", strings.Join(addresses, " "))
}

// noteKnownProcesses notes the processes that an entry lists, and whether it has a session to each.
func (f *platformDeployment) noteKnownProcesses(name string) {
	processes, err := f.nodes[name].entry.Coordination().Processes()
	f.must(err)
	var list []string
	for _, p := range processes {
		text := p.Address()
		if !p.Connected() {
			text += " (no session)"
		}
		list = append(list, text)
	}
	sort.Strings(list)
	f.note("entry %s lists: %s", name, strings.Join(list, " "))
}

// TestVersionInForce guards against an accepted version that is not in force in all processes within 4 s, when the entry that
// accepted it ends right afterwards, and when the table is slow.
func TestVersionInForce(t *testing.T) {
	runPlatformSession(t, "configuration_in_force", func(f *platformDeployment) {
		f.startEntryWithSeeds("10.0.1.1")
		f.startEntryWithSeeds("10.0.1.2", "10.0.1.1:7200")
		f.startAgentWithSeeds("10.0.2.1", "10.0.1.1:7200")
		f.startAgentWithSeeds("10.0.2.2", "10.0.1.2:7200")
		time.Sleep(5 * time.Second)
		f.noteReadiness("10.0.1.1")
		f.acceptVersion(0)
		time.Sleep(4 * time.Second)
		f.noteReadiness("10.0.1.1")
		f.platform.SetDelay(400 * time.Millisecond)
		f.acceptVersion(1)
		time.Sleep(4 * time.Second)
	})
}

// TestVersionNeverDecreases guards against a process that applies a lower version, or has none, after entries and agents restart
// while the table is down from right after the acceptance, and against an entry that is ready before it has received its peers'
// versions.
func TestVersionNeverDecreases(t *testing.T) {
	runPlatformSession(t, "configuration_never_decreases", func(f *platformDeployment) {
		f.startEntryWithSeeds("10.0.1.1")
		f.startEntryWithSeeds("10.0.1.2", "10.0.1.1:7200")
		f.startAgentWithSeeds("10.0.2.1", "10.0.1.1:7200", "10.0.1.2:7200")
		time.Sleep(5 * time.Second)
		f.acceptVersion(0)
		time.Sleep(4 * time.Second)
		f.acceptVersion(1)
		time.Sleep(1200 * time.Millisecond)
		f.setOutage(true)
		for _, restart := range []func(role, name string){f.stopProcess, f.crash} {
			restart("entry", "10.0.1.1")
			time.Sleep(time.Second)
			f.startEntryWithSeeds("10.0.1.1", "10.0.1.2:7200")
			time.Sleep(500 * time.Millisecond)
			f.noteReadiness("10.0.1.1")
			time.Sleep(time.Second)
			f.noteReadiness("10.0.1.1")
			restart("agent", "10.0.2.1")
			f.startAgentWithSeeds("10.0.2.1", "10.0.1.1:7200", "10.0.1.2:7200")
			time.Sleep(3 * time.Second)
		}
		f.note("both entries restart; only the agent keeps the version")
		f.crash("entry", "10.0.1.1")
		f.crash("entry", "10.0.1.2")
		time.Sleep(5 * time.Second)
		f.startEntryWithSeeds("10.0.1.1")
		f.startEntryWithSeeds("10.0.1.2", "10.0.1.1:7200")
		time.Sleep(3 * time.Second)
		f.noteReadiness("10.0.1.1")
		f.noteReadiness("10.0.1.2")
		f.setOutage(false)
		time.Sleep(3 * time.Second)
		f.acceptVersion(2)
		time.Sleep(4 * time.Second)
		f.note("a slow read of the table brings version 1 to an entry")
		old, err := f.configurations.Read(f.ctx, 1)
		f.must(err)
		f.must(f.nodes["10.0.1.1"].entry.Coordination().Configure(old))
		time.Sleep(2 * time.Second)
	})
}

// TestMembership guards against an entry that other processes don't discover, a dead entry whose row is not removed, and live
// entries that are removed because the table was down.
func TestMembership(t *testing.T) {
	runPlatformSession(t, "membership", func(f *platformDeployment) {
		f.startEntryWithSeeds("10.0.1.1")
		f.acceptVersion(0)
		f.startAgentWithSeeds("10.0.2.1")
		time.Sleep(20 * time.Second)
		f.noteKnownProcesses("10.0.1.1")
		f.startEntryWithSeeds("10.0.1.2")
		time.Sleep(10 * time.Second)
		f.noteKnownProcesses("10.0.1.2")
		f.noteMemberRows()
		f.setOutage(true)
		// The outage ends between two heartbeats, so that entry 10.0.1.1 reads the rows before the other entry wrote its own.
		time.Sleep(time.Minute + 2*time.Second)
		f.noteKnownProcesses("10.0.1.1")
		f.setOutage(false)
		time.Sleep(6 * time.Second)
		f.noteMemberRows()
		f.noteKnownProcesses("10.0.1.1")
		f.crash("entry", "10.0.1.2")
		time.Sleep(10 * time.Second)
		f.noteMemberRows()
		f.noteKnownProcesses("10.0.1.1")
		time.Sleep(15 * time.Second)
		f.noteMemberRows()
		f.noteKnownProcesses("10.0.1.1")
		f.stopProcess("entry", "10.0.1.1")
		f.noteMemberRows()
	})
}

// noteAuditTrail notes the audit trail, newest first.
func (f *platformDeployment) noteAuditTrail() {
	entries, err := hibiscusprotocol.NewAuditStore(hibiscusprotocol.NewTableClient(f.newHTTPClient(), platformAddress), slog.New(slog.DiscardHandler)).Read(f.ctx, 100)
	f.must(err)
	for _, e := range entries {
		f.note("audit: at %d s, %s from %s: %s", e.At().Sub(f.startTime)/time.Second, e.Who(), e.From(), e.What())
	}
	f.note("the audit trail has %d entries", len(entries))
}

// TestAuditTrail guards against events that are missing from the audit trail, in particular those while the table is down or at
// the end of a process, and against more than one audit write a second.
func TestAuditTrail(t *testing.T) {
	runPlatformSession(t, "audit_trail", func(f *platformDeployment) {
		f.startEntryWithSeeds("10.0.1.1")
		f.startEntryWithSeeds("10.0.1.2", "10.0.1.1:7200")
		f.acceptVersion(0)
		f.startAgentWithSeeds("10.0.2.1", "10.0.1.1:7200", "10.0.1.2:7200")
		time.Sleep(5 * time.Second)
		f.setOutage(true)
		f.stopProcess("agent", "10.0.2.1")
		time.Sleep(5 * time.Second)
		f.setOutage(false)
		time.Sleep(5 * time.Second)
		f.stopProcess("entry", "10.0.1.2")
		f.noteAuditTrail()
	})
}

// TestTableBudget guards against more reads and writes of the table than docs/design.md allows, with two entries and two agents
// that are idle for a minute.
func TestTableBudget(t *testing.T) {
	runPlatformSession(t, "table_budget", func(f *platformDeployment) {
		f.startEntryWithSeeds("10.0.1.1")
		f.startEntryWithSeeds("10.0.1.2", "10.0.1.1:7200")
		f.acceptVersion(0)
		f.startAgentWithSeeds("10.0.2.1", "10.0.1.1:7200", "10.0.1.2:7200")
		f.startAgentWithSeeds("10.0.2.2", "10.0.1.1:7200", "10.0.1.2:7200")
		time.Sleep(70 * time.Second)
		reads, writes := f.platform.Reads(), f.platform.Writes()
		time.Sleep(time.Minute)
		f.note("a minute: %d reads, %d writes", f.platform.Reads()-reads, f.platform.Writes()-writes)
	})
}
