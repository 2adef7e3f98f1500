package hibiscuscoordination

import "time"

// A process reports a version that it has in force to all others at once, but not more often than once an interval: each report of an entry
// is a message to every process, and one of each agent to every entry. Of versions that follow each other within the interval, only the
// last one is reported.

const (
	// entryReportInterval is the least time between two reports of an entry. It adds to the time until a process that the table refuses
	// has a version.
	entryReportInterval = 250 * time.Millisecond
	// agentReportInterval is the one of an agent, from which others fetch a version only while no entry has it.
	agentReportInterval = time.Second
)

// versionReports decides when a process reports the version that it has in force. It belongs to an event loop.
type versionReports struct {
	interval   time.Duration
	pending    bool
	reportedAt time.Time
}

func newVersionReports(interval time.Duration) versionReports {
	return versionReports{interval: interval}
}

// markChanged records that another version is in force.
func (r *versionReports) markChanged() { r.pending = true }

// nextDue returns when the version in force is reported, the zero time while it has been.
func (r *versionReports) nextDue() time.Time {
	if !r.pending {
		return time.Time{}
	}
	return r.reportedAt.Add(r.interval)
}

// take reports whether the version in force is to be reported now.
func (r *versionReports) take(now time.Time) bool {
	if !r.pending || now.Before(r.nextDue()) {
		return false
	}
	r.pending, r.reportedAt = false, now
	return true
}
