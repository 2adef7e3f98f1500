package hibiscussoak

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"
	. "github.com/smartystreets/goconvey/convey"

	"hibiscusrouter/platform/hibiscusplatformstandin"
)

const (
	buildTimeout = 2 * time.Minute
	// shortRun is how long the run in CI injects faults.
	shortRun = 10 * time.Second
	// shortRestartRun is how long the run of crashes in CI injects them.
	shortRestartRun = 15 * time.Second
	restartSeed     = 105
)

// regressionSeeds are the seeds that have violated an invariant, each with the cause and the duration of the run that did.
var regressionSeeds = []struct {
	seed     uint64
	duration time.Duration
	cause    string
}{
	{412, 15 * time.Second, "a start without a response was executed by the next incarnation of its worker, which had lost the stop"},
}

func buildBinary(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "hibiscusrouter")
	ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
	defer cancel()
	if out, err := exec.CommandContext(ctx, "go", "build", "-o", binary, "hibiscusrouter/cmd/hibiscusrouter").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return binary
}

// TestSoak guards against invariants that hold only in the memory of one process: it makes a short run of the real programs, and
// runs every seed that has failed before.
func TestSoak(t *testing.T) {
	binary := buildBinary(t)
	runSeed := func(seed uint64, duration time.Duration) {
		checkRun(t, NewOptions(binary, t.TempDir(), seed, duration, func(line string) { t.Log(line) }))
	}
	runSeed(1, shortRun)
	for _, s := range regressionSeeds {
		t.Log(s.cause)
		runSeed(s.seed, s.duration)
	}
}

// TestSoakRestarts guards against a task that is placed again because its worker has restarted, while the next incarnation of that
// worker carries out a start that was meant for the former one: it makes a short run of the real programs in which workers crash. The
// workers have capacity to spare, so that such a task begins elsewhere at once.
func TestSoakRestarts(t *testing.T) {
	o := NewOptions(buildBinary(t), t.TempDir(), restartSeed, shortRestartRun, func(line string) { t.Log(line) })
	checkRun(t, o.WithSize(defaultEntries, 2*defaultAgents, defaultClients).WithSeries(SeriesRestarts))
}

// checkRun makes a run, in which jobs must be served and no invariant violated.
func checkRun(t *testing.T, o Options) {
	t.Helper()
	report, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d: %s", o.seed, report)
	if report.Jobs() == 0 || report.counts["answers 200 completed"] == 0 {
		t.Errorf("seed %d: nothing was served", o.seed)
	}
	for _, violation := range report.Violations() {
		t.Errorf("seed %d: %s", o.seed, violation)
	}
}

// TestPlan guards against a plan that depends on anything but its seed, and against stops that count as isolated and are not.
func TestPlan(t *testing.T) {
	lines := []string{}
	for _, f := range newPlan(7, 20*time.Second, SeriesMixed) {
		lines = append(lines, f.String())
	}
	for _, f := range newPlan(7, 12*time.Second, SeriesRestarts) {
		lines = append(lines, f.String())
	}
	kept := slices.DeleteFunc(newPlan(7, 20*time.Second, SeriesAll), func(f fault) bool { return f.kind >= faultWorkerCrashes })
	for i, f := range newPlan(7, 20*time.Second, SeriesMixed) {
		if f.String() != kept[i].String() {
			t.Errorf("%v became %v beside crashes", f, kept[i])
		}
	}
	stops := []fault{{at: 2 * time.Second, kind: faultStop}, {at: 20 * time.Second, kind: faultStop}, {at: 24 * time.Second, kind: faultKill}}
	for i := range stops {
		lines = append(lines, fmt.Sprintf("isolated %t", isIsolated(stops, i)))
	}
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "plan", []byte(strings.Join(lines, "\n")+"\n"))
}

