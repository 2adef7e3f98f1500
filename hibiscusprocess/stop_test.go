package hibiscusprocess

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// Graceful stops under steady load. Callers behave as behind a load balancer: each sends one job after the other to an entry that
// is ready. Without the flush of sessions, the acknowledgement of a leave, or the drain, jobs fail here.

const loadCallers = 6

// steadyLoad runs callers that submit jobs until stop is called; stop waits for their last answers.
func (d *deployment) steadyLoad() (stop func()) {
	var stopped atomic.Bool
	b := &loadBalancer{d: d}
	b.refresh()
	looking := d.background(func() {
		for !stopped.Load() {
			time.Sleep(loadBalancerInterval)
			b.refresh()
		}
	})
	waits := make([]func(), loadCallers)
	for i := range waits {
		waits[i] = d.background(func() {
			for n := i; !stopped.Load(); n++ {
				entry := b.entry(n)
				d.submit(fmt.Sprintf("caller %d", i), entry, d.key(entry, "key"), listSyncJob(1+n%3, 20+10*(n%7)))
			}
		})
	}
	return func() {
		stopped.Store(true)
		for _, wait := range waits {
			wait()
		}
		looking()
	}
}

// loadBalancer caches which entries were ready at its last check, like the platform's load balancer.
type loadBalancer struct {
	d     *deployment
	mu    sync.Mutex
	ready []string
}

// loadBalancerInterval is the interval of the load balancer's checks; it is less than the time in which a stopping entry still
// accepts jobs.
const loadBalancerInterval = time.Second

func (b *loadBalancer) refresh() {
	b.d.mu.Lock()
	names := slices.Clone(b.d.entries)
	b.d.mu.Unlock()
	ready := slices.DeleteFunc(names, func(name string) bool {
		b.d.mu.Lock()
		e := b.d.nodes[name].entry
		b.d.mu.Unlock()
		return !e.ready()
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// entry returns the n-th ready entry.
func (b *loadBalancer) entry(n int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready[n%len(b.ready)]
}

// runUnderLoad runs steps under load and requires that every job is complete.
func runUnderLoad(t *testing.T, steps func(d *deployment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		d.startProcesses(2, 3)
		stop := d.steadyLoad()
		time.Sleep(500 * time.Millisecond)
		steps(d)
		time.Sleep(500 * time.Millisecond)
		stop()
		d.close()
		counts := d.observer.counts()
		complete := counts["job complete"]
		delete(counts, "job complete")
		delete(counts, "task finished")
		convey.Convey("every job is complete", t, func() {
			convey.So(complete, convey.ShouldBeGreaterThan, 50)
			convey.So(counts, convey.ShouldResemble, map[string]int{})
			convey.So(d.unanswered.Load(), convey.ShouldEqual, 0)
		})
	})
}

// TestStopCrossing guards against tasks whose orders are in flight when their agent leaves, and against results that are lost
// because the agent closes its sessions too early: the agent is stopped at each point of a job's execution.
func TestStopCrossing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		d.startProcesses(1, 2)
		for after := time.Duration(0); after <= 22*time.Millisecond; after += 100 * time.Microsecond {
			if after == 4*time.Millisecond {
				after = 20 * time.Millisecond
			}
			key := d.key("10.0.1.1", "key")
			wait := d.background(func() { d.submit("caller", "10.0.1.1", key, listSyncJob(4, 18)) })
			time.Sleep(after)
			d.terminate("10.0.2.1")
			wait()
			d.kill("10.0.2.1/endpoint")
			d.startWorker("10.0.2.1", 2)
			time.Sleep(settleTime)
		}
		d.close()
		convey.Convey("every job is complete", t, func() {
			convey.So(d.observer.counts(), convey.ShouldResemble, map[string]int{"job complete": 61, "task finished": 244})
		})
	})
}

// TestStopEndpoint guards against tasks that are interrupted or started twice when endpoints withdraw their announcements with
// DELETE and stop, one after the other.
func TestStopEndpoint(t *testing.T) {
	runUnderLoad(t, func(d *deployment) {
		for _, name := range []string{"10.0.2.1", "10.0.2.2"} {
			d.terminate(name + "/endpoint")
			time.Sleep(300 * time.Millisecond)
			d.startEndpoint(name, 2)
			time.Sleep(1200 * time.Millisecond)
		}
	})
}

// TestStopAgent guards against results that are lost when a stopping agent closes its sessions, orders that are in flight when it
// leaves, and an announcement of its endpoint that makes it available again; each agent is replaced at its address.
func TestStopAgent(t *testing.T) {
	runUnderLoad(t, func(d *deployment) {
		for _, name := range []string{"10.0.2.1", "10.0.2.2", "10.0.2.3"} {
			d.terminate(name)
			d.terminate(name + "/endpoint")
			d.startWorker(name, 2)
			time.Sleep(1500 * time.Millisecond)
		}
	})
}

// TestStopEntry guards against jobs that are interrupted or refused when an entry is stopped before its load balancer detects it,
// and against agents that do not discover its replacement; all entries are replaced, at the same and at other addresses.
func TestStopEntry(t *testing.T) {
	runUnderLoad(t, func(d *deployment) {
		d.terminate("10.0.1.1")
		d.startEntry("10.0.1.1")
		time.Sleep(settleTime)
		d.terminate("10.0.1.2")
		d.startEntry("10.0.1.3")
		time.Sleep(settleTime)
	})
}

// TestStoppedMembersRemoved guards against agents and entries that keep ended members in memory forever: twenty entries and
// agents start and are killed at new addresses.
func TestStoppedMembersRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		d.startProcesses(1, 1)
		for i := range 20 {
			d.startEntry(fmt.Sprintf("10.0.3.%d", i+1))
			d.seeds = d.seeds[:1]
			d.startWorker(fmt.Sprintf("10.0.4.%d", i+1), 2)
			time.Sleep(settleTime)
			entry := fmt.Sprintf("10.0.3.%d", i+1)
			d.submit("caller", entry, d.key(entry, "key"), listSyncJob(4, 20))
			d.kill(entry, fmt.Sprintf("10.0.4.%d", i+1), fmt.Sprintf("10.0.4.%d/endpoint", i+1))
		}
		time.Sleep(12 * time.Minute)
		entries, err := d.nodes["10.0.1.1"].entry.Coordination().Members()
		d.must(err)
		agent := d.nodes["10.0.2.1"].agent.coordination
		members, err := agent.Members()
		d.must(err)
		known, err := agent.KnownEntries()
		d.must(err)
		d.close()
		convey.Convey("only the running entry is left in memory", t, func() {
			convey.So(len(entries), convey.ShouldEqual, 1)
			convey.So(len(members), convey.ShouldBeLessThanOrEqualTo, 2)
			convey.So(known, convey.ShouldEqual, 1)
			convey.So(d.observer.counts()["job complete"], convey.ShouldEqual, 20)
		})
	})
}

// TestStopEntryAsync guards against an entry that stops before the tasks of a job have run that no caller waits for. The agents
// keep their results, and another entry answers from these.
func TestStopEntryAsync(t *testing.T) {
	runSession(t, "stop_entry_async", func(d *deployment) {
		key := d.key("10.0.1.1", "key-1")
		d.submit("caller", "10.0.1.1", key, `{"wait_ms":0,"deadline_ms":20000,`+listSyncJob(12, 1500)[1:])
		d.terminate("10.0.1.1")
		time.Sleep(3 * time.Second)
		d.fetch("caller", "10.0.1.2", key)
	})
}
