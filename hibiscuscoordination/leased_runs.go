package hibiscuscoordination

import (
	"context"
	"time"

	"hibiscusrouter/hibiscusstate"
)

//go:generate stringer -type=StartResult,RunEnd,EndEvidence -linecomment -output=leased_runs_string.go

// The requests of an agent to an endpoint that runs tasks under leases, and their answers, without their encoding. The agent
// starts and stops runs, and polls for the running and the ended ones. All runs are killed when the endpoint's lease expires,
// which only the agent renews.

// StartResult is the result of a request to start a run.
type StartResult int

// The results. StartAccepted means that the run began, and StartUnanswered that it may begin, possibly seconds later; after the
// others it does not begin.
const (
	StartAccepted    StartResult = iota // taken
	StartOutdated                       // outdated
	StartNoCapacity                     // no_room
	StartRefused                        // refused
	StartUnreachable                    // unreachable
	StartUnanswered                     // unanswered
)

// RunEnd is how a run ended.
type RunEnd int

// The ends. EndLapsed is an end that neither the task nor the agent caused, such as the expiry of the lease. EndNotBegun
// means that the start has no effect in the current incarnation of the endpoint.
const (
	EndDone     RunEnd = iota // done
	EndFailed                 // failed
	EndStopped                // stopped
	EndLapsed                 // lapsed
	EndNotBegun               // not_begun
)

// EndEvidence is why a run counts as ended.
type EndEvidence int

