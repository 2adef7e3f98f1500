package hibiscusprocess

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	viewerToken   = "viewer token for tests"
	operatorToken = "operator token for tests"
	testViewer    = "viewer_token: " + viewerToken + "\n"
	testTokens    = testViewer + "operator_token: " + operatorToken + "\n"
	loadJob       = `{"team":"nokkhao","service":"sighting","tasks":[{"kind":"list_sync","payload":{"run_ms":400}}]}`
)

// adminRequest sends an operator's request and notes the answer.
func (d *deployment) adminRequest(method, url, token string) {
	time.Sleep(time.Millisecond) // gives the request a later time in the transcript than the previous answer
	d.note("operator -> %s %s", method, url)
	request, err := http.NewRequest(method, "http://"+url, nil)
	d.must(err)
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	d.do("operator", request)
}

// submitLoad submits a short job every 250 ms, to the entries in turn, each from its own goroutine, and notes how each ended.
func (d *deployment) submitLoad(jobs int, entries ...string) *sync.WaitGroup {
	var callers sync.WaitGroup
	for i := range jobs {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * 250 * time.Millisecond)
			entry := entries[i%len(entries)]
			name := fmt.Sprintf("job-%02d", i)
			key := d.key(entry, name)
			request, err := http.NewRequest(http.MethodPost, "http://"+entry+":7100/v1/jobs", bytes.NewReader([]byte(loadJob)))
			d.must(err)
			request.Header.Set("Idempotency-Key", key)
			response, err := d.newHTTPClient().Do(request)
			d.must(err)
			defer response.Body.Close()
			raw, err := io.ReadAll(response.Body)
			d.must(err)
			d.note("%s <- %d complete=%v", name, response.StatusCode, strings.Contains(string(raw), `"state":"complete"`))
		})
	}
	return &callers
}

var startPattern = regexp.MustCompile(`^ *([0-9.]+) ms  endpoint ([0-9.]+): started`)

// startTimes returns the times, in milliseconds since the start of the test, at which an endpoint started tasks.
func (d *deployment) startTimes(endpoint string) []float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	var times []float64
	for _, line := range d.transcript {
		if m := startPattern.FindStringSubmatch(line); m != nil && m[2] == endpoint {
			ms, err := strconv.ParseFloat(m[1], 64)
			d.must(err)
			times = append(times, ms)
		}
	}
	return times
}

func countBetween(times []float64, from, to float64) int {
	n := 0
	for _, t := range times {
		if t >= from && t < to {
			n++
		}
	}
	return n
}

// TestSessionOperatorDrain guards against a drained endpoint that gets new tasks after 2 s, from the entry that received the
// drain or from another one; against a request that is interrupted by a drain; against an endpoint that gets no tasks after its
// drain was cancelled; and against a change without the operator's token.
func TestSessionOperatorDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		d.startEntry("10.0.1.1")
		d.startEntry("10.0.1.2")
		d.startWorker("10.0.2.1", 2)
		d.startWorker("10.0.2.2", 2)
		time.Sleep(settleTime)
		d.adminRequest("GET", "10.0.1.1:7100/v1/admin/status", "")
		d.adminRequest("POST", "10.0.1.1:7100/v1/admin/endpoints/10.0.2.1:7300/drain", viewerToken)
		d.adminRequest("POST", "10.0.1.1:7100/v1/admin/endpoints/10.0.9.9:7300/drain", operatorToken)
		d.adminRequest("GET", "10.0.1.1:7100/v1/admin/status", viewerToken)
		d.adminRequest("GET", "10.0.1.1:7100/v1/admin/members?limit=1", viewerToken)
		d.adminRequest("GET", "10.0.1.2:7100/v1/admin/members", viewerToken)
		callers := d.submitLoad(30, "10.0.1.1", "10.0.1.2")
		time.Sleep(2 * time.Second)
		drained := float64(time.Since(d.startTime).Milliseconds())
		d.adminRequest("POST", "10.0.1.1:7100/v1/admin/endpoints/10.0.2.1:7300/drain", operatorToken)
		time.Sleep(2 * time.Second)
		d.adminRequest("GET", "10.0.1.2:7100/v1/admin/endpoints", viewerToken)
		time.Sleep(2 * time.Second)
		returned := float64(time.Since(d.startTime).Milliseconds())
		d.adminRequest("DELETE", "10.0.1.2:7100/v1/admin/endpoints/10.0.2.1:7300/drain", operatorToken)
		callers.Wait()
		d.adminRequest("GET", "10.0.1.1:7100/v1/admin/status", viewerToken)
		d.close()
		d.golden("session_operator_drain")
		Convey("The drained endpoint gets no new tasks from 2 s on, and new ones after its drain was cancelled", t, func() {
			starts := d.startTimes("10.0.2.1")
			So(countBetween(starts, 0, drained), ShouldBeGreaterThan, 0)
			So(countBetween(starts, drained+2000, returned), ShouldEqual, 0)
			So(countBetween(starts, returned, returned+4000), ShouldBeGreaterThan, 0)
			So(strings.Count(strings.Join(d.transcript, "\n"), "200 complete=true"), ShouldEqual, 30)
		})
	})
}

