package hibiscuscoordination

import (
	"context"
	"time"

	"hibiscusrouter/hibiscusstate"
)

//go:generate stringer -type=StartResult,RunEnd -linecomment -output=leased_runs_string.go

// What an agent and an endpoint that runs orders under leases say to each other, without its encoding. Such an endpoint is
// told to start and to stop runs, and lists what runs and what has ended. Everything that it runs is killed when its lease
// expires, which only the agent renews.

// StartResult is what became of a request to start a run.
type StartResult int

// The verdicts; only StartAccepted means that the run began, and StartUnanswered that it may begin, now or seconds later.
const (
	StartAccepted    StartResult = iota // taken
	StartOutdated                       // outdated
	StartNoRoom                         // no_room
	StartRefused                        // refused
	StartUnreachable                    // unreachable
	StartUnanswered                     // unanswered
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

// EndpointIncarnation names one life of an endpoint. An endpoint that starts again has forgotten everything, under any name.
type EndpointIncarnation struct {
	id      string
	startMs int64
	address string
}

// NewEndpointIncarnation returns a life: the id under which the endpoint announces itself, the millisecond of its start, and the
// address where it takes requests.
func NewEndpointIncarnation(id string, born int64, address string) EndpointIncarnation {
	return EndpointIncarnation{id: id, startMs: born, address: address}
}

// ID returns the id under which the endpoint announces itself.
func (l EndpointIncarnation) ID() string { return l.id }

// StartMs returns the millisecond of the endpoint's start, on its own clock.
func (l EndpointIncarnation) StartMs() int64 { return l.startMs }

// Address returns where the endpoint takes requests, host and port.
func (l EndpointIncarnation) Address() string { return l.address }

// Announcement is what an endpoint says of itself.
type Announcement struct {
	incarnation EndpointIncarnation
	service     string
	resources   hibiscusstate.Resources
	draining    bool
	sequence    uint64
}

// NewAnnouncement returns an announcement; sequence rises with each one of a life, so that a late one is recognized.
func NewAnnouncement(life EndpointIncarnation, service string, room hibiscusstate.Resources, draining bool, sequence uint64) Announcement {
	return Announcement{incarnation: life, service: service, resources: room, draining: draining, sequence: sequence}
}

// Incarnation returns the life of the endpoint that speaks.
func (a Announcement) Incarnation() EndpointIncarnation { return a.incarnation }

// Service returns the service that the endpoint serves.
func (a Announcement) Service() string { return a.service }

// Resources returns what the endpoint offers.
func (a Announcement) Resources() hibiscusstate.Resources { return a.resources }

// StartRequest asks an endpoint to start a run.
type StartRequest struct {
	run     RunID
	payload []byte
	// leaseEndMs is the end of the lease, in milliseconds on the endpoint's clock.
	leaseEndMs int64
	epoch      uint64
}

// Epoch returns the epoch of the agent's orders; an endpoint does nothing for an epoch below the highest that it has seen.
func (r StartRequest) Epoch() uint64 { return r.epoch }

// Run returns the run to start.
func (r StartRequest) Run() RunID { return r.run }

// Payload returns the bytes that the client gave for the task.
func (r StartRequest) Payload() []byte { return r.payload }

// LeaseEndMs returns the end of the lease, in milliseconds on the endpoint's clock.
func (r StartRequest) LeaseEndMs() int64 { return r.leaseEndMs }

// PollRequest renews the lease of an endpoint and asks what it runs.
type PollRequest struct {
	leaseEndMs int64
	cursor     uint64
	wait       time.Duration
	epoch      uint64
}

// Epoch returns the epoch of the agent's orders.
func (r PollRequest) Epoch() uint64 { return r.epoch }

// LeaseEndMs returns the end of the lease, in milliseconds on the endpoint's clock; zero leaves the lease as it is.
func (r PollRequest) LeaseEndMs() int64 { return r.leaseEndMs }

// Cursor returns the number of the last end that the agent has taken note of.
func (r PollRequest) Cursor() uint64 { return r.cursor }

// Wait returns how long the endpoint may hold its answer back until a run ends.
func (r PollRequest) Wait() time.Duration { return r.wait }

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

// PollResponse is an endpoint's answer to a look.
type PollResponse struct {
	startMs int64
	clock   int64
	running []ListedRun
	ended   []ListedRun
}

// NewPollResponse returns an answer: the start of the endpoint and its clock, in milliseconds, what runs, and what has ended since
// the cursor of the look.
func NewPollResponse(born, clock int64, running, ended []ListedRun) PollResponse {
	return PollResponse{startMs: born, clock: clock, running: running, ended: ended}
}

// LeasedEndpointSeams are the function fields through which a LeasedEndpoint acts.
type LeasedEndpointSeams struct {
	start func(ctx context.Context, life EndpointIncarnation, r StartRequest) (verdict StartResult, clock int64)
	stop  func(ctx context.Context, life EndpointIncarnation, run RunID, epoch uint64) error
	poll  func(ctx context.Context, life EndpointIncarnation, r PollRequest) (PollResponse, error)
	offer func(service string, room hibiscusstate.Resources) error
	leave func() error
}

// NewLeasedEndpointSeams returns the seams: start, stop and look ask the endpoint; look returns ErrEndpointGone when nothing
// runs there any more, and ErrStaleEpoch when the endpoint has seen a higher epoch. offer and leave tell the agent what the
// endpoint offers, and that it takes no new work.
func NewLeasedEndpointSeams(
	start func(ctx context.Context, life EndpointIncarnation, r StartRequest) (verdict StartResult, clock int64),
	stop func(ctx context.Context, life EndpointIncarnation, run RunID, epoch uint64) error,
	look func(ctx context.Context, life EndpointIncarnation, r PollRequest) (PollResponse, error),
	offer func(service string, room hibiscusstate.Resources) error,
	leave func() error,
) LeasedEndpointSeams {
	return LeasedEndpointSeams{start: start, stop: stop, poll: look, offer: offer, leave: leave}
}
