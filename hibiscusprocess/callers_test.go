package hibiscusprocess

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/smartystreets/goconvey/convey"

	"hibiscusrouter/hibiscusstate"
)

const (
	checkJob = `{"team":"nokkhao","service":"sighting","tasks":[{"kind":"plausibility_check","payload":{"run_ms":60}}]}`
	slowJob  = `{"team":"nokkhao","service":"sighting","wait_ms":0,"tasks":[{"kind":"photo_match","payload":{"run_ms":900}}]}`
	// maxShownBytes bounds how much of a body is written to the golden file.
	maxShownBytes = 160
)

var nextKeyPattern = regexp.MustCompile(`"next_key":"[^"]*"`)

// exchanges records HTTP requests and answers as text, with names instead of keys and without values that differ between runs.
type exchanges struct {
	deployment *deployment
	text       strings.Builder
}

func (x *exchanges) do(title, method, path, key, body string) {
	began := time.Now()
	request, err := http.NewRequest(method, "http://10.0."+path, strings.NewReader(body))
	x.deployment.must(err)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := x.deployment.newHTTPClient().Do(request)
	x.deployment.must(err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	x.deployment.must(err)
	fmt.Fprintf(&x.text, "# %s\n%s %s\n", title, method, path)
	if key != "" {
		fmt.Fprintf(&x.text, "Idempotency-Key: %s\n", key)
	}
	if len(body) > maxShownBytes {
		body = fmt.Sprintf("%s... (%d bytes)", body[:maxShownBytes], len(body))
	}
	fmt.Fprintf(&x.text, "%s\n-> %d after %d ms\n%s\n", body, response.StatusCode, time.Since(began).Milliseconds(),
		volatilePattern.ReplaceAllString(strings.TrimSpace(string(raw)), `"..."`))
}

func (x *exchanges) golden(name string) {
	text := x.text.String()
	for key, name := range x.deployment.keys {
		text = strings.ReplaceAll(text, key, name)
	}
	goldie.New(x.deployment.t, goldie.WithFixtureDir("testdata")).Assert(x.deployment.t, name, []byte(text))
}

func jobOfTasks(n int, task string) string {
	return `{"team":"nokkhao","service":"sighting","tasks":[` + strings.TrimSuffix(strings.Repeat(task+",", n), ",") + `]}`
}

func jobWithField(field string) string {
	return strings.Replace(checkJob, `"tasks"`, field+`,"tasks"`, 1)
}

// TestCallerExchanges guards against an invalid request that is accepted, that leaves a record under its key, or whose answer
// lacks a status, a code, a hint for the caller or "not_run", and against a cancel or fetch that waits longer than requested.
func TestCallerExchanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		d.startEntry("10.0.1.1")
		d.startEntry("10.0.1.2")
		d.startWorker("10.0.2.1", 2)
		time.Sleep(settleTime)
		x := &exchanges{deployment: d}
		const jobs, worker = "1.1:7100/v1/jobs", "2.1:7300/v1/endpoint"
		key, slow := d.key("10.0.1.1", "key-1"), d.key("10.0.1.1", "key-2")
		foreign := hibiscusstate.NewKeySigner([]byte("the key of another deployment")).Format(hibiscusstate.NewSubmissionKey(1, 0))
		d.keys[foreign] = "foreign-key"
		for _, c := range []struct{ title, key, body string }{
			{"no key", "", checkJob},
			{"a malformed key", "order-7", checkJob},
			{"a key of another deployment", foreign, checkJob},
			{"an empty body", key, ""},
			{"malformed JSON", key, checkJob[:40]},
			{"a bracket after the JSON value", key, checkJob + "}"},
			{"a second JSON value", key, checkJob + checkJob},
			{"an unknown field", key, jobWithField(`"priority":1`)},
			{"a field of the wrong type", key, jobWithField(`"wait_ms":"soon"`)},
			{"a service that does not exist", key, strings.Replace(checkJob, `"sighting"`, `"sightings"`, 1)},
			{"a team that does not exist", key, strings.Replace(checkJob, `"nokkhao"`, `"nokhao"`, 1)},
			{"a kind that does not exist", key, strings.Replace(checkJob, `"plausibility_check"`, `"sound_match"`, 1)},
			{"no tasks", key, jobOfTasks(0, "")},
			{"1,801 tasks", key, jobOfTasks(1801, `{"kind":"list_sync"}`)},
			{"a body over 8 MiB", key, jobOfTasks(9, `{"kind":"list_sync","payload":"`+strings.Repeat("x", 1000000)+`"}`)},
			{"a payload over 1 MiB", key, jobOfTasks(1, `{"kind":"list_sync","payload":"`+strings.Repeat("x", 1<<20)+`"}`)},
			{"a deadline of zero", key, jobWithField(`"deadline_ms":0`)},
			{"a negative deadline", key, jobWithField(`"deadline_ms":-5`)},
			{"a deadline as a date", key, jobWithField(`"deadline_ms":1796380000000`)},
			{"a negative wait", key, jobWithField(`"wait_ms":-1`)},
			{"a negative attempt", key, jobWithField(`"attempt":-1`)},
			{"a negative run time", key, jobOfTasks(1, `{"kind":"list_sync","run_ms":-80}`)},
		} {
			x.do(c.title, http.MethodPost, jobs, c.key, c.body)
		}
		x.do("too many keys", http.MethodPost, "1.1:7100/v1/keys", "", `{"count":1001}`)
		x.do("a path that does not exist", http.MethodGet, "1.1:7100/v1/job", "", "")
		x.do("a method that does not exist", http.MethodPut, jobs, "", "")
		x.do("no record was kept under the key", http.MethodGet, jobs+"/"+key, "", "")
		x.do("the key is still usable", http.MethodPost, jobs, key, checkJob)
		x.do("the same submission", http.MethodPost, jobs, key, checkJob)
		x.do("the same submission at another entry", http.MethodPost, "1.2:7100/v1/jobs", key, checkJob)
		x.do("the same key and value with a trailing space", http.MethodPost, jobs, key, checkJob+" ")
		x.do("a cancel after the end of the job", http.MethodDelete, jobs+"/"+key, "", "")
		x.do("a slow job, no wait", http.MethodPost, jobs, slow, slowJob)
		x.do("fetch", http.MethodGet, jobs+"/"+slow, "", "")
		x.do("fetch with a wait that ends before the job", http.MethodGet, jobs+"/"+slow+"?wait_ms=100", "", "")
		x.do("fetch at the other entry", http.MethodGet, "1.2:7100/v1/jobs/"+slow+"?wait_ms=50", "", "")
		x.do("fetch with a malformed wait", http.MethodGet, jobs+"/"+slow+"?wait_ms=1s", "", "")
		x.do("cancel without a wait", http.MethodDelete, jobs+"/"+slow+"?wait_ms=0", "", "")
		x.do("cancel again", http.MethodDelete, jobs+"/"+slow, "", "")
		x.do("cancel a third time", http.MethodDelete, jobs+"/"+slow, "", "")
		x.do("cancel of a job that was never submitted", http.MethodDelete, jobs+"/"+d.key("10.0.1.1", "key-3"), "", "")
		x.do("announcement without slots", http.MethodPut, worker, "", `{"service":"sighting","address":"10.0.2.1:7400"}`)
		x.do("announcement with a bad address", http.MethodPut, worker, "", `{"service":"sighting","address":"7400","slots":2}`)
		x.do("announcement with an unknown field", http.MethodPut, worker, "", `{"service":"sighting","slot":2}`)
		d.close()
		starts := d.nodes["10.0.2.1/endpoint"].endpoint.Starts()
		fmt.Fprintf(&x.text, "# tasks that the endpoint started: %d\n", len(starts))
		x.golden("caller_exchanges")
	})
}

