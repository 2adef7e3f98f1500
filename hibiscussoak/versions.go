package hibiscussoak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"hibiscusrouter/platform/hibiscusplatformstandin"
)

// Each version of the configuration has a queue of its own beside the one of the clients. By which of these queues an entry knows
// one sees by which version it answers.

const (
	// versionStep is the difference between two versions, which rise in steps on the users' platform.
	versionStep = 3
	// probeInterval is how often each entry is asked, probeTimeout how long it may take, and maxProbedVersions how many versions are
	// asked for, from the newest.
	probeInterval     = 200 * time.Millisecond
	probeTimeout      = 300 * time.Millisecond
	maxProbedVersions = 4
	// applyTimeout is within which time a calm entry follows a new version, and recoveryTimeout within which time after the last fault
	// every entry serves again.
	applyTimeout    = 5 * time.Second
	recoveryTimeout = 12 * time.Second
	probeJobID      = "00000000000000ff"
)

func versionQueue(version int) string { return fmt.Sprintf("/v%d/", version) }

// configure writes the next version.
func (f *deployment) configure() {
	f.configMu.Lock()
	defer f.configMu.Unlock()
	version := versionStep * (len(f.versions) + 1)
	f.versions = append(f.versions, version)
	f.store.Put("op", "config", hibiscusplatformstandin.Configuration(version, jobPrefix, versionQueue(version)))
}

// newest returns the newest versions, the newest first.
func (f *deployment) newestVersions() []int {
	f.configMu.Lock()
	defer f.configMu.Unlock()
	newest := slices.Clone(f.versions[max(len(f.versions)-maxProbedVersions, 0):])
	slices.Reverse(newest)
	return newest
}

// probeVersion returns by which version an entry answers, zero when it does not say.
func (f *deployment) probeVersion(ctx context.Context, n *entryNode) int {
	for _, version := range f.newestVersions() {
		call, cancel := context.WithTimeout(ctx, probeTimeout)
		answer, err := hibiscusplatformstandin.Send(call, f.client, http.MethodGet, n.directAddress, versionQueue(version)+probeJobID, "", probeTimeout)
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

// watchVersions looks until ctx is done whether an entry goes back behind a version in one life.
func (f *deployment) watchVersions(ctx context.Context, n *entryNode) {
	life, last := 0, 0
	for ctx.Err() == nil {
		before, running := n.process.state()
		version := f.probeVersion(ctx, n)
		if after, still := n.process.state(); running && still && before == after && version > 0 {
			if before != life {
				life, last = before, 0
			}
			if version < last {
				f.checks.addViolation("%s answers by version %d after it has answered by %d", n.process.name, version, last)
			}
			last = max(last, version)
		}
		f.sleep(ctx, probeInterval)
	}
}

// checkRecovery checks, when all faults are over, that every entry follows the newest version and serves.
func (f *deployment) checkRecovery(ctx context.Context) {
	f.configure()
	want := f.newestVersions()[0]
	began := time.Now()
	for i, n := range f.entries {
		for f.probeVersion(ctx, n) != want {
			if time.Since(began) > applyTimeout {
				f.checks.addViolation("%s does not answer by version %d after %v of calm", n.process.name, want, applyTimeout)
				break
			}
			f.sleep(ctx, probeInterval)
		}
		f.checkServes(ctx, n, i, began)
	}
}

// checkServes hands jobs in at an entry until one is completed.
func (f *deployment) checkServes(ctx context.Context, n *entryNode, i int, began time.Time) {
	body, err := hibiscusplatformstandin.Job(maxJobTasks, "50ms")
	if err != nil {
		f.checks.addViolation("a job of the soak can't be written: %v", err)
		return
	}
	for try := 0; ; try++ {
		j := &submittedJob{id: fmt.Sprintf("%08x%08x", i+1, try), tasks: maxJobTasks, submissions: 1}
		call, cancel := context.WithTimeout(ctx, jobDeadline)
		answer, err := hibiscusplatformstandin.Send(call, f.client, http.MethodPost, n.directAddress, jobPrefix+j.id, body, jobDeadline)
		cancel()
		if err == nil {
			f.checks.checkAnswer(j, answer)
			if answer.State() == "completed" {
				return
			}
		}
		if time.Since(began) > recoveryTimeout {
			f.checks.addViolation("%s serves nothing %v after the last fault: %d, %v", n.process.name, recoveryTimeout, answer.Status(), err)
			return
		}
		f.sleep(ctx, probeInterval)
	}
}
