package hibiscusprocess

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestSessionEndpointGone guards against placing waiting tasks on a worker whose endpoint is down: none of its slots is in use,
// so it looked less loaded than a full worker, and the tasks were returned eight times within milliseconds and failed.
func TestSessionEndpointGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		d.startEntry("10.0.1.1")
		d.startWorker("10.0.2.1", 1) // one slot and short tasks, because tasks that end together make the order differ
		d.startWorker("10.0.2.2", 1)
		time.Sleep(settleTime)
		d.note("the announcements of endpoint 10.0.2.2 stop")
		d.network.Block("10.0.2.2:7300", true)
		d.network.Cut("10.0.2.2:7300")
		time.Sleep(2 * endpointTimeout)
		d.adminRequest("GET", "10.0.1.1:7100/v1/admin/status", viewerToken)
		task := `,{"kind":"plausibility_check","payload":{"run_ms":15}}`
		d.submit("caller", "10.0.1.1", d.key("10.0.1.1", "key-1"),
			`{"team":"nokkhao","service":"sighting","deadline_ms":20000,"tasks":[`+strings.Repeat(task, 6)[1:]+`]}`)
		d.network.Block("10.0.2.2:7300", false)
		time.Sleep(time.Second)
		d.close()
		d.golden("session_endpoint_gone")
	})
}

// endpointTimeout is longer than the timeout after which an agent treats its endpoint as down without an announcement.
const endpointTimeout = 4 * time.Second
