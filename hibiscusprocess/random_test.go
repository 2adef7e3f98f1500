package hibiscusprocess

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// The random session draws operations and failures from a seed, and the observer checks the invariants.
// -failure-seeds sets the number of seeds, and -failure-first the first one.

var (
	failureSeeds = flag.Int("failure-seeds", 40, "number of seeds of TestRandomFailures")
	failureFirst = flag.Int("failure-first", 0, "first seed of TestRandomFailures")
)

// randomSession is a deployment with the jobs that were submitted to it.
type randomSession struct {
	*deployment
	rt          *rapid.T
	keys        []string
	bodies      map[string]string
	liveEntries []string
	workers     []string
	waits       []func()
	lastCaller  int
}

func (r *randomSession) drawName(names []string, what string) string {
	return rapid.SampledFrom(names).Draw(r.rt, what)
}

func (r *randomSession) drawDuration(low, high int, what string) time.Duration {
	return time.Duration(rapid.IntRange(low, high).Draw(r.rt, what)) * time.Millisecond
}

// runCaller runs f in its own goroutine as a new caller; the session waits for it before it ends.
func (r *randomSession) runCaller(f func(caller string)) {
	r.lastCaller++
	caller := fmt.Sprintf("caller %d", r.lastCaller)
	r.waits = append(r.waits, r.background(func() { f(caller) }))
}

func (r *randomSession) submitNew() {
	entry := r.drawName(r.liveEntries, "entry")
	key := r.key(entry, fmt.Sprintf("key-%d", len(r.keys)+1))
	if key == "" {
		return
	}
	task := fmt.Sprintf(`{"kind":"%s","payload":{"run_ms":%d,"mark":"%s"}}`,
		rapid.SampledFrom([]string{"list_sync", "photo_match"}).Draw(r.rt, "kind"), r.drawDuration(5, 900, "run").Milliseconds(), key)
	tasks := strings.TrimSuffix(strings.Repeat(task+",", rapid.IntRange(1, 9).Draw(r.rt, "tasks")), ",")
	body := fmt.Sprintf(`{"team":"nokkhao","service":"sighting","deadline_ms":%d,"tasks":[%s]}`,
		r.drawDuration(300, 6000, "deadline").Milliseconds(), tasks)
	r.keys = append(r.keys, key)
	r.bodies[key] = body
	to := r.drawName(r.liveEntries, "to")
	r.runCaller(func(caller string) { r.submit(caller, to, key, body) })
}

// reuseKey submits, fetches or cancels under an earlier key, at a random entry.
func (r *randomSession) reuseKey() {
	if len(r.keys) == 0 {
		return
	}
	key, entry := r.drawName(r.keys, "key"), r.drawName(r.liveEntries, "entry")
	operation := rapid.IntRange(0, 9).Draw(r.rt, "what")
	r.runCaller(func(caller string) {
		switch {
		case operation < 6:
			r.submit(caller, entry, key, r.bodies[key])
		case operation < 8:
			r.fetch(caller, entry, key)
		default:
			r.cancel(caller, entry, key)
		}
	})
}

// killEntry and killWorker end a process without a graceful stop; after a pause another one starts at the same address.
func (r *randomSession) killEntry() {
	name := r.drawName(r.liveEntries, "entry")
	r.kill(name)
	time.Sleep(r.drawDuration(0, 300, "down"))
	r.startEntry(name)
}

func (r *randomSession) killWorker() {
	name := r.drawName(r.workers, "worker")
	r.kill(name, name+"/endpoint")
	time.Sleep(r.drawDuration(0, 300, "down"))
	r.startWorker(name, 2)
}

func (r *randomSession) injectFailure() {
	address := r.drawName(r.liveEntries, "at") + ":7200"
	switch rapid.IntRange(0, 6).Draw(r.rt, "failure") {
	case 0:
		r.killEntry()
	case 1:
		r.killWorker()
	case 2:
		r.network.Silence(address, rapid.Bool().Draw(r.rt, "up"), rapid.Bool().Draw(r.rt, "down"))
	case 3:
		r.network.Cut(address)
	case 4:
		host := r.nodes[r.drawName(append(r.liveEntries, r.workers...), "frozen")].host
		host.Freeze(true)
		pause := r.drawDuration(50, 3500, "pause")
		r.runCaller(func(string) {
			time.Sleep(pause)
			host.Freeze(false)
		})
	case 5:
		name := r.drawName(r.workers, "leaves")
		r.terminate(name + "/endpoint")
		r.startEndpoint(name, 2)
	default:
		r.network.Cut(r.drawName(r.liveEntries, "callers of") + ":7100")
	}
}

// runSteps runs the session and returns the faults that the observer detected.
func (r *randomSession) runSteps(t *testing.T) []string {
	var faults []string
	synctest.Test(t, func(t *testing.T) {
		r.deployment = newDeployment(t)
		r.startProcesses(2, 2)
		r.liveEntries, r.workers, r.bodies = []string{"10.0.1.1", "10.0.1.2"}, []string{"10.0.2.1", "10.0.2.2"}, map[string]string{}
		for range rapid.IntRange(5, 25).Draw(r.rt, "steps") {
			switch step := rapid.IntRange(0, 9).Draw(r.rt, "step"); {
			case step < 4:
				r.submitNew()
			case step < 7:
				r.reuseKey()
			default:
				r.injectFailure()
			}
			time.Sleep(r.drawDuration(0, 400, "pass"))
		}
		for _, wait := range r.waits {
			wait()
		}
		for _, key := range r.keys {
			r.fetch("reader", r.drawName(r.liveEntries, "entry"), key)
		}
		r.stop()
		r.goroutines.Wait()
		faults = r.observer.faults()
	})
	return faults
}

// TestRandomFailures guards against violated invariants under combinations of failures that the other sessions do not have: a
// task that is started twice, a job that is reported as complete with unfinished tasks, a started task that is reported as not
// run, answers that contradict each other.
func TestRandomFailures(t *testing.T) {
	for seed := *failureFirst; seed < *failureFirst+*failureSeeds; seed++ {
		rapid.Custom(func(rt *rapid.T) int {
			r := &randomSession{rt: rt}
			if faults := r.runSteps(t); len(faults) > 0 {
				t.Errorf("seed %d: %s\n%s", seed, strings.Join(faults, "; "), strings.Join(r.transcript, "\n"))
			}
			return 0
		}).Example(seed)
	}
}
