package hibiscusprocess

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// An outage of the table service for an hour. Submissions don't need the table, a starting process discovers the others through
// its seeds and their member lists, and a version that was accepted just before the outage takes effect after it.

// runJobsAndRestart submits a job to an entry, and resubmits it to another entry while it runs and after it has finished; then it
// kills the entry while a second job runs, resubmits that job, and restarts the entry.
func (f *platformDeployment) runJobsAndRestart(phase, entry, other string) {
	key := f.key(entry, phase+"-1")
	first := f.background(func() { f.submit("caller 1", entry, key, listSyncJob(4, 500)) })
	time.Sleep(50 * time.Millisecond)
	f.submit("caller 2", other, key, listSyncJob(4, 500))
	first()
	f.submit("caller 2", other, key, listSyncJob(4, 500))
	f.waitForStep()
	key = f.key(entry, phase+"-2")
	first = f.background(func() { f.submit("caller 1", entry, key, listSyncJob(4, 1000)) })
	time.Sleep(50 * time.Millisecond)
	f.crash("entry", entry)
	first()
	f.submit("caller 1", other, key, listSyncJob(4, 1000))
	f.submit("caller 2", other, key, listSyncJob(4, 1000))
	f.waitForStep()
	f.startEntryWithSeeds(entry, other+":7200")
	time.Sleep(settleTime)
}

// postConfiguration posts a configuration that adds a team, based on a version.
func (f *platformDeployment) postConfiguration(entry string, base uint64) {
	f.note("operator -> entry %s: edit version %d", entry, base)
	request, err := http.NewRequest(http.MethodPost, "http://"+entry+":7100/v1/admin/configurations", strings.NewReader(
		fmt.Sprintf(`{"base_version":%d,"text":%q}`, base, testConfiguration+"  - {name: surveys, share: 40, max_queued: 10}\n")))
	f.must(err)
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	f.do("operator", request)
	f.waitForStep()
}

// TestTableOutage guards against new jobs that need the table, second starts under a key while no process can read the table, an
// edit that is lost or partly applied, processes that can't join without the table, and a version that is not in force, or
// reverts, when the table is available again.
func TestTableOutage(t *testing.T) {
	runPlatformSessionEvery(t, "table_outage", noteInterval, func(f *platformDeployment) {
		f.normalized = true
		// A resubmission waits for about a second for the entry of its job if that was killed, and the end of the wait differs by
		// tenths of a second between runs.
		f.resolution = time.Second
		f.startEntryWithSeeds("10.0.1.1")
		f.startEntryWithSeeds("10.0.1.2", "10.0.1.1:7200")
		f.startAgentWithSeeds("10.0.2.1", "10.0.1.1:7200")
		f.startAgentWithSeeds("10.0.2.2", "10.0.1.2:7200")
		f.acceptVersion(0)
		time.Sleep(10 * time.Second)
		f.runJobsAndRestart("before", "10.0.1.1", "10.0.1.2")
		time.Sleep(10 * time.Second)
		f.acceptVersion(1)
		f.setOutage(true)
		f.runJobsAndRestart("at its start", "10.0.1.1", "10.0.1.2")
		f.postConfiguration("10.0.1.1", 1)
		f.postConfiguration("10.0.1.2", 0)
		time.Sleep(30 * time.Minute)
		f.startEntryWithSeeds("10.0.1.3", "10.0.1.2:7200")
		time.Sleep(settleTime)
		f.startAgentWithSeeds("10.0.2.3", "10.0.1.3:7200")
		time.Sleep(settleTime)
		f.noteReadiness("10.0.1.3")
		f.noteKnownProcesses("10.0.1.1")
		f.noteKnownProcesses("10.0.1.3")
		f.waitForStep()
		f.note("the agents from before the outage stop, only the new one is left")
		f.stopProcess("agent", "10.0.2.1")
		f.stopProcess("agent", "10.0.2.2")
		f.runJobsAndRestart("fresh", "10.0.1.3", "10.0.1.1")
		time.Sleep(time.Until(f.startTime.Add(time.Hour + 30*time.Second)))
		f.runJobsAndRestart("at its end", "10.0.1.2", "10.0.1.3")
		f.setOutage(false)
		time.Sleep(4 * time.Second)
		f.postConfiguration("10.0.1.3", 2)
		time.Sleep(4 * time.Second)
		f.runJobsAndRestart("after", "10.0.1.1", "10.0.1.2")
	})
}
