package hibiscussoak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"hibiscusrouter/platform/hibiscusplatformstandin"
)

// Each version of the configuration has its own queue in addition to that of the clients. The queue that an entry accepts shows
// which version it has applied.

const (
	// versionStep is the difference between two versions. On the users' platform they are not consecutive either.
	versionStep = 3
	// probeInterval is the time between two probes of an entry, probeTimeout the timeout of one request, and maxProbedVersions how
	// many versions a probe tests, from the newest.
	probeInterval     = 200 * time.Millisecond
	probeTimeout      = 300 * time.Millisecond
	maxProbedVersions = 4
	// applyTimeout is how long an entry without faults may take to apply a new version, recoveryTimeout how long after the last
	// fault every entry must serve requests.
	applyTimeout    = 5 * time.Second
	recoveryTimeout = 12 * time.Second
	probeJobID      = "00000000000000ff"
)

func versionQueue(version int) string { return fmt.Sprintf("/v%d/", version) }

// configure writes the next version of the configuration to the store.
func (d *deployment) configure() {
	d.configMu.Lock()
	defer d.configMu.Unlock()
	version := versionStep * (len(d.versions) + 1)
	d.versions = append(d.versions, version)
	d.store.Put("op", "config", hibiscusplatformstandin.Configuration(version, jobPrefix, versionQueue(version)))
}

// newestVersions returns up to maxProbedVersions versions, the newest first.
func (d *deployment) newestVersions() []int {
	d.configMu.Lock()
	defer d.configMu.Unlock()
	newest := slices.Clone(d.versions[max(len(d.versions)-maxProbedVersions, 0):])
	slices.Reverse(newest)
	return newest
}

// probeVersion returns the version that an entry has applied, zero if its responses do not show one.
func (d *deployment) probeVersion(ctx context.Context, n *entryNode) int {
	for _, version := range d.newestVersions() {
		call, cancel := context.WithTimeout(ctx, probeTimeout)
		answer, err := hibiscusplatformstandin.Send(call, d.client, http.MethodGet, n.directAddress, versionQueue(version)+probeJobID, "",
			probeTimeout)
		cancel()
		if err != nil || answer.Status() != http.StatusGone && answer.Status() != http.StatusNotFound {
			return 0
		}
		if answer.Status() == http.StatusGone {
			return version
		}
	}
	return 0
}

// watchVersions checks until ctx is done that the version of an entry never decreases within one incarnation.
func (d *deployment) watchVersions(ctx context.Context, n *entryNode) {
	incarnation, last := 0, 0
	for ctx.Err() == nil {
		before, running := n.process.state()
		version := d.probeVersion(ctx, n)
		if after, still := n.process.state(); running && still && before == after && version > 0 {
			if before != incarnation {
				incarnation, last = before, 0
			}
			if version < last {
				d.checks.addViolation("%s answers by version %d after it has answered by %d", n.process.name, version, last)
			}
			last = max(last, version)
		}
		d.sleep(ctx, probeInterval)
	}
}

// checkRecovery checks, when all faults are over, that every entry applies a new version and serves requests.
func (d *deployment) checkRecovery(ctx context.Context) {
	d.configure()
	want := d.newestVersions()[0]
	began := time.Now()
	for i, n := range d.entries {
		for d.probeVersion(ctx, n) != want {
			if time.Since(began) > applyTimeout {
				d.checks.addViolation("%s does not answer by version %d after %v of calm", n.process.name, want, applyTimeout)
				break
			}
			d.sleep(ctx, probeInterval)
		}
		d.checkServes(ctx, n, i, began)
	}
}

// checkServes submits jobs to an entry until one is completed.
func (d *deployment) checkServes(ctx context.Context, n *entryNode, i int, began time.Time) {
	body, err := hibiscusplatformstandin.Job(maxJobTasks, "50ms")
	if err != nil {
		d.checks.addViolation("a job of the soak can't be written: %v", err)
		return
	}
	for attempt := 0; ; attempt++ {
		j := &submittedJob{id: fmt.Sprintf("%08x%08x", i+1, attempt), tasks: maxJobTasks, submissions: 1}
		call, cancel := context.WithTimeout(ctx, jobDeadline)
		answer, err := hibiscusplatformstandin.Send(call, d.client, http.MethodPost, n.directAddress, jobPrefix+j.id, body, jobDeadline)
		cancel()
		if err == nil {
			d.checks.checkAnswer(j, answer)
			if answer.State() == "completed" {
				return
			}
		}
		if time.Since(began) > recoveryTimeout {
			d.checks.addViolation("%s serves nothing %v after the last fault: %d, %v", n.process.name, recoveryTimeout, answer.Status(), err)
			return
		}
		d.sleep(ctx, probeInterval)
	}
}
