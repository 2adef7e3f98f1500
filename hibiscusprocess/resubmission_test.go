package hibiscusprocess

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// A caller without an answer submits its job again under the same key. Each of these sessions fails when an entry starts tasks
// under a key that another incarnation issued.

// listSyncJob returns a job of n list syncs of runMS each; a list sync must not run twice.
func listSyncJob(n, runMS int) string {
	task := fmt.Sprintf(`{"kind":"list_sync","payload":{"run_ms":%d}}`, runMS)
	return `{"team":"nokkhao","service":"sighting","tasks":[` + strings.TrimSuffix(strings.Repeat(task+",", n), ",") + `]}`
}

// TestResubmitRunning guards against a second start when a job is submitted again while it runs, to the same entry and to another
// one, and when two entries receive a job under a new key at the same time.
func TestResubmitRunning(t *testing.T) {
	runSession(t, "resubmit_running", func(d *deployment) {
		key := d.key("10.0.1.1", "key-1")
		first := d.background(func() { d.submit("caller 1", "10.0.1.1", key, listSyncJob(2, 300)) })
		time.Sleep(50 * time.Millisecond)
		same := d.background(func() { d.submit("caller 2", "10.0.1.1", key, listSyncJob(2, 300)) })
		d.submit("caller 3", "10.0.1.2", key, listSyncJob(2, 300))
		first()
		same()
		key = d.key("10.0.1.1", "key-2")
		first = d.background(func() { d.submit("caller 1", "10.0.1.1", key, listSyncJob(2, 300)) })
		d.submit("caller 2", "10.0.1.2", key, listSyncJob(2, 300))
		first()
	})
}

// TestResubmitEntryDied guards against a second start, and against a lost answer, after the entry with the record of the
// job was killed: once when all tasks had reached agents, and once when some were still queued.
func TestResubmitEntryDied(t *testing.T) {
	runSession(t, "resubmit_entry_died", func(d *deployment) {
		placed, queued := d.key("10.0.1.1", "key-1"), d.key("10.0.1.1", "key-2")
		d.background(func() { d.submit("caller 1", "10.0.1.1", placed, listSyncJob(2, 3000)) })
		time.Sleep(50 * time.Millisecond)
		d.background(func() { d.submit("caller 2", "10.0.1.1", queued, listSyncJob(9, 500)) })
		time.Sleep(50 * time.Millisecond)
		d.kill("10.0.1.1")
		first := d.background(func() { d.submit("caller 1", "10.0.1.2", placed, listSyncJob(2, 3000)) })
		other := d.background(func() { d.submit("caller 3", "10.0.1.2", placed, listSyncJob(2, 1)) })
		fetched := d.background(func() { d.fetch("caller 4", "10.0.1.2", placed) })
		d.submit("caller 2", "10.0.1.2", queued, listSyncJob(9, 500))
		first()
		other()
		fetched()
		d.submit("caller 2", "10.0.1.2", queued, listSyncJob(9, 500))
		d.submit("caller 1", "10.0.1.2", d.key("10.0.1.2", "key-3"), listSyncJob(1, 100))
	})
}

// TestResubmitSealed guards against late starts for an entry that was only unreachable: after another entry has answered for its
// job, the agents must accept no more tasks of that job. Without the seal its queued tasks start after the answer.
func TestResubmitSealed(t *testing.T) {
	runSession(t, "resubmit_sealed", func(d *deployment) {
		d.noteSessions.Store(true)
		key := d.key("10.0.1.1", "key-1")
		first := d.background(func() { d.submit("caller 1", "10.0.1.1", key, listSyncJob(20, 1500)) })
		time.Sleep(50 * time.Millisecond)
		// Only the other entry loses its session to 10.0.1.1; the agents still accept orders from 10.0.1.1.
		d.network.Block("10.0.1.1:7200", true)
		d.network.Block("10.0.1.2:7200", true)
		d.cutEntries("10.0.1.1", "10.0.1.2")
		d.submit("caller 2", "10.0.1.2", key, listSyncJob(20, 1500))
		first()
	})
}

// TestResubmitAgentDied guards against a second start of tasks whose agent was killed, while their entry is running and after it
// was killed too.
func TestResubmitAgentDied(t *testing.T) {
	runSession(t, "resubmit_agent_died", func(d *deployment) {
		key := d.key("10.0.1.1", "key-1")
		first := d.background(func() { d.submit("caller 1", "10.0.1.1", key, listSyncJob(4, 1000)) })
		time.Sleep(50 * time.Millisecond)
		d.kill("10.0.2.1")
		d.submit("caller 2", "10.0.1.2", key, listSyncJob(4, 1000))
		first()
		key = d.key("10.0.1.1", "key-2")
		d.background(func() { d.submit("caller 1", "10.0.1.1", key, listSyncJob(2, 1000)) })
		time.Sleep(50 * time.Millisecond)
		d.kill("10.0.2.2", "10.0.1.1")
		d.submit("caller 2", "10.0.1.2", key, listSyncJob(2, 1000))
	})
}

// TestResubmitAnswerLost guards against a second start when the connection to the caller is lost before the answer arrives.
func TestResubmitAnswerLost(t *testing.T) {
	runSession(t, "resubmit_answer_lost", func(d *deployment) {
		key := d.key("10.0.1.1", "key-1")
		first := d.background(func() { d.submit("caller 1", "10.0.1.1", key, listSyncJob(2, 300)) })
		time.Sleep(302*time.Millisecond + 400*time.Microsecond)
		d.network.Cut("10.0.1.1:7100")
		first()
		d.submit("caller 1", "10.0.1.2", key, listSyncJob(2, 300))
	})
}

// TestResubmitLate guards against a new start long after a job finished: when its record was evicted, and when the entry no
// longer stores that the key was used.
func TestResubmitLate(t *testing.T) {
	runSession(t, "resubmit_late", func(d *deployment) {
		key := d.key("10.0.1.1", "key-1")
		d.submit("caller 1", "10.0.1.1", key, listSyncJob(2, 300))
		time.Sleep(11 * time.Minute)
		d.submit("caller 1", "10.0.1.1", key, listSyncJob(2, 300))
		_, err := d.nodes["10.0.1.1"].entry.Coordination().IssueKeys(1 << 22)
		d.must(err)
		d.submit("caller 1", "10.0.1.2", key, listSyncJob(2, 300))
	})
}
