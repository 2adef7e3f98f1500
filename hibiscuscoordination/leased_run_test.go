package hibiscuscoordination

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"hibiscusrouter/hibiscusstate"
)

// repeatCase is an endpoint whose starts get no answer from the first on.
type repeatCase struct {
	name string
	// answered is the number of the first start that is answered, zero for none.
	answered int
	// silentAfter and drainingAfter are when polls get no answer any more, and when the endpoint announces that it leaves, from the first
	// start; zero for never.
	silentAfter   time.Duration
	drainingAfter time.Duration
	// permitted is how long the start is permitted, zero for ever.
	permitted time.Duration
}

// play runs a task and returns how often its start was requested, until when, and the result.
func (c repeatCase) play() string {
	var mu sync.Mutex
	var began, last time.Time
	var running []ListedRun
	starts, stops := 0, 0
	since := func(d time.Duration) bool { return d > 0 && !began.IsZero() && time.Since(began) >= d }
	w := NewLeasedEndpoint(NewLeasedEndpointSeams(
		func(ctx context.Context, _ EndpointIncarnation, r StartRequest) (StartResult, int64) {
			mu.Lock()
			if starts++; starts == 1 {
				began = time.Now()
			}
			last = time.Now()
			answered := starts == c.answered
			if answered {
				running = append(running, NewRunningRun(r.Run(), 1))
			}
			mu.Unlock()
			if !answered {
				<-ctx.Done()
				return StartUnanswered, 0
			}
			time.AfterFunc(20*time.Millisecond, func() {
				mu.Lock()
				defer mu.Unlock()
				running = nil
			})
			return StartAccepted, 0
		},
		func(context.Context, EndpointIncarnation, RunID, uint64) error {
			mu.Lock()
			defer mu.Unlock()
			stops++
			return nil
		},
		func(ctx context.Context, _ EndpointIncarnation, r PollRequest) (PollResponse, error) {
			time.Sleep(max(min(r.Wait(), 30*time.Millisecond), time.Millisecond))
			mu.Lock()
			defer mu.Unlock()
			if since(c.silentAfter) {
				return PollResponse{}, context.DeadlineExceeded
			}
			return NewPollResponse(7, 1, running, nil), nil
		},
		func(string, hibiscusstate.Resources) error { return nil },
		func(time.Duration, time.Duration) error { return nil },
	), slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	announcement := func(draining bool, sequence uint64) Announcement {
		return NewAnnouncement(NewEndpointIncarnation("i-1", 7, "10.0.2.1:80"), "checks", hibiscusstate.NewResources(4, 0, 0), draining, sequence)
	}
	ignoreError(w.Announce(announcement(false, 1)))
	time.Sleep(time.Second)
	order := newNamedOrder(1)
	if c.permitted > 0 {
		order = order.WithStartBy(time.Now().Add(c.permitted))
	}
	if c.drainingAfter > 0 {
		// The notice takes effect at once.
		time.AfterFunc(c.drainingAfter, func() {
			ignoreError(w.Announce(announcement(true, 2)))
			ignoreError(w.loop.post(func(now time.Time) { w.startBy = now }))
		})
	}
	taskCtx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	result := w.Execute(taskCtx, order)
	took := time.Since(began)
	stop()
	<-done
	return fmt.Sprintf("%s: %d starts, the last after %d ms; %d stops; %s %s after %d ms", c.name, starts, last.Sub(began).Milliseconds(), stops,
		result.Outcome(), result.Rejection(), took.Milliseconds())
}

// TestStartsAreRepeatedWhilePermitted guards against a start that is requested again although its order, the notice of the endpoint or the
// silence of the endpoint no longer allows it.
func TestStartsAreRepeatedWhilePermitted(t *testing.T) {
	var lines []string
	for _, c := range []repeatCase{
		{name: "the third is answered", answered: 3},
		{name: "none is answered"},
		{name: "permitted for 200 ms", permitted: 200 * time.Millisecond},
		{name: "leaving after 200 ms", drainingAfter: 200 * time.Millisecond},
		{name: "silent at once", silentAfter: time.Nanosecond},
	} {
		synctest.Test(t, func(*testing.T) { lines = append(lines, c.play()) })
	}
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "starts_are_repeated", []byte(strings.Join(lines, "\n")+"\n"))
}

// doubtCase is a run of which some requests to start it were sent, and what its agent sees then.
type doubtCase struct {
	name     string
	requests int
	answers  int
	// see shows the agent what follows; later is a poll that was sent after the answers.
	see func(w *LeasedEndpoint, now time.Time, later pollParams)
}

// The incarnation that the run was requested from, and its successor.
const (
	firstStart = 7
	nextStart  = 8
)

