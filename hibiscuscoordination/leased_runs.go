package hibiscuscoordination

import (
	"context"
	"time"

	"hibiscusrouter/hibiscusstate"
)

//go:generate stringer -type=StartVerdict,RunEnd -linecomment -output=leased_runs_string.go

// The requests of an agent to an endpoint that runs tasks under leases, and their answers, without their encoding. The agent
// starts and stops runs, and polls for the running and the ended ones. All runs are killed when the endpoint's lease expires,
// which only the agent renews.

// StartVerdict is the result of a request to start a run.
type StartVerdict int

// The results. StartTaken means that the run began, and StartUnanswered that it may begin, possibly seconds later; after the
// others it does not begin.
const (
	StartTaken       StartVerdict = iota // taken
	StartOutdated                        // outdated
	StartNoRoom                          // no_room
	StartRefused                         // refused
	StartUnreachable                     // unreachable
	StartUnanswered                      // unanswered
)

// RunEnd is how a run ended.
type RunEnd int

// The ends. EndLapsed is an end that neither the task nor the agent caused, such as the expiry of the lease. EndNotBegun is
// that of a start request which certainly has no effect.
const (
	EndDone     RunEnd = iota // done
	EndFailed                 // failed
	EndStopped                // stopped
	EndLapsed                 // lapsed
	EndNotBegun               // not_begun
)

// RunID identifies one run of a task: the name of its job, its index in the job, and the number of the run, from one. A
// higher number is a later run.
type RunID struct {
	job    string
	index  int
	number int
}

// NewRunID returns the ID of a run.
func NewRunID(job string, index, number int) RunID {
	return RunID{job: job, index: index, number: number}
}

// Job returns the name of the job.
func (r RunID) Job() string { return r.job }

// Index returns the index of the task in its job, from zero.
func (r RunID) Index() int { return r.index }

// Number returns the number of the run among those of the task, from one.
func (r RunID) Number() int { return r.number }

// WorkerLife identifies one incarnation of an endpoint, from its start to its end. A restarted endpoint has no record of
// earlier runs, even under the same ID.
type WorkerLife struct {
	id      string
	born    int64
	address string
}

// NewWorkerLife returns an incarnation: the ID under which the endpoint announces itself, the millisecond of its start, and
// the address where it accepts requests.
func NewWorkerLife(id string, startMs int64, address string) WorkerLife {
	return WorkerLife{id: id, born: startMs, address: address}
}

// ID returns the ID under which the endpoint announces itself.
func (i WorkerLife) ID() string { return i.id }

// Born returns the millisecond of the endpoint's start, on its own clock.
func (i WorkerLife) Born() int64 { return i.born }

// Address returns the host and port where the endpoint accepts requests.
func (i WorkerLife) Address() string { return i.address }

// Announcement is the state that an endpoint announces.
type Announcement struct {
	life     WorkerLife
	service  string
	room     hibiscusstate.Room
	draining bool
	sequence uint64
}

// NewAnnouncement returns an announcement; sequence rises with each one of an incarnation, so that an outdated one is detected.
func NewAnnouncement(incarnation WorkerLife, service string, resources hibiscusstate.Room, draining bool, sequence uint64) Announcement {
	return Announcement{life: incarnation, service: service, room: resources, draining: draining, sequence: sequence}
}

// Life returns the incarnation of the endpoint.
func (a Announcement) Life() WorkerLife { return a.life }

// Service returns the name of the service whose tasks the endpoint runs.
func (a Announcement) Service() string { return a.service }

// Room returns the resources that the endpoint offers.
func (a Announcement) Room() hibiscusstate.Room { return a.room }

// StartRequest asks an endpoint to start a run.
type StartRequest struct {
	run     RunID
	payload []byte
	// until is the end of the lease, in milliseconds on the endpoint's clock.
	until int64
	epoch uint64
}

// Epoch returns the epoch of the agent's requests; an endpoint ignores requests with an epoch below the highest that it has seen.
func (r StartRequest) Epoch() uint64 { return r.epoch }

// Run returns the run to start.
func (r StartRequest) Run() RunID { return r.run }

// Payload returns the client's input for the task.
func (r StartRequest) Payload() []byte { return r.payload }

// Until returns the end of the lease, in milliseconds on the endpoint's clock.
func (r StartRequest) Until() int64 { return r.until }

// LookRequest is a poll: it renews the lease of an endpoint and asks for its runs.
type LookRequest struct {
	until  int64
	cursor uint64
	wait   time.Duration
	epoch  uint64
}

// Epoch returns the epoch of the agent's requests.
func (r LookRequest) Epoch() uint64 { return r.epoch }

// Until returns the end of the lease, in milliseconds on the endpoint's clock; zero does not renew the lease.
func (r LookRequest) Until() int64 { return r.until }

// Cursor returns the sequence number of the last end that the agent has received.
func (r LookRequest) Cursor() uint64 { return r.cursor }

// Wait returns how long the endpoint may delay its answer until a run ends.
func (r LookRequest) Wait() time.Duration { return r.wait }

// ListedRun is a run in an endpoint's list.
type ListedRun struct {
	run     RunID
	percent int
	// sequence and end are set for a run that has ended; sequence counts the ends of an incarnation from one.
	sequence uint64
	end      RunEnd
}

// NewRunningRun returns a run in progress, with the percentage of its work that is done.
func NewRunningRun(run RunID, percent int) ListedRun { return ListedRun{run: run, percent: percent} }

// NewEndedRun returns a run that has ended, with the sequence number of its end.
func NewEndedRun(run RunID, sequence uint64, end RunEnd) ListedRun {
	return ListedRun{run: run, sequence: sequence, end: end}
}

// Listing is an endpoint's answer to a poll.
type Listing struct {
	born    int64
	clock   int64
	running []ListedRun
	ended   []ListedRun
}

// NewListing returns an answer: the start of the endpoint and its clock, in milliseconds, the running runs, and those that
// have ended since the cursor of the poll.
func NewListing(startMs, clock int64, running, ended []ListedRun) Listing {
	return Listing{born: startMs, clock: clock, running: running, ended: ended}
}

// LeasedWorkerSeams are the function fields through which a LeasedWorker acts.
type LeasedWorkerSeams struct {
	start func(ctx context.Context, incarnation WorkerLife, r StartRequest) (result StartVerdict, clock int64)
	stop  func(ctx context.Context, incarnation WorkerLife, run RunID, epoch uint64) error
	look  func(ctx context.Context, incarnation WorkerLife, r LookRequest) (Listing, error)
	offer func(service string, resources hibiscusstate.Room) error
	leave func() error
}

// NewLeasedWorkerSeams returns the callbacks. start, stop and poll send requests to the endpoint; poll returns ErrEndpointGone
// when no run goes on there, and ErrEpochPassed when the endpoint has seen a higher epoch. offer and leave report to the agent
// which resources the endpoint offers, and that it accepts no new tasks.
func NewLeasedWorkerSeams(
	start func(ctx context.Context, incarnation WorkerLife, r StartRequest) (result StartVerdict, clock int64),
	stop func(ctx context.Context, incarnation WorkerLife, run RunID, epoch uint64) error,
	look func(ctx context.Context, incarnation WorkerLife, r LookRequest) (Listing, error),
	offer func(service string, resources hibiscusstate.Room) error,
	leave func() error,
) LeasedWorkerSeams {
	return LeasedWorkerSeams{start: start, stop: stop, look: look, offer: offer, leave: leave}
}