// The evidence. EvidenceListed is the endpoint's own list of ends, EvidenceMissing a list without the run, EvidenceRestarted the start of
// another incarnation, EvidenceRefused a refused connection or a
// response of another ID, and EvidenceLeaseExpired silence until the lease has expired.
const (
	EvidenceListed       EndEvidence = iota // listed
	EvidenceMissing                         // missing_from_list
	EvidenceRestarted                       // restarted
	EvidenceRefused                         // connection_refused
	EvidenceLeaseExpired                    // lease_expired
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

// EndpointIncarnation identifies one incarnation of an endpoint, from its start to its end. A restarted endpoint has no record of
// earlier runs, even under the same ID.
type EndpointIncarnation struct {
	id      string
	startMs int64
	address string
}

// NewEndpointIncarnation returns an incarnation: the ID under which the endpoint announces itself, the millisecond of its
// start, and the address where it accepts requests.
func NewEndpointIncarnation(id string, startMs int64, address string) EndpointIncarnation {
	return EndpointIncarnation{id: id, startMs: startMs, address: address}
}

// ID returns the ID under which the endpoint announces itself.
func (i EndpointIncarnation) ID() string { return i.id }

// StartMs returns when the endpoint started, in milliseconds of its own clock.
func (i EndpointIncarnation) StartMs() int64 { return i.startMs }

// Address returns the host and port where the endpoint accepts requests.
func (i EndpointIncarnation) Address() string { return i.address }

// Announcement is the state that an endpoint announces.
type Announcement struct {
	incarnation EndpointIncarnation
	service     string
	resources   hibiscusstate.Resources
	draining    bool
	sequence    uint64
	// remaining is how long a draining endpoint stays at least, cold how long it is slow after its start, and clock its clock in
	// milliseconds; each is zero if unknown.
	remaining time.Duration
	cold      time.Duration
	clock     int64
	rack      string
}

// NewAnnouncement returns an announcement; sequence rises with each one of an incarnation, so that an outdated one is detected.
func NewAnnouncement(
	incarnation EndpointIncarnation, service string, resources hibiscusstate.Resources, draining bool, sequence uint64,
) Announcement {
	return Announcement{incarnation: incarnation, service: service, resources: resources, draining: draining, sequence: sequence}
}

// WithNotice sets how long a draining endpoint stays at least, and the endpoint's clock in milliseconds when it announced that.
func (a Announcement) WithNotice(remaining time.Duration, clock int64) Announcement {
	a.remaining, a.clock = remaining, clock
	return a
}

// WithCold sets how much longer the endpoint is slow after its start.
func (a Announcement) WithCold(cold time.Duration) Announcement {
	a.cold = cold
	return a
}

// WithRack sets the rack of the endpoint.
func (a Announcement) WithRack(rack string) Announcement {
	a.rack = rack
	return a
}

// Incarnation returns the incarnation of the endpoint.
func (a Announcement) Incarnation() EndpointIncarnation { return a.incarnation }

// Service returns the name of the service whose tasks the endpoint runs.
func (a Announcement) Service() string { return a.service }

// Resources returns the resources that the endpoint offers.
func (a Announcement) Resources() hibiscusstate.Resources { return a.resources }

// StartRequest asks an endpoint to start a run.
type StartRequest struct {
	run     RunID
	payload []byte
	// leaseEndMs is the end of the lease, in milliseconds on the endpoint's clock.
	leaseEndMs int64
	epoch      uint64
}

// Epoch returns the epoch of the agent's requests; an endpoint ignores requests with an epoch below the highest that it has seen.
func (r StartRequest) Epoch() uint64 { return r.epoch }

// Run returns the run to start.
func (r StartRequest) Run() RunID { return r.run }

// Payload returns the client's input for the task.
func (r StartRequest) Payload() []byte { return r.payload }

// LeaseEndMs returns the end of the lease, in milliseconds on the endpoint's clock.
func (r StartRequest) LeaseEndMs() int64 { return r.leaseEndMs }

// PollRequest is a poll: it renews the lease of an endpoint and asks for its runs.
type PollRequest struct {
	leaseEndMs int64
	cursor     uint64
	wait       time.Duration
	epoch      uint64
}

// Epoch returns the epoch of the agent's requests.
func (r PollRequest) Epoch() uint64 { return r.epoch }

// LeaseEndMs returns the end of the lease, in milliseconds on the endpoint's clock; zero does not renew the lease.
func (r PollRequest) LeaseEndMs() int64 { return r.leaseEndMs }

// Cursor returns the sequence number of the last end that the agent has received.
func (r PollRequest) Cursor() uint64 { return r.cursor }

// Wait returns how long the endpoint may delay its answer until a run ends.
func (r PollRequest) Wait() time.Duration { return r.wait }

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

// PollResponse is an endpoint's answer to a poll.
type PollResponse struct {
	startMs int64
	clock   int64
	running []ListedRun
	ended   []ListedRun
}

// NewPollResponse returns an answer: the start of the endpoint and its clock, in milliseconds, the running runs, and those that
// have ended since the cursor of the poll.
func NewPollResponse(startMs, clock int64, running, ended []ListedRun) PollResponse {
	return PollResponse{startMs: startMs, clock: clock, running: running, ended: ended}
}

// runs returns the listed runs, in progress and ended.
func (r PollResponse) runs() map[RunID]bool {
	listed := make(map[RunID]bool, len(r.running)+len(r.ended))
	for _, list := range [][]ListedRun{r.running, r.ended} {
		for _, l := range list {
			listed[l.run] = true
		}
	}
	return listed
}

// Running returns the runs in progress.
func (r PollResponse) Running() []ListedRun { return r.running }

// Ended returns the runs that have ended since the cursor of the poll.
func (r PollResponse) Ended() []ListedRun { return r.ended }

// LeasedEndpointSeams are the function fields through which a LeasedEndpoint acts.
type LeasedEndpointSeams struct {
	start func(ctx context.Context, incarnation EndpointIncarnation, r StartRequest) (result StartResult, clock int64)
	stop  func(ctx context.Context, incarnation EndpointIncarnation, run RunID, epoch uint64) error
	poll  func(ctx context.Context, incarnation EndpointIncarnation, r PollRequest) (PollResponse, error)
	offer func(service string, resources hibiscusstate.Resources) error
	leave func(age, remaining time.Duration) error
	// locate is nil where racks are not known.
	locate func(rack string) error
}

// NewLeasedEndpointSeams returns the callbacks. start, stop and poll send requests to the endpoint; poll returns ErrEndpointGone
// when the endpoint is down, and ErrStaleEpoch when the endpoint has seen a higher epoch. offer and leave report to the agent
// which resources the endpoint offers, and that it announced age ago that it accepts no new tasks and stays for remaining.
func NewLeasedEndpointSeams(
	start func(ctx context.Context, incarnation EndpointIncarnation, r StartRequest) (result StartResult, clock int64),
	stop func(ctx context.Context, incarnation EndpointIncarnation, run RunID, epoch uint64) error,
	poll func(ctx context.Context, incarnation EndpointIncarnation, r PollRequest) (PollResponse, error),
	offer func(service string, resources hibiscusstate.Resources) error,
	leave func(age, remaining time.Duration) error,
) LeasedEndpointSeams {
	return LeasedEndpointSeams{start: start, stop: stop, poll: poll, offer: offer, leave: leave}
}

// WithLocate returns the callbacks with one that reports to the agent in which rack the endpoint is.
func (s LeasedEndpointSeams) WithLocate(locate func(rack string) error) LeasedEndpointSeams {
	s.locate = locate
	return s
}
