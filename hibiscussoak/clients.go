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

// Clients hand in jobs one after the other, keep their connections, and send a job again to any entry when they got no answer,
// as the users' clients do. Some leave before the end.

const (
	// resendTime is when a client sends a job again after a broken connection, a 502 or a 504.
	resendTime = 1300 * time.Millisecond
	// jobDeadline is how long a client waits for an answer.
	jobDeadline = 6 * time.Second
	maxTries    = 3
	maxJobTasks = 4
	minRunMS    = 20
	maxRunMS    = 250
	// One job in longPart has tasks that still run when its client sends it again, so that a second run would be seen.
	longPart  = 5
	minLongMS = 1500
	maxLongMS = 3500
	// thinkTime is the longest pause between two jobs of a client.
	thinkTime = 150 * time.Millisecond
	// One job in failPart fails, one in hangPart makes no progress at first, and one client in leavePart leaves early.
	failPart  = 25
	hangPart  = 40
	leavePart = 30
)

// clients are the callers of a fleet.
type clients struct {
	fleet  *fleet
	checks *checks
	mu     sync.Mutex
	jobs   []*tried
	duties sync.WaitGroup
}

func newClients(f *fleet, c *checks) *clients {
	return &clients{fleet: f, checks: c}
}

// run starts n clients that go on until ctx is done.
func (l *clients) run(ctx context.Context, n int, seed uint64) {
	for i := range n {
		l.duties.Go(func() { l.client(ctx, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
}

func (l *clients) client(ctx context.Context, r *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		j := &tried{id: fmt.Sprintf("%016x", r.Uint64()), tasks: 1 + r.IntN(maxJobTasks)}
		takes := minRunMS + r.IntN(maxRunMS-minRunMS)
		if r.IntN(longPart) == 0 {
			takes = minLongMS + r.IntN(maxLongMS-minLongMS)
		}
		spec := fmt.Sprintf("%dms", takes)
		switch {
		case r.IntN(failPart) == 0:
			spec, j.fails = spec+" fail", true
		case r.IntN(hangPart) == 0:
			spec += " hang"
		}
		l.mu.Lock()
		l.jobs = append(l.jobs, j)
		l.mu.Unlock()
		l.handIn(ctx, r, client, j, spec)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(r.Int64N(int64(thinkTime)))):
		}
	}
}

// handIn sends a job until it is answered, or refused, or the client gives up.
func (l *clients) handIn(ctx context.Context, r *rand.Rand, client *http.Client, j *tried, spec string) {
	body, err := hibiscusplatformstandin.Job(j.tasks, spec)
	if err != nil {
		l.checks.fault("a job of the soak can't be written: %v", err)
		return
	}
	for range maxTries {
		entry := l.fleet.entries[r.IntN(len(l.fleet.entries))]
		wait := jobDeadline
		leaves := r.IntN(leavePart) == 0
		if leaves {
			wait = time.Duration(r.Int64N(int64(time.Second)))
		}
		answer, err := l.send(ctx, client, entry, j, body, wait)
		switch {
		case leaves && err != nil:
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
		time.Sleep(resendTime)
	}
}

// send makes one try of a job.
func (l *clients) send(
	ctx context.Context, client *http.Client, entry *entryNode, j *tried, body string, wait time.Duration,
) (hibiscusplatformstandin.Answer, error) {
	call, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	j.tries++
	began := time.Now()
	answer, err := hibiscusplatformstandin.Send(call, client, http.MethodPost, entry.callers.listener.Addr().String(), jobPrefix+j.id,
		body, jobDeadline)
	if err != nil {
		if call.Err() == nil {
			entry.noteCut(cutRequest{job: j, first: j.tries == 1, sent: began, cut: time.Now()})
		}
		return answer, err
	}
	l.checks.answered(j, answer)
	return answer, nil
}

// finish waits for the clients, and checks what can be checked only when nothing is under way any more.
func (l *clients) finish() int {
	l.duties.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checks.refusals(l.jobs)
	return len(l.jobs)
}