// TestChecks guards against violations of invariants that the soak does not detect.
func TestChecks(t *testing.T) {
	Convey("Each violated invariant is reported as a line", t, func() {
		c := newChecks(func(string) {})
		submit := func(j *submittedJob, status int, state string) {
			j.submissions++
			c.checkAnswer(j, hibiscusplatformstandin.NewAnswer(status, state, ""))
		}
		notStarted := &submittedJob{id: "00000000000000a1", tasks: 2}
		submit(notStarted, 200, "completed")
		submit(notStarted, 200, "failed")
		submit(notStarted, 200, "running")
		submit(notStarted, 500, "")
		refusedOnce := &submittedJob{id: "00000000000000b2", tasks: 1}
		submit(refusedOnce, 503, "")
		retried := &submittedJob{id: "00000000000000c3", tasks: 1}
		submit(retried, 503, "")
		submit(retried, 504, "")
		w := hibiscusplatformstandin.NewWorker("worker", "", workerMillicores, c.observer)
		for _, j := range []*submittedJob{refusedOnce, retried} {
			w.StartRun(hibiscusplatformstandin.TaskName(j.id, 0), 1, "1h")
		}
		c.checkRefusals([]*submittedJob{notStarted, refusedOnce, retried})
		So(c.allViolations(), ShouldResemble, []string{
			"job 00000000000000a1 is called completed, and a task of it has not ended so",
			"job 00000000000000a1 is called failed after 0 failed runs of a task",
			`job 00000000000000a1 is answered 200 ""`,
			`job 00000000000000a1 is answered 500 ""`,
			"job 00000000000000b2 was refused 1 times, every time, and a task of it was started",
		})
	})
}

// TestUnansweredRequests guards against unanswered requests that are not reported as violations, and against one that is reported
// because an earlier submission has started the job at another entry (seed 1 on a loaded machine).
func TestUnansweredRequests(t *testing.T) {
	Convey("An unanswered request is a violation if it waited for long, or if it is the first submission and its job was started", t, func() {
		now := time.Now()
		violates := func(first, started bool, waited time.Duration) bool {
			return unansweredRequest{firstSubmission: first, sentAt: now, closedAt: now.Add(waited)}.isViolation(started)
		}
		So([]bool{violates(true, true, 0), violates(true, false, 0), violates(false, true, 0)}, ShouldResemble, []bool{true, false, false})
		So([]bool{violates(true, false, 2*maxUnansweredTime), violates(false, false, 2*maxUnansweredTime)}, ShouldResemble, []bool{true, true})
	})
}

// TestProxy guards against proxy modes with other effects than named, so that a run would not have the faults of its plan.
func TestProxy(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	defer server.Close()
	go echo(server)
	p, err := newProxy("127.0.0.1:0", server.Addr().String())
	must(t, err)
	defer p.close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", p.listener.Addr().String())
		must(t, err)
		return c
	}
	ask := func(c net.Conn) string {
		if _, err := fmt.Fprintln(c, "hello"); err != nil {
			return "write fails"
		}
		must(t, c.SetReadDeadline(time.Now().Add(2*proxyDelay+time.Second/2)))
		line, err := bufio.NewReader(c).ReadString('\n')
		switch {
		case err == nil:
			return strings.TrimSpace(line)
		case errors.Is(err, os.ErrDeadlineExceeded):
			return "silence"
		default:
			return "closed"
		}
	}
	Convey("Each mode has its effect, and connections that have dropped bytes keep dropping them", t, func() {
		first := dial()
		So(ask(first), ShouldEqual, "hello")
		p.setMode(modeDelay)
		began := time.Now()
		So(ask(first), ShouldEqual, "hello")
		So(time.Since(began), ShouldBeGreaterThan, 2*proxyDelay)
		p.setMode(modeDropAll)
		So(ask(first), ShouldEqual, "silence")
		p.setMode(modeForward)
		So(ask(first), ShouldEqual, "silence")
		second := dial()
		So(ask(second), ShouldEqual, "hello")
		p.resetAll()
		So(ask(second), ShouldNotEqual, "hello")
		p.setMode(modeRefuse)
		So(ask(dial()), ShouldNotEqual, "hello")
	})
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// echo returns each received line on the same connection.
func echo(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			lines := bufio.NewScanner(c)
			for lines.Scan() {
				if _, err := fmt.Fprintln(c, lines.Text()); err != nil {
					return
				}
			}
		}()
	}
}
