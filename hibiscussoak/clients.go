package hibiscussoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"hibiscusrouter/platform/hibiscusplatformstandin"
)

const (
	// resubmitDelay is how long a client waits before it resubmits a job after a failed connection, a 502 or a 504.
	resubmitDelay = 1300 * time.Millisecond
	// jobDeadline is how long a client waits for a response.
	jobDeadline    = 6 * time.Second
	maxSubmissions = 3
	maxJobTasks    = 4
	minRunMS       = 20
	maxRunMS       = 250
	// One job in oneInLong has tasks that still run when its client resubmits it, so that a second run would be detected.
	oneInLong = 5
	minLongMS = 1500
	maxLongMS = 3500
	// maxThinkTime is the maximum time between two jobs of a client.
	maxThinkTime = 150 * time.Millisecond
	// One job in oneInFails fails, one in oneInHangs makes no progress at first, and one submission in oneInDisconnects ends early.
	oneInFails       = 25
	oneInHangs       = 40
	oneInDisconnects = 30
	// One job in oneInCancels, with long tasks, is cancelled at most maxCancelDelay after its first submission.
	// The additional run time lets a task that was not stopped run longer than cancelEndBound.
	oneInCancels        = 8
	cancelledExtraRunMS = 2500
	maxCancelDelay      = 1500 * time.Millisecond
)

// clients are the callers of a deployment. Each submits one job after the other, keeps its connections open, and resubmits a job
// without a response to any entry, as the users' clients do. Some close their connection early.
type clients struct {
	deployment *deployment
	checks     *checks
	mu         sync.Mutex
	jobs       []*submittedJob
	goroutines sync.WaitGroup
}

func newClients(d *deployment, c *checks) *clients {
	return &clients{deployment: d, checks: c}
}

// run starts n clients that submit jobs until ctx is done.
func (l *clients) run(ctx context.Context, n int, seed uint64) {
	for i := range n {
		l.goroutines.Go(func() { l.runClient(ctx, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
}

func (l *clients) runClient(ctx context.Context, r *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		// The number also determines whether, where and when the job is cancelled.
		number := r.Uint64()
		j := &submittedJob{id: fmt.Sprintf("%016x", number), tasks: 1 + r.IntN(maxJobTasks)}
		runMS := minRunMS + r.IntN(maxRunMS-minRunMS)
		cancelled := number%oneInCancels == 0
		if r.IntN(oneInLong) == 0 || cancelled {
			runMS = minLongMS + r.IntN(maxLongMS-minLongMS)
		}
		if cancelled {
			runMS += cancelledExtraRunMS
		}
		spec := fmt.Sprintf("%dms", runMS)
		switch {
		case r.IntN(oneInFails) == 0:
			spec, j.fails = spec+" fail", true
		case r.IntN(oneInHangs) == 0:
			spec += " hang"
		}
		l.mu.Lock()
		l.jobs = append(l.jobs, j)
		l.mu.Unlock()
		if cancelled {
			entries := l.deployment.entries
			entry, delay := entries[number>>56%uint64(len(entries))], time.Duration(number>>8%uint64(maxCancelDelay))
			l.goroutines.Go(func() { l.cancel(ctx, client, entry, j.id, delay) })
		}
		l.submitUntilAnswered(ctx, r, client, j, spec)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(r.Int64N(int64(maxThinkTime)))):
		}
	}
}

// submitUntilAnswered submits a job at most maxSubmissions times, until a response other than 502 and 504 arrives or the client
// disconnects.
func (l *clients) submitUntilAnswered(ctx context.Context, r *rand.Rand, client *http.Client, j *submittedJob, spec string) {
	body, err := hibiscusplatformstandin.Job(j.tasks, spec)
	if err != nil {
		l.checks.addViolation("a job of the soak can't be written: %v", err)
		return
	}
	for range maxSubmissions {
		entry := l.deployment.entries[r.IntN(len(l.deployment.entries))]
		timeout := jobDeadline
		disconnects := r.IntN(oneInDisconnects) == 0
		if disconnects {
			timeout = time.Duration(r.Int64N(int64(time.Second)))
		}
		answer, err := l.submit(ctx, client, entry, j, body, timeout)
		switch {
		case disconnects && err != nil:
			l.checks.count("left")
			return
		case err != nil:
			l.checks.count("no answer")
		case answer.Status() != http.StatusGatewayTimeout && answer.Status() != http.StatusBadGateway:
			return
		}
		if ctx.Err() != nil {
			return
		}
		time.Sleep(resubmitDelay)
	}
}

// submit submits a job once to an entry.
func (l *clients) submit(
	ctx context.Context, client *http.Client, entry *entryNode, j *submittedJob, body string, timeout time.Duration,
) (hibiscusplatformstandin.Answer, error) {
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	j.submissions++
	began := time.Now()
	answer, err := hibiscusplatformstandin.Send(call, client, http.MethodPost, entry.callerProxy.listener.Addr().String(), jobPrefix+j.id,
		body, jobDeadline)
	if err != nil {
		if call.Err() == nil {
			entry.addUnanswered(unansweredRequest{job: j, firstSubmission: j.submissions == 1, sentAt: began, closedAt: time.Now()})
		}
		return answer, err
	}
	l.checks.checkAnswer(j, answer)
	return answer, nil
}

// finish waits for the clients, checks the refusals, which needs all submissions to be over, and returns the number of jobs.
func (l *clients) finish() int {
	l.goroutines.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checks.checkRefusals(l.jobs)
	return len(l.jobs)
}
