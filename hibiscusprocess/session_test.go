package hibiscusprocess

import (
	"testing"
	"testing/synctest"
	"time"
)

const threeKindsJob = `{"team":"nokkhao","service":"sighting","tasks":[` +
	`{"kind":"plausibility_check","payload":{"species":"Pitta gurneyi","run_ms":60}},` +
	`{"kind":"photo_match","payload":{"photo":"dawn-0142.jpg","run_ms":400}},` +
	`{"kind":"list_sync","payload":{"birder":"b-2207","run_ms":200}}]}`

// settleTime is long enough for agents to connect to the entries and for endpoints to announce themselves.
const settleTime = 3 * time.Second

// TestSessionJob guards against an answer that is incomplete, not in the order of the tasks or given more than once, and against
// a second start when the caller submits again, to the same entry or to another.
func TestSessionJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		d.startEntry("10.0.1.1")
		d.startEntry("10.0.1.2")
		d.startWorker("10.0.2.1", 2)
		d.startWorker("10.0.2.2", 2)
		time.Sleep(settleTime)
		key := d.key("10.0.1.1", "key-1")
		d.submit("caller", "10.0.1.1", key, threeKindsJob)
		d.submit("caller", "10.0.1.1", key, threeKindsJob)
		d.submit("caller", "10.0.1.2", key, threeKindsJob)
		d.submit("caller", "10.0.1.1", key, `{"team":"nokkhao","service":"sighting","tasks":[]}`)
		d.close()
		d.golden("session_job")
	})
}
