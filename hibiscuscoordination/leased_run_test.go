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
	result := w.Execute(context.Background(), order)
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