// play returns whether the run counts as ended.
func (c doubtCase) play() string {
	now := time.Now()
	w := NewLeasedEndpoint(NewLeasedEndpointSeams(nil, nil, nil,
		func(string, hibiscusstate.Resources) error { return nil },
		func(time.Duration, time.Duration) error { return nil },
	), slog.New(slog.DiscardHandler))
	w.startIncarnation(now, NewEndpointIncarnation("i-1", firstStart, "10.0.2.1:80"))
	w.stateKnown, w.pollsSent = true, 10
	run := &leasedRun{
		id: NewRunID("job", 0, 1), startMs: firstStart, epoch: w.epoch, requests: c.requests, answers: c.answers, requestedAt: now,
		ended: make(chan RunEnd, 1), stalled: make(chan struct{}, 1),
	}
	w.runs[run.id] = run
	if c.answers > 0 {
		run.recordBegin(w.pollsSent)
	}
	w.endpointClock = 1
	w.renewLease(now)
	c.see(w, now, pollParams{number: 11, request: PollRequest{epoch: w.epoch}})
	select {
	case end := <-run.ended:
		return fmt.Sprintf("%s, %d of %d requests answered: %s", c.name, c.answers, c.requests, end)
	default:
		return fmt.Sprintf("%s, %d of %d requests answered: in doubt", c.name, c.answers, c.requests)
	}
}

// TestRunsInDoubt guards against a run that counts as ended while a request to start it may still be carried out, and against one
// that is kept although none is left.
func TestRunsInDoubt(t *testing.T) {
	list := func(startMs int64, runs ...ListedRun) PollResponse { return NewPollResponse(startMs, 1, runs, nil) }
	raised := func(w *LeasedEndpoint) pollParams {
		return pollParams{number: 12, request: PollRequest{epoch: w.epoch}}
	}
	sightings := []doubtCase{
		{name: "a list of an earlier poll", see: func(w *LeasedEndpoint, now time.Time, later pollParams) {
			later.number = 10
			w.applyResponse(now, later, list(firstStart))
		}},
		{name: "a list", see: func(w *LeasedEndpoint, now time.Time, later pollParams) {
			w.applyResponse(now, later, list(firstStart))
		}},
		{name: "a list of the next incarnation to an earlier poll", see: func(w *LeasedEndpoint, now time.Time, later pollParams) {
			later.number = 10
			w.applyResponse(now, later, list(nextStart))
		}},
		{name: "a list of the next incarnation", see: func(w *LeasedEndpoint, now time.Time, later pollParams) {
			w.applyResponse(now, later, list(nextStart))
		}},
		{name: "a list of the next incarnation that has the run", see: func(w *LeasedEndpoint, now time.Time, later pollParams) {
			w.applyResponse(now, later, list(nextStart, NewRunningRun(NewRunID("job", 0, 1), 0)))
		}},
		{name: "a list with the raised epoch", see: func(w *LeasedEndpoint, now time.Time, later pollParams) {
			w.applyResponse(now, later, list(nextStart))
			w.applyResponse(now, raised(w), list(nextStart))
		}},
		{name: "a list with the raised epoch that has the run", see: func(w *LeasedEndpoint, now time.Time, later pollParams) {
			later.number = 10
			w.applyResponse(now, later, list(nextStart))
			w.applyResponse(now, raised(w), list(nextStart, NewRunningRun(NewRunID("job", 0, 1), 0)))
		}},
		{name: "a refused connection of an earlier poll", see: func(w *LeasedEndpoint, now time.Time, _ pollParams) {
			w.pollFailed(now, 10, ErrEndpointGone)
		}},
		{name: "a refused connection", see: func(w *LeasedEndpoint, now time.Time, _ pollParams) {
			w.pollFailed(now, 11, ErrEndpointGone)
		}},
		{name: "refused connections for 2 s", see: func(w *LeasedEndpoint, now time.Time, _ pollParams) {
			w.pollFailed(now.Add(2*time.Second), 10, ErrEndpointGone)
		}},
		{name: "refused connections for 13 s", see: func(w *LeasedEndpoint, now time.Time, _ pollParams) {
			w.pollFailed(now.Add(13*time.Second), 10, ErrEndpointGone)
		}},
		{name: "refused connections for 2 s, cancelled", see: func(w *LeasedEndpoint, now time.Time, _ pollParams) {
			w.runs[NewRunID("job", 0, 1)].cancelled = true
			w.pollFailed(now.Add(2*time.Second), 10, ErrEndpointGone)
		}},
		{name: "silence for 1 s", see: func(w *LeasedEndpoint, now time.Time, _ pollParams) {
			w.pollFailed(now.Add(time.Second), 11, context.DeadlineExceeded)
		}},
		{name: "silence for 2 s", see: func(w *LeasedEndpoint, now time.Time, _ pollParams) {
			w.pollFailed(now.Add(2*time.Second), 11, context.DeadlineExceeded)
		}},
		{name: "silence of the next incarnation until 1.5 s", see: func(w *LeasedEndpoint, now time.Time, _ pollParams) {
			w.startIncarnation(now.Add(800*time.Millisecond), NewEndpointIncarnation("i-1", nextStart, "10.0.2.1:80"))
			w.pollFailed(now.Add(1500*time.Millisecond), 10, context.DeadlineExceeded)
		}},
	}
	var lines []string
	synctest.Test(t, func(*testing.T) {
		for _, c := range sightings {
			for _, counts := range [][2]int{{1, 1}, {1, 0}, {2, 1}} {
				c.requests, c.answers = counts[0], counts[1]
				lines = append(lines, c.play())
			}
		}
	})
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "runs_in_doubt", []byte(strings.Join(lines, "\n")+"\n"))
}
