package hibiscuscoordination

import (
	"context"
	"time"

	"hibiscusrouter/hibiscusstate"
)

//go:generate stringer -type=StartVerdict,RunEnd -linecomment -output=leased_runs_string.go

// What an agent and an endpoint that runs orders under leases say to each other, without its encoding. Such an endpoint is
// told to start and to stop runs, and lists what runs and what has ended. Everything that it runs is killed when its lease
// expires, which only the agent renews.

// StartVerdict is what became of a request to start a run.
type StartVerdict int

// The verdicts; only StartTaken means that the run began, and StartUnanswered that it may begin, now or seconds later.
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

// The ends. EndLapsed stands for every end that is neither the task's nor the agent's doing, and EndNotBegun for a request
// to start that is known to have no effect.
const (
	EndDone     RunEnd = iota // done
	EndFailed                 // failed
	EndStopped                // stopped
	EndLapsed                 // lapsed
	EndNotBegun               // not_begun
)

// RunID names one run of a task: the name of its job, its index in the job, and which run of the task it is, from one. A
// higher number is a later run.
type RunID struct {
	job    string
	index  int
	number int
}

// NewRunID returns the name of a run.
func NewRunID(job string, index, number int) RunID {
	return RunID{job: job, index: index, number: number}
}

// Job returns the name of the job.
func (r RunID) Job() string { return r.job }

// Index returns the index of the task in its job, from zero.
func (r RunID) Index() int { return r.index }

// Number returns which run of the task it is, from one.
func (r RunID) Number() int { return r.number }

// WorkerLife names one life of an endpoint. An endpoint that starts again has forgotten everything, under any name.
type WorkerLife struct {
	id      string
	born    int64
	address string
}

// NewWorkerLife returns a life: the id under which the endpoint announces itself, the millisecond of its start, and the
// address where it takes requests.
func NewWorkerLife(id string, born int64, address string) WorkerLife {
	return WorkerLife{id: id, born: born, address: address}
}

// ID returns the id under which the endpoint announces itself.
func (l WorkerLife) ID() string { return l.id }

// Born returns the millisecond of the endpoint's start, on its own clock.
func (l WorkerLife) Born() int64 { return l.born }

// Address returns where the endpoint takes requests, host and port.
func (l WorkerLife) Address() string { return l.address }

// Announcement is what an endpoint says of itself.
type Announcement struct {
	life     WorkerLife
	service  string
	room     hibiscusstate.Room
	draining bool
	sequence uint64
}

// NewAnnouncement returns an announcement; sequence rises with each one of a life, so that a late one is recognized.
func NewAnnouncement(life WorkerLife, service string, room hibiscusstate.Room, draining bool, sequence uint64) Announcement {
	return Announcement{life: life, service: service, room: room, draining: draining, sequence: sequence}
}

// Life returns the life of the endpoint that speaks.
func (a Announcement) Life() WorkerLife { return a.life }

// Service returns the service that the endpoint serves.
func (a Announcement) Service() string { return a.service }

// Room returns what the endpoint offers.
func (a Announcement) Room() hibiscusstate.Room { return a.room }

// StartRequest asks an endpoint to start a run.
type StartRequest struct {
	run     RunID
	payload []byte
	// until is the end of the lease, in milliseconds on the endpoint's clock.
	until int64
	epoch uint64
}

// Epoch returns the epoch of the agent's orders; an endpoint does nothing for an epoch below the highest that it has seen.
func (r StartRequest) Epoch() uint64 { return r.epoch }

// Run returns the run to start.
func (r StartRequest) Run() RunID { return r.run }

// Payload returns the bytes that the client gave for the task.
func (r StartRequest) Payload() []byte { return r.payload }

// Until returns the end of the lease, in milliseconds on the endpoint's clock.
func (r StartRequest) Until() int64 { return r.until }

// LookRequest renews the lease of an endpoint and asks what it runs.
type LookRequest struct {
	until  int64
	cursor uint64
	wait   time.Duration
	epoch  uint64
}

// Epoch returns the epoch of the agent's orders.
func (r LookRequest) Epoch() uint64 { return r.epoch }

// Until returns the end of the lease, in milliseconds on the endpoint's clock; zero leaves the lease as it is.
func (r LookRequest) Until() int64 { return r.until }

// Cursor returns the number of the last end that the agent has taken note of.
func (r LookRequest) Cursor() uint64 { return r.cursor }

// Wait returns how long the endpoint may hold its answer back until a run ends.
func (r LookRequest) Wait() time.Duration { return r.wait }

// ListedRun is a run in an endpoint's list.
type ListedRun struct {
	run     RunID
	percent int
	// sequence and end are set for a run that has ended; sequence counts the ends of a life from one.
	sequence uint64
	end      RunEnd
}

// NewRunningRun returns a run that goes on, with the percentage of its work that is done.
func NewRunningRun(run RunID, percent int) ListedRun { return ListedRun{run: run, percent: percent} }

// NewEndedRun returns a run that has ended, with the number of its end.
func NewEndedRun(run RunID, sequence uint64, end RunEnd) ListedRun {
	return ListedRun{run: run, sequence: sequence, end: end}
}

// Listing is an endpoint's answer to a look.
type Listing struct {
	born    int64
	clock   int64
	running []ListedRun
	ended   []ListedRun
}

// NewListing returns an answer: the start of the endpoint and its clock, in milliseconds, what runs, and what has ended since
// the cursor of the look.
func NewListing(born, clock int64, running, ended []ListedRun) Listing {
	return Listing{born: born, clock: clock, running: running, ended: ended}
}

// LeasedWorkerSeams are the function fields through which a LeasedWorker acts.
type LeasedWorkerSeams struct {
	start func(ctx context.Context, life WorkerLife, r StartRequest) (verdict StartVerdict, clock int64)
	stop  func(ctx context.Context, life WorkerLife, run RunID, epoch uint64) error
	look  func(ctx context.Context, life WorkerLife, r LookRequest) (Listing, error)
	offer func(service string, room hibiscusstate.Room) error
	leave func() error
}

// NewLeasedWorkerSeams returns the seams: start, stop and look ask the endpoint; look returns ErrEndpointGone when nothing
// runs there any more, and ErrEpochPassed when the endpoint has seen a higher epoch. offer and leave tell the agent what the
// endpoint offers, and that it takes no new work.
func NewLeasedWorkerSeams(
	start func(ctx context.Context, life WorkerLife, r StartRequest) (verdict StartVerdict, clock int64),
	stop func(ctx context.Context, life WorkerLife, run RunID, epoch uint64) error,
	look func(ctx context.Context, life WorkerLife, r LookRequest) (Listing, error),
	offer func(service string, room hibiscusstate.Room) error,
	leave func() error,
) LeasedWorkerSeams {
	return LeasedWorkerSeams{start: start, stop: stop, look: look, offer: offer, leave: leave}
}
