package hibiscusprocess

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// An hour without the table service. Submissions need no table, a starting process finds the others through its seeds and
// their member lists, and the version that was accepted just before the outage waits for its end.

// runJobsAndRestart gives an entry a job that is resubmitted to another entry while it runs and when it is finished, and a job that
// runs when the entry is killed; then the entry starts again.
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

// postConfiguration sends a text that adds a team, based on a version.
func (f *platformDeployment) postConfiguration(entry string, base uint64) {
	f.note("operator -> entry %s: edit version %d", entry, base)
	request, err := http.NewRequest(http.MethodPost, "http://"+entry+":7100/v1/admin/configurations", strings.NewReader(
		fmt.Sprintf(`{"base_version":%d,"text":%q}`, base, testText+"  - {name: surveys, share: 40, max_queued: 10}\n")))
	f.must(err)
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	f.do("operator", request)
	f.waitForStep()
}

// TestTableOutage guards against new jobs that need the table, second starts under a key while no process can ask the table,
// an edit that is lost or half taken, processes that can't join without the table, and a version that is not in force, or
// reverts, when the table is back.
func TestTableOutage(t *testing.T) {
	runPlatformSessionEvery(t, "table_outage", noteInterval, func(f *platformDeployment) {
		f.normalized = true
		// A submission to an entry that is gone waits for it for about a second, and where in a tenth of a second that ends
		// differs from run to run.
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
		f.note("the agents from before the outage stop, so that the fresh one serves alone")
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
