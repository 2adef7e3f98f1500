package hibiscusprocess

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// noteMetrics notes the nonzero variables of a process, without those that differ between runs.
func (d *deployment) noteMetrics(address string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/debug/vars", nil)
	d.must(err)
	request.Header.Set("Authorization", "Bearer "+viewerToken)
	response, err := d.newHTTPClient().Do(request)
	d.must(err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	d.must(err)
	var vars map[string]any
	d.must(json.Unmarshal(raw, &vars))
	for _, name := range []string{"goroutines", "memory_bytes", "duty_ring", "loop_delay_ms", "session_rings", "worker_messages", "entry_messages"} {
		delete(vars, name)
	}
	for _, name := range slices.Sorted(maps.Keys(vars)) {
		if counts, ok := vars[name].(map[string]any); ok {
			maps.DeleteFunc(counts, func(_ string, v any) bool { return v == 0.0 })
		}
		text, err := json.Marshal(vars[name])
		d.must(err)
		if s := string(text); s != "0" && s != "{}" && s != "false" {
			d.note("%s %s = %s", address, name, s)
		}
	}
}

// TestSessionMetrics guards against counters that are not updated: jobs, tasks, outcomes, refusals, rejections, records, silent
// sessions, reconnects, refused handshakes and leases; and against refusals by the callers' handlers that are not counted.
func TestSessionMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		d.startEntry("10.0.1.1")
		synctest.Wait() // otherwise the agent may dial before the entry listens, which counts as a reconnect
		d.startWorker("10.0.2.1", 2)
		time.Sleep(settleTime - 600*time.Millisecond) // between two pings, which are sent every second
		d.submit("caller", "10.0.1.1", d.key("10.0.1.1", "key-1"), threeKindsJob)
		d.submit("caller", "10.0.1.1", d.key("10.0.1.1", "key-2"),
			`{"team":"nokkhao","service":"sighting","tasks":[{"kind":"egg_count"}]}`)
		d.submit("caller", "10.0.1.1", d.key("10.0.1.1", "key-3"),
			`{"team":"nokkhao","service":"sighting","tasks":[{"kind":"list_sync","payload":{"behavior":"fail"}}]}`)
		for _, refused := range []struct{ key, body string }{
			{d.key("10.0.1.1", "key-4"), "{"}, {"", checkJob}, {"hr1-0-0-0", checkJob},
			{d.key("10.0.1.1", "key-5"), strings.Repeat(" ", 8<<20+1)},
		} {
			d.submit("caller", "10.0.1.1", refused.key, refused.body)
		}
		d.note("the session carries no data, and no new one is possible for 3.3 s")
		d.network.Silence("10.0.1.1:7200", true, true)
		d.network.Block("10.0.1.1:7200", true)
		time.Sleep(3300 * time.Millisecond)
		d.network.Block("10.0.1.1:7200", false)
		d.note("a client without the shared key connects")
		stranger, err := d.network.Dial(d.ctx, "10.0.1.1:7200")
		d.must(err)
		_, err = stranger.Write(make([]byte, 256))
		d.must(err)
		time.Sleep(2 * time.Second)
		stranger.Close()
		d.noteMetrics("10.0.1.1:7100")
		d.noteMetrics("10.0.2.1:7300")
		d.close()
		d.golden("session_metrics")
	})
}
