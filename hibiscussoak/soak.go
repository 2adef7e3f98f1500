package hibiscussoak

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// Options configure a run.
type Options struct {
	binary   string
	dir      string
	seed     uint64
	duration time.Duration
	entries  int
	agents   int
	clients  int
	series   Series
	out      func(line string)
}

// Series selects the faults of a run.
type Series int

// The series. SeriesMixed has all faults but the crashes of workers, SeriesRestarts has only these, in quick succession.
const (
	SeriesMixed Series = iota
	SeriesRestarts
	SeriesAll
)

const (
	defaultEntries = 3
	defaultAgents  = 4
	defaultClients = 10
	// MaxProcesses bounds entries and agents together, so that a soak leaves most of the machine to others.
	MaxProcesses = 60
	// startTimeout is how long a deployment may take until its first entry serves requests.
	startTimeout = 10 * time.Second
)

// NewOptions returns the options of a run of the binary with the default size. Logs and settings are written to dir; out receives
// the printed lines.
func NewOptions(binary, dir string, seed uint64, duration time.Duration, out func(line string)) Options {
	return Options{
		binary: binary, dir: dir, seed: seed, duration: duration, entries: defaultEntries, agents: defaultAgents, clients: defaultClients,
		out: out,
	}
}

// WithSize sets the numbers of entries, agents and clients.
func (o Options) WithSize(entries, agents, clients int) Options {
	o.entries, o.agents, o.clients = entries, agents, clients
	return o
}

// WithSeries sets the faults.
func (o Options) WithSeries(s Series) Options {
	o.series = s
	return o
}

// Report is the result of a run.
type Report struct {
	violations []string
	jobs       int
	faults     int
	counts     map[string]int
}

// Violations returns the violated invariants, with what was observed.
func (r Report) Violations() []string { return r.violations }

// Jobs returns how many jobs the clients submitted.
func (r Report) Jobs() int { return r.jobs }

// String returns the report as one line.
func (r Report) String() string {
	line := fmt.Sprintf("%d jobs, %d faults", r.jobs, r.faults)
	for _, key := range slices.Sorted(maps.Keys(r.counts)) {
		line += fmt.Sprintf(", %s: %d", key, r.counts[key])
	}
	return fmt.Sprintf("%s; %d promises broken", line, len(r.violations))
}

// Run runs one seed. An error means that the deployment could not be started; violated invariants are in the report.
func Run(ctx context.Context, o Options) (Report, error) {
	c := newChecks(o.out)
	announceCtx, stopAnnouncing := context.WithCancel(ctx)
	defer stopAnnouncing()
	d, err := newDeployment(announceCtx, o.dir, o.binary, o.entries, o.agents, c)
	if d != nil {
		defer d.close()
		defer stopAnnouncing()
	}
	if err != nil {
		return Report{}, err
	}
	d.awaitStart(ctx)

	plan := newPlan(o.seed, o.duration, o.series)
	c.logf("seed %d: %d faults in %v, %d entries, %d agents, %d clients", o.seed, len(plan), o.duration, o.entries, o.agents, o.clients)
	clientCtx, stopClients := context.WithTimeout(ctx, o.duration)
	defer stopClients()
	l := newClients(d, c)
	l.run(clientCtx, o.clients, o.seed)
	var watchers sync.WaitGroup
	watchCtx, stopWatchers := context.WithCancel(ctx)
	for _, n := range d.entries {
		watchers.Go(func() { d.watchVersions(watchCtx, n) })
	}
	d.injectAll(ctx, plan)
	l.finish()
	d.checkRecovery(ctx)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	l.run(loadCtx, o.clients, o.seed+1)
	d.checkPlaces(ctx, o.seed)
	d.checkIsolatedStops(ctx, o.seed)
	stopLoad()
	jobs := l.finish()
	stopWatchers()
	watchers.Wait()
	for _, violation := range d.placeViolations() {
		c.addViolation("%s", violation)
	}
	return Report{violations: c.allViolations(), jobs: jobs, faults: len(plan), counts: c.counts}, nil
}

// awaitStart waits until the first entry serves requests.
func (d *deployment) awaitStart(ctx context.Context) {
	for began := time.Now(); d.probeVersion(ctx, d.entries[0]) == 0; d.sleep(ctx, probeInterval) {
		if time.Since(began) > startTimeout {
			d.checks.addViolation("the deployment does not serve %v after its start", startTimeout)
			return
		}
	}
}

// checkIsolatedStops stops and restarts an entry and then an agent, under load and without any other fault at that time.
func (d *deployment) checkIsolatedStops(ctx context.Context, seed uint64) {
	d.sleep(ctx, isolationTime)
	entry, worker := d.entries[seed%uint64(len(d.entries))], d.workers[seed%uint64(len(d.workers))]
	for _, p := range []*process{entry.process, worker.process} {
		d.checks.logf("calm stop of %s", p.name)
		d.stopAndRestart(ctx, p, fault{kind: faultStop, isolated: true})
	}
}

// injectAll injects the faults of a plan, each at its time, and returns when the last one is over.
func (d *deployment) injectAll(ctx context.Context, plan []fault) {
	began := time.Now()
	var injections sync.WaitGroup
	for _, x := range plan {
		d.sleep(ctx, time.Until(began.Add(x.at)))
		injections.Go(func() { d.inject(ctx, x) })
	}
	injections.Wait()
}