// TestSessionReadiness guards against a process that reports readiness before it can accept work, against a stopping process that
// refuses work before it has lowered its readiness, and against a stop that interrupts running work.
func TestSessionReadiness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		d.startEntry("10.0.1.1")
		d.startWorker("10.0.2.1", 2)
		time.Sleep(100 * time.Microsecond)
		d.adminRequest("GET", "10.0.2.1:7300/readyz", "")
		time.Sleep(settleTime)
		d.adminRequest("GET", "10.0.2.1:7300/healthz", "")
		d.adminRequest("GET", "10.0.2.1:7300/readyz", "")
		d.adminRequest("GET", "10.0.1.1:7100/readyz", "")
		d.adminRequest("GET", "10.0.2.1:7300/debug/vars", "")

		d.note("the entry is asked to stop")
		d.nodes["10.0.1.1"].stop()
		time.Sleep(10 * time.Millisecond)
		d.adminRequest("GET", "10.0.1.1:7100/readyz", "")
		d.adminRequest("GET", "10.0.1.1:7100/healthz", "")
		callers := d.submitLoad(1, "10.0.1.1")
		callers.Wait()
		time.Sleep(1500 * time.Millisecond)
		<-d.nodes["10.0.1.1"].done
		d.note("the entry has stopped")

		d.startEntry("10.0.1.2")
		time.Sleep(settleTime)
		d.adminRequest("GET", "10.0.2.1:7300/readyz", "")
		d.close()
		d.golden("session_readiness")
	})
}

// TestSessionAgentReadiness guards against an agent that reports readiness while it drains, and against a task that is
// interrupted by its stop.
func TestSessionAgentReadiness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		d.startEntry("10.0.1.1")
		d.startWorker("10.0.2.1", 2)
		time.Sleep(settleTime)
		callers := d.submitLoad(1, "10.0.1.1")
		time.Sleep(100 * time.Millisecond)
		d.note("the agent is asked to stop")
		d.nodes["10.0.2.1"].stop()
		time.Sleep(10 * time.Millisecond)
		d.adminRequest("GET", "10.0.2.1:7300/readyz", "")
		callers.Wait()
		<-d.nodes["10.0.2.1"].done
		d.note("the agent has stopped")
		d.adminRequest("GET", "10.0.1.1:7100/v1/admin/endpoints", viewerToken)
		d.close()
		d.golden("session_agent_readiness")
	})
}

// TestSessionEntryDrain guards against an entry that refuses jobs during an operator's drain before the load balancer has stopped
// sending requests.
func TestSessionEntryDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		d.startEntry("10.0.1.1")
		d.startWorker("10.0.2.1", 2)
		time.Sleep(settleTime)
		d.adminRequest("POST", "10.0.1.1:7100/v1/admin/drain", viewerToken)
		d.adminRequest("GET", "10.0.1.1:7100/readyz", "")
		d.adminRequest("POST", "10.0.1.1:7100/v1/admin/drain", operatorToken)
		d.adminRequest("POST", "10.0.1.1:7100/v1/admin/drain", operatorToken)
		d.adminRequest("GET", "10.0.1.1:7100/readyz", "")
		key := d.key("10.0.1.1", "key-1")
		d.submit("caller", "10.0.1.1", key, loadJob)
		time.Sleep(2 * time.Second)
		d.submit("caller", "10.0.1.1", d.key("10.0.1.1", "key-2"), loadJob)
		d.submit("caller", "10.0.1.1", key, loadJob)
		d.adminRequest("GET", "10.0.1.1:7100/v1/admin/status", viewerToken)
		d.close()
		time.Sleep(networkDelay * 2) // the entry stops immediately, while the ends of its connections are still in flight
		d.golden("session_entry_drain")
	})
}
