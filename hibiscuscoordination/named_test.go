package hibiscuscoordination

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"hibiscusrouter/hibiscusstate"
)

// TestNamedJobsAreForgotten guards against records of named jobs that stay for the ten minutes of other jobs: nobody asks for
// them again, and at 50 jobs a second they would take more memory than an entry VM has.
func TestNamedJobsAreForgotten(t *testing.T) {
	Convey("A named job leaves nothing behind when it has ended", t, func() {
		now := time.Unix(1_000_000, 0)
		d := NewDispatcher(1, NewDispatcherSeams(
			func(hibiscusstate.Incarnation, Message) bool { return true }, func(Event) {}, func(time.Duration) time.Duration { return 0 }))
		kinds := []hibiscusstate.Kind{hibiscusstate.NewKind("check", false, true, 100*time.Millisecond, time.Minute).
			WithAttempts(2).WithObjective(1.6, 60*time.Millisecond)}
		d.Configure(now, hibiscusstate.NewConfiguration(1, "", hibiscusstate.NewDocument(
			[]hibiscusstate.Service{hibiscusstate.NewService("checks", nil, kinds)}, []hibiscusstate.Team{hibiscusstate.NewTeam("a", 1, 100)})))
		d.Tick(now)
		answers := 0
		for i, name := range []string{"one", "two", "one"} {
			s := NewNamedSubmission(name, "a", "checks", []hibiscusstate.TaskSpec{hibiscusstate.NewTaskSpec("check", make([]byte, 1000), 0)}).
				WithWait(time.Hour)
			d.SubmitNamed(now, s, uint64(i), func(*Answer) { answers++ })
		}
		So([]int{len(d.jobs), len(d.named), answers}, ShouldResemble, []int{2, 2, 0})
		d.Leave(now, "one", 0)
		So([]int{len(d.jobs), len(d.named), answers}, ShouldResemble, []int{2, 2, 0})
		d.Leave(now, "one", 2)
		d.Leave(now, "two", 1)
		So([]int{len(d.jobs), len(d.named), d.finished.Len(), d.bytes}, ShouldResemble, []int{0, 0, 0, 0})
	})
}
