package hibiscussoak

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// Options say what a run is like.
type Options struct {
	binary   string
	dir      string
	seed     uint64
	duration time.Duration
	entries  int
	agents   int
	clients  int
	out      func(line string)
}

const (
	defaultEntries = 3
	defaultAgents  = 4
	defaultClients = 10
	// MaxProcesses bounds entries and agents together: a soak stays a small guest of its machine.
	MaxProcesses = 60
	// startTimeout is how long a deployment may take until its first entry serves.
	startTimeout = 10 * time.Second
)

// NewOptions returns a run of the usual size with the binary; logs and settings go to dir, lines to out.
func NewOptions(binary, dir string, seed uint64, length time.Duration, out func(line string)) Options {
	return Options{
		binary: binary, dir: dir, seed: seed, duration: length, entries: defaultEntries, agents: defaultAgents, clients: defaultClients,
		out: out,
	}
}

// WithSize sets how many entries, agents and clients there are.
func (o Options) WithSize(entries, agents, clients int) Options {
	o.entries, o.agents, o.clients = entries, agents, clients
	return o
}

// Report is the result of a run.
type Report struct {
	violations []string
	jobs       int
	faults     int
	counts     map[string]int
}

// Violations returns the promises that were broken, with what was seen.
func (r Report) Violations() []string { return r.violations }

// Jobs returns how many jobs the clients handed in.
func (r Report) Jobs() int { return r.jobs }

// String returns the report in a line.
func (r Report) String() string {
	line := fmt.Sprintf("%d jobs, %d faults", r.jobs, r.faults)
	for _, what := range slices.Sorted(maps.Keys(r.counts)) {
		line += fmt.Sprintf(", %s: %d", what, r.counts[what])
	}
	return fmt.Sprintf("%s; %d promises broken", line, len(r.violations))
}

// Run plays one seed. An error means that the deployment could not be started; broken promises are in the report.
func Run(ctx context.Context, o Options) (Report, error) {
	c := newChecks(o.out)
	beating, stopBeats := context.WithCancel(ctx)
	defer stopBeats()
	f, err := newDeployment(beating, o.dir, o.binary, o.entries, o.agents, c)
	if f != nil {
		defer f.close()
		defer stopBeats()
	}
	if err != nil {
		return Report{}, err
	}
	f.awaitStart(ctx)

	plan := newPlan(o.seed, o.duration)
	c.logf("seed %d: %d faults in %v, %d entries, %d agents, %d clients", o.seed, len(plan), o.duration, o.entries, o.agents, o.clients)
	calling, stopCalls := context.WithTimeout(ctx, o.duration)
	defer stopCalls()
	l := newClients(f, c)
	l.run(calling, o.clients, o.seed)
	var duties sync.WaitGroup
	watching, stopWatch := context.WithCancel(ctx)
	for _, n := range f.entries {
		duties.Go(func() { f.watchVersions(watching, n) })
	}
	f.injectAll(ctx, plan)
	l.finish()
	f.checkRecovery(ctx)
	stopping, stopStops := context.WithCancel(ctx)
	defer stopStops()
	l.run(stopping, o.clients, o.seed+1)
	f.checkIsolatedStops(ctx, o.seed)
	stopStops()
	jobs := l.finish()
	stopWatch()
	duties.Wait()
	return Report{violations: c.allViolations(), jobs: jobs, faults: len(plan), counts: c.counts}, nil
}

// awaitStart waits until an entry serves.
func (f *deployment) awaitStart(ctx context.Context) {
	for began := time.Now(); f.probeVersion(ctx, f.entries[0]) == 0; f.sleep(ctx, probeInterval) {
		if time.Since(began) > startTimeout {
			f.checks.addViolation("the deployment does not serve %v after its start", startTimeout)
			return
		}
	}
}

// checkIsolatedStops asks an entry and then an agent to stop, under load and with no other fault near.
func (f *deployment) checkIsolatedStops(ctx context.Context, seed uint64) {
	f.sleep(ctx, isolationTime)
	entry, worker := f.entries[seed%uint64(len(f.entries))], f.workers[seed%uint64(len(f.workers))]
	for _, p := range []*process{entry.process, worker.process} {
		f.checks.logf("calm stop of %s", p.name)
		f.stopAndRestart(ctx, p, fault{kind: faultStop, isolated: true})
	}
}

// play does the faults of a plan, each at its time, and returns when the last is over.
func (f *deployment) injectAll(ctx context.Context, plan []fault) {
	began := time.Now()
	var playing sync.WaitGroup
	for _, x := range plan {
		f.sleep(ctx, time.Until(began.Add(x.at)))
		playing.Go(func() { f.inject(ctx, x) })
	}
	playing.Wait()
}
