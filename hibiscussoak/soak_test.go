package hibiscussoak

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
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
)

// regressionSeeds are the seeds that have ever broken a promise, each with its cause. They are played for as long as they were
// when they did.
var regressionSeeds = []struct {
	seed   uint64
	length time.Duration
	cause  string
}{
	{412, 15 * time.Second, "a start without an answer is carried out by the next life of its worker, which has forgotten the stop"},
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

// TestSoak guards against promises that hold only in one process's memory: it plays a short run of the real programs, and every
// seed that has failed before.
func TestSoak(t *testing.T) {
	binary := buildBinary(t)
	play := func(seed uint64, length time.Duration) {
		report, err := Run(context.Background(), NewOptions(binary, t.TempDir(), seed, length, func(line string) { t.Log(line) }))
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("seed %d: %s", seed, report)
		if report.Jobs() == 0 || report.counts["answers 200 completed"] == 0 {
			t.Errorf("seed %d: nothing was served", seed)
		}
		for _, broken := range report.Broken() {
			t.Errorf("seed %d: %s", seed, broken)
		}
	}
	play(1, shortRun)
	for _, s := range regressionSeeds {
		t.Log(s.cause)
		play(s.seed, s.length)
	}
}

// TestPlan guards against a plan that changes with anything but its seed, and against calm stops that are not calm.
func TestPlan(t *testing.T) {
	lines := []string{}
	for _, f := range newPlan(7, 20*time.Second) {
		lines = append(lines, f.String())
	}
	stops := []fault{{at: 2 * time.Second, kind: faultStop}, {at: 20 * time.Second, kind: faultStop}, {at: 24 * time.Second, kind: faultKill}}
	for i := range stops {
		lines = append(lines, fmt.Sprintf("calm %t", isCalm(stops, i)))
	}
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "plan", []byte(strings.Join(lines, "\n")+"\n"))
}

// TestChecks guards against broken promises that the soak would not see.
func TestChecks(t *testing.T) {
	Convey("Each broken promise is a line", t, func() {
		c := newChecks(func(string) {})
		answer := func(j *tried, status int, state string) {
			j.tries++
			c.answered(j, hibiscusplatformstandin.NewAnswer(status, state, ""))
		}
		never := &tried{id: "00000000000000a1", tasks: 2}
		answer(never, 200, "completed")
		answer(never, 200, "failed")
		answer(never, 200, "running")
		answer(never, 500, "")
		ran := &tried{id: "00000000000000b2", tasks: 1}
		answer(ran, 503, "")
		again := &tried{id: "00000000000000c3", tasks: 1}
		answer(again, 503, "")
		answer(again, 504, "")
		w := hibiscusplatformstandin.NewWorker("worker", "", workerCores, c.seen)
		for _, j := range []*tried{ran, again} {
			w.StartRun(hibiscusplatformstandin.TaskName(j.id, 0), 1, "1h")
		}
		c.refusals([]*tried{never, ran, again})
		So(c.broken(), ShouldResemble, []string{
			"job 00000000000000a1 is called completed, and a task of it has not ended so",
			"job 00000000000000a1 is called failed after 0 failed runs of a task",
			`job 00000000000000a1 is answered 200 ""`,
			`job 00000000000000a1 is answered 500 ""`,
			"job 00000000000000b2 was refused 1 times, every time, and a task of it was started",
		})
	})
}

// TestCutRequests guards against cut requests that the soak forgives, and against one that it blames on a stop for a task that an
// earlier try has started at another entry (seed 1, beside a loaded machine).
func TestCutRequests(t *testing.T) {
	Convey("A cut is broken when it was held for long, or its own try was started", t, func() {
		now := time.Now()
		breaks := func(first, started bool, held time.Duration) bool {
			return cutRequest{first: first, sent: now, cut: now.Add(held)}.breaks(started)
		}
		So([]bool{breaks(true, true, 0), breaks(true, false, 0), breaks(false, true, 0)}, ShouldResemble, []bool{true, false, false})
		So([]bool{breaks(true, false, 2*lossSlack), breaks(false, false, 2*lossSlack)}, ShouldResemble, []bool{true, true})
	})
}

// TestProxy guards against a proxy whose modes do something else: the faults of a run would not be those of its plan.
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
	Convey("Each mode does what it says, and lost connections stay lost", t, func() {
		first := dial()
		So(ask(first), ShouldEqual, "hello")
		p.set(modeDelay)
		began := time.Now()
		So(ask(first), ShouldEqual, "hello")
		So(time.Since(began), ShouldBeGreaterThan, 2*proxyDelay)
		p.set(modeSilence)
		So(ask(first), ShouldEqual, "silence")
		p.set(modePass)
		So(ask(first), ShouldEqual, "silence")
		second := dial()
		So(ask(second), ShouldEqual, "hello")
		p.resetAll()
		So(ask(second), ShouldNotEqual, "hello")
		p.set(modeRefuse)
		So(ask(dial()), ShouldNotEqual, "hello")
	})
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// echo sends back what each connection sends.
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
