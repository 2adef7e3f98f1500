package hibiscuscoordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"hibiscusrouter/hibiscusstate"
)

// TestEntryStartsUnderLoad guards against refusals by an entry that has just started and knows only the first of its workers: after a
// loss of power of all VMs the clients return at once, and 39 of their jobs were refused as too late, or held and then refused, while 70%
// of the workers' slots were used a moment later. Known overload, with all workers connected, is still refused at once.
func TestEntryStartsUnderLoad(t *testing.T) {
	const (
		workers = 30
		slots   = 4
		jobs    = 40
		tasks   = 2
	)
	var lines []string
	for _, c := range []struct {
		name    string
		connect time.Duration
		jobs    int
	}{
		{"the workers connect within 60 ms", 2 * time.Millisecond, jobs},
		{"the workers connect within 0.9 s", 30 * time.Millisecond, jobs},
		{"all workers are known before the jobs come", 0, 20 * jobs},
	} {
		now := time.Unix(1_000_000, 0)
		sent, refused := 0, 0
		d := newNamedDispatcherWithSend(now, func(_ hibiscusstate.Incarnation, m Message) bool {
			sent += len(m.Orders())
			return true
		})
		connected := 0
		connect := func() {
			id := hibiscusstate.Incarnation(100 + connected)
			connected++
			d.WorkerUp(now, NewHello(RoleAgent, id, fmt.Sprintf("10.0.2.%d:7300", id), "a", 1, NewCapacity("checks", slots, false, 1)))
		}
		for c.connect == 0 && connected < workers {
			connect()
		}
		if c.connect == 0 {
			now = now.Add(2 * startGrace)
			d.Tick(now)
		}
		for i := range c.jobs {
			if connected == 0 {
				connect()
			}
			specs := make([]hibiscusstate.TaskSpec, tasks)
			for j := range specs {
				specs[j] = hibiscusstate.NewTaskSpec("check", nil, 100*time.Millisecond)
			}
			d.SubmitNamed(now, NewNamedSubmission(fmt.Sprintf("job %d", i), "a", "checks", specs).WithWait(time.Hour), uint64(i),
				func(a *Answer) { refused++ })
			d.Flush(now)
		}
		atOnce := refused
		for connected < workers {
			now = now.Add(c.connect)
			connect()
			d.Tick(now)
			d.Flush(now)
		}
		lines = append(lines, fmt.Sprintf("%s: of %d jobs, %t are refused at once, %d later; %d tasks sent",
			c.name, c.jobs, atOnce > 0, refused-atOnce, min(sent, workers*slots)))
	}
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "entry_starts_under_load", []byte(strings.Join(lines, "\n")+"\n"))
}