// TestNextKeys guards against giving the same next_key to two callers that wait for the same job: the second of their next jobs
// would be treated as a resubmission of the first.
func TestNextKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		d.startEntry("10.0.1.1")
		d.startWorker("10.0.2.1", 2)
		time.Sleep(settleTime)
		key := d.key("10.0.1.1", "key-1")
		const waiting = 8
		next := map[string]bool{}
		answers := make([]string, waiting)
		var callers sync.WaitGroup
		for i := range waiting {
			callers.Go(func() { answers[i] = d.submit("caller", "10.0.1.1", key, checkJob) })
		}
		callers.Wait()
		d.close()
		for _, answer := range answers {
			next[nextKeyPattern.FindString(answer)] = true
		}
		convey.Convey("each caller gets a different key", t, func() { convey.So(next, convey.ShouldHaveLength, waiting) })
	})
}

// TestLargestBody guards against a body that is accepted and then can't be sent to an agent: a frame over the limit of its reader
// ends the session, and its tasks are requeued until they fail after the maximum number of returns.
func TestLargestBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		d.startEntry("10.0.1.1")
		d.startEntry("10.0.1.2")
		d.startWorker("10.0.2.1", 9)
		time.Sleep(settleTime)
		const size, tasks = 8 << 20, 9
		empty := jobOfTasks(tasks, `{"kind":"photo_match","payload":""}`)
		payload := strings.Repeat("x", (size-len(empty))/tasks)
		body := jobOfTasks(tasks, `{"kind":"photo_match","payload":"`+payload+`"}`)
		body += strings.Repeat(" ", size-len(body))
		key := d.key("10.0.1.1", "key-1")
		x := &exchanges{deployment: d}
		for _, entry := range []string{"1.1:7100/v1/jobs", "1.2:7100/v1/jobs"} {
			x.do("8 MiB", http.MethodPost, entry, key, body)
		}
		d.close()
		finished := strings.Count(x.text.String(), `"outcome":"finished"`)
		starts := d.nodes["10.0.2.1/endpoint"].endpoint.Starts()
		convey.Convey("both entries return the complete answer", t, func() {
			convey.So(finished, convey.ShouldEqual, 2*tasks)
			convey.So(starts, convey.ShouldHaveLength, tasks)
		})
	})
}
