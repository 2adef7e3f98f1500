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
	binary  string
	dir     string
	seed    uint64
	length  time.Duration
	entries int
	agents  int
	clients int
	out     func(line string)
}

const (
	defaultEntries = 3
	defaultAgents  = 4
	defaultClients = 10
	// MaxProcesses bounds entries and agents together: a soak stays a small guest of its machine.
	MaxProcesses = 60
	// startTime is how long a deployment may take until its first entry serves.
	startTime = 10 * time.Second
)

// NewOptions returns a run of the usual size with the binary; logs and settings go to dir, lines to out.
func NewOptions(binary, dir string, seed uint64, length time.Duration, out func(line string)) Options {
	return Options{
		binary: binary, dir: dir, seed: seed, length: length, entries: defaultEntries, agents: defaultAgents, clients: defaultClients,
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
	broken []string
	jobs   int
	faults int
	counts map[string]int
}

// Broken returns the promises that were broken, with what was seen.
func (r Report) Broken() []string { return r.broken }

// Jobs returns how many jobs the clients handed in.
func (r Report) Jobs() int { return r.jobs }

// String returns the report in a line.
func (r Report) String() string {
	line := fmt.Sprintf("%d jobs, %d faults", r.jobs, r.faults)
	for _, what := range slices.Sorted(maps.Keys(r.counts)) {
		line += fmt.Sprintf(", %s: %d", what, r.counts[what])
	}
	return fmt.Sprintf("%s; %d promises broken", line, len(r.broken))
}

// Run plays one seed. An error means that the deployment could not be started; broken promises are in the report.
func Run(ctx context.Context, o Options) (Report, error) {
	c := newChecks(o.out)
	beating, stopBeats := context.WithCancel(ctx)
	defer stopBeats()
	f, err := newFleet(beating, o.dir, o.binary, o.entries, o.agents, c)
	if f != nil {
		defer f.close()
		defer stopBeats()
	}
	if err != nil {
		return Report{}, err
	}
	f.awaitStart(ctx)

	plan := newPlan(o.seed, o.length)
	c.note("seed %d: %d faults in %v, %d entries, %d agents, %d clients", o.seed, len(plan), o.length, o.entries, o.agents, o.clients)
	calling, stopCalls := context.WithTimeout(ctx, o.length)
	defer stopCalls()
	l := newClients(f, c)
	l.run(calling, o.clients, o.seed)
	var duties sync.WaitGroup
	watching, stopWatch := context.WithCancel(ctx)
	for _, n := range f.entries {
		duties.Go(func() { f.watchVersions(watching, n) })
	}
	f.play(ctx, plan)
	l.finish()
	f.checkCalm(ctx)
	stopping, stopStops := context.WithCancel(ctx)
	defer stopStops()
	l.run(stopping, o.clients, o.seed+1)
	f.stopCalmly(ctx, o.seed)
	stopStops()
	jobs := l.finish()
	stopWatch()
	duties.Wait()
	return Report{broken: c.broken(), jobs: jobs, faults: len(plan), counts: c.counts}, nil
}

// awaitStart waits until an entry serves.
func (f *fleet) awaitStart(ctx context.Context) {
	for began := time.Now(); f.versionAt(ctx, f.entries[0]) == 0; f.pause(ctx, probeEvery) {
		if time.Since(began) > startTime {
			f.checks.fault("the deployment does not serve %v after its start", startTime)
			return
		}
	}
}

// stopCalmly asks an entry and then an agent to stop, under load and with no other fault near.
func (f *fleet) stopCalmly(ctx context.Context, seed uint64) {
	f.pause(ctx, contactTime)
	entry, worker := f.entries[seed%uint64(len(f.entries))], f.workers[seed%uint64(len(f.workers))]
	for _, p := range []*process{entry.process, worker.process} {
		f.checks.note("calm stop of %s", p.name)
		f.stop(ctx, p, fault{kind: faultStop, calm: true})
	}
}

// play does the faults of a plan, each at its time, and returns when the last is over.
func (f *fleet) play(ctx context.Context, plan []fault) {
	began := time.Now()
	var playing sync.WaitGroup
	for _, x := range plan {
		f.pause(ctx, time.Until(began.Add(x.at)))
		playing.Go(func() { f.inject(ctx, x) })
	}
	playing.Wait()
}
