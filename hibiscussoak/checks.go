package hibiscussoak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"hibiscusrouter/platform/hibiscusplatformstandin"
)

// The invariants, which hold under all faults. Each violation is printed as a line with its time and what was observed.
//
//   - A task never has two runs at the same time, and no worker exceeds its capacity (hibiscusplatformstandin.Observer).
//   - A job is "completed" only if every task had a successful run, "failed" only if a task had maxAttempts failed runs.
//   - A job of which all submissions were refused has not run.
//   - Nothing starts in an evacuated failure domain later than evacuationBound after the row was acknowledged, by processes that are in
//     contact, nor on a leaving worker later than noticeBound after its announcement was acknowledged.
//   - After a DELETE was answered 2xx, no task of the job starts later than cancelStartBound or runs later than cancelEndBound.
//   - Hostile clients end no process, exceed no process's memory, and an ordinary request is answered after them.
//   - A response is complete and has a status that the platform defines.
//   - A planned stop during which there is no other fault leaves no request unanswered, and ends in time.
//   - The configuration version of an entry never decreases; without faults an entry applies a new version in time.
//   - A process never exits by itself.
//   - When all faults are over, every entry serves requests.

// maxAttempts is how often a task may fail, in the stand-in's configuration.
const maxAttempts = 2

// checks collects violations of the invariants and counts responses. It is safe for concurrent use.
type checks struct {
	mu         sync.Mutex
	began      time.Time
	out        func(line string)
	violations []string
	observer   *hibiscusplatformstandin.Observer
	counts     map[string]int
}

func newChecks(out func(line string)) *checks {
	c := &checks{began: time.Now(), out: out, counts: map[string]int{}}
	c.observer = hibiscusplatformstandin.NewObserver(func(string, ...any) {})
	return c
}

// logf prints a line with the time since the start of the run.
func (c *checks) logf(format string, args ...any) {
	c.out(fmt.Sprintf("%7.3f s  %s", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...)))
}

// addViolation prints and records a violation.
func (c *checks) addViolation(format string, args ...any) {
	c.logf("BROKEN  "+format, args...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *checks) count(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[key]++
}

// allViolations returns the violations recorded here and those of the observer.
func (c *checks) allViolations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append(c.observer.Faults(), c.violations...)
}

// submittedJob is a job that a client has submitted, with the counts of its submissions and refusals.
type submittedJob struct {
	id          string
	tasks       int
	fails       bool
	refusals    int
	submissions int
}

// checkAnswer checks the response to one submission of a job.
func (c *checks) checkAnswer(j *submittedJob, a hibiscusplatformstandin.Answer) {
	c.count(fmt.Sprintf("answers %d %s", a.Status(), a.State()))
	switch {
	case a.Status() == http.StatusOK && a.State() == "completed":
		if !c.observer.Done(j.id, j.tasks) {
			c.addViolation("job %s is called completed, and a task of it has not ended so", j.id)
		}
	case a.Status() == http.StatusOK && a.State() == "failed":
		if failures := c.observer.MaxTaskFailures(j.id, j.tasks); failures < maxAttempts {
			c.addViolation("job %s is called failed after %d failed runs of a task", j.id, failures)
		}
	case a.Status() == http.StatusServiceUnavailable, a.Status() == http.StatusTooManyRequests, a.Status() == http.StatusNotFound:
		j.refusals++
	case a.Status() == http.StatusGatewayTimeout, a.Status() == http.StatusBadGateway:
	default:
		c.addViolation("job %s is answered %d %q", j.id, a.Status(), a.Body())
	}
}

// checkRefusals checks the jobs of which all submissions were refused. It is called when no start can be in flight any more.
func (c *checks) checkRefusals(jobs []*submittedJob) {
	for _, j := range jobs {
		if j.submissions > 0 && j.refusals == j.submissions && c.observer.Started(j.id, j.tasks) {
			c.addViolation("job %s was refused %d times, every time, and a task of it was started", j.id, j.submissions)
		}
	}
}
