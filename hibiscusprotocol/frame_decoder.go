package hibiscusprotocol

import (
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusprotocol/hibiscuswire"
	"hibiscusrouter/hibiscusstate"
)

// frameDecoder converts the fields of a frame, and keeps the first error.
type frameDecoder struct {
	err error
}

func (in *frameDecoder) fail(format string, args ...any) {
	if in.err == nil {
		in.err = errors.Mark(errors.Newf(format, args...), ErrBadFrame)
	}
}

// enum checks a value against the last one of its enum.
func enum[T ~int](in *frameDecoder, name string, value int32, last T) T {
	if value < 0 || T(value) > last {
		in.fail("%s %d is out of range", name, value)
		return 0
	}
	return T(value)
}

func (in *frameDecoder) nonNegative(name string, value int32) int {
	if value < 0 {
		in.fail("%s %d is negative", name, value)
		return 0
	}
	return int(value)
}

func microseconds(us int64) time.Duration {
	const most = int64(time.Duration(1<<63-1) / time.Microsecond)
	return time.Duration(min(max(us, -most), most)) * time.Microsecond
}

// timing decodes the timing of a frame; a stamp that is out of range counts as none.
func (in *frameDecoder) timing(f *hibiscuswire.Frame) hibiscuscoordination.Timing {
	stamp := func(us uint64) time.Duration { return microseconds(int64(min(us, math.MaxInt64))) }
	return hibiscuscoordination.NewTiming(stamp(f.GetSentUs()), stamp(f.GetEchoUs()), microseconds(f.GetHeldUs()))
}

func (in *frameDecoder) key(k *hibiscuswire.Key) hibiscusstate.SubmissionKey {
	if k == nil {
		in.fail("frame has no submission key")
	}
	return hibiscusstate.NewSubmissionKey(hibiscusstate.Incarnation(k.GetIncarnation()), k.GetSequence())
}

func (in *frameDecoder) attempt(t *hibiscuswire.Try) hibiscusstate.TaskAttempt {
	id := hibiscusstate.NewTaskID(in.key(t.GetKey()), in.nonNegative("task index", t.GetIndex()))
	return hibiscusstate.NewTaskAttempt(id, in.nonNegative("attempt number", t.GetNumber()))
}

func (in *frameDecoder) attempts(attempts []*hibiscuswire.Try) []hibiscusstate.TaskAttempt {
	out := make([]hibiscusstate.TaskAttempt, len(attempts))
	for i, t := range attempts {
		out[i] = in.attempt(t)
	}
	return out
}

func (in *frameDecoder) hello(h *hibiscuswire.Hello) hibiscuscoordination.Hello {
	role := enum(in, "role", h.GetRole(), hibiscuscoordination.RoleAgent)
	return hibiscuscoordination.NewHello(role, hibiscusstate.Incarnation(h.GetIncarnation()), h.GetAddress(), h.GetDomain(),
		h.GetVersion(), in.capacity(h.GetCapacity())).WithCallerAddress(h.GetCaller()).WithRevision(int(h.GetRevision())).
		WithEvacuation(h.GetEvacuation())
}

func (in *frameDecoder) capacity(c *hibiscuswire.Capacity) hibiscuscoordination.Capacity {
	if len(c.GetRack()) > hibiscusstate.MaxRackBytes {
		in.fail("rack of %d bytes", len(c.GetRack()))
		return hibiscuscoordination.Capacity{}
	}
	return hibiscuscoordination.NewCapacity(c.GetService(), in.nonNegative("slots", c.GetSlots()), c.GetLeaving(), c.GetLease()).
		WithDrained(c.GetDrained()).WithRemaining(max(microseconds(c.GetRemainingUs()), 0)).
		WithRack(c.GetRack()).
		WithRelativeRunTime(float64(c.GetRelativeRunTimePermille()) / 1000)
}

// resources decodes an amount of resources; a task uses at least one slot.
func (in *frameDecoder) resources(r *hibiscuswire.Room) hibiscusstate.Resources {
	return hibiscusstate.NewResources(max(in.nonNegative("slots", r.GetSlots()), 1), in.nonNegative("memory", r.GetMemory()),
		in.nonNegative("accelerators", r.GetAccelerators()))
}

func (in *frameDecoder) orders(orders []*hibiscuswire.Order) []hibiscusstate.Order {
	out := make([]hibiscusstate.Order, len(orders))
	for i, o := range orders {
		out[i] = hibiscusstate.NewOrder(
			in.attempt(o.GetTry()), in.nonNegative("task count", o.GetCount()), o.GetDigest(), o.GetKind(), o.GetPayload()).
			WithBudget(microseconds(o.GetBudgetUs())).WithLeaseEpoch(o.GetLease()).WithWait(microseconds(o.GetWaitLimitUs())).
			WithResources(in.resources(o.GetRoom())).WithJobName(o.GetJobName()).WithExpected(microseconds(o.GetExpectedUs())).
			WithSpeed(float64(o.GetSpeedPermille()) / 1000)
	}
	return out
}

func (in *frameDecoder) reports(reports []*hibiscuswire.Report) []hibiscusstate.Report {
	out := make([]hibiscusstate.Report, len(reports))
	for i, r := range reports {
		out[i] = in.report(r).
			WithJob(in.nonNegative("task count", r.GetCount()), r.GetDigest()).
			WithLoad(in.nonNegative("others", r.GetOthers()), in.nonNegative("waiting", r.GetWaiting()), r.GetLease()).
			WithSlowness(float64(r.GetSlownessPermille()) / 1000).WithRelativeRunTime(float64(r.GetRelativeRunTimePermille()) / 1000)
	}
	return out
}

func (in *frameDecoder) report(r *hibiscuswire.Report) hibiscusstate.Report {
	attempt := in.attempt(r.GetTry())
	status := enum(in, "status", r.GetStatus(), hibiscusstate.StatusRejected)
	switch status {
	case hibiscusstate.StatusRejected:
		return hibiscusstate.NewRejection(attempt, enum(in, "rejection", r.GetRejection(), hibiscusstate.RejectionStopped))
	case hibiscusstate.StatusDone:
		outcome := enum(in, "outcome", r.GetOutcome(), hibiscusstate.OutcomeStalled)
		return hibiscusstate.NewResult(attempt, outcome, r.GetOutput(), r.GetReason(), microseconds(r.GetRunTimeUs()))
	case hibiscusstate.StatusNeverReceived, hibiscusstate.StatusWaiting, hibiscusstate.StatusRunning:
		return hibiscusstate.NewStatusReport(attempt, status)
	}
	return hibiscusstate.Report{}
}

func (in *frameDecoder) submission(f *hibiscuswire.Forward) *hibiscuscoordination.Submission {
	key := in.key(f.GetKey())
	switch {
	case f.GetCancel():
		return hibiscuscoordination.NewCancel(key).WithWait(microseconds(f.GetWaitUs()))
	case f.GetFetch():
		return hibiscuscoordination.NewFetch(key).WithWait(microseconds(f.GetWaitUs()))
	}
	tasks := make([]hibiscusstate.TaskSpec, len(f.GetTasks()))
	for i, t := range f.GetTasks() {
		tasks[i] = hibiscusstate.NewTaskSpec(t.GetKind(), t.GetPayload(), microseconds(t.GetDeclaredUs())).
			WithResources(in.resources(t.GetRoom()))
	}
	return hibiscuscoordination.NewSubmission(key, f.GetDigest(), f.GetTeam(), f.GetService(), tasks).
		WithBudget(microseconds(f.GetBudgetUs())).WithAttempt(in.nonNegative("attempt", f.GetAttempt())).
		WithWait(microseconds(f.GetWaitUs()))
}

func (in *frameDecoder) cancelledJobs(jobs []*hibiscuswire.CancelledJob) []hibiscuscoordination.CancelledJob {
	out := make([]hibiscuscoordination.CancelledJob, len(jobs))
	for i, job := range jobs {
		out[i] = hibiscuscoordination.NewCancelledJob(job.GetJobName(), microseconds(job.GetKeepUs()))
	}
	return out
}

func (in *frameDecoder) answer(f *hibiscuswire.Forwarded) *hibiscuscoordination.Answer {
	key := in.key(f.GetKey())
	refusal := enum(in, "refusal", f.GetRefusal(), hibiscusstate.RefusalOutcomeUnknown)
	var a *hibiscuscoordination.Answer
	if refusal != hibiscusstate.RefusalNone {
		a = hibiscuscoordination.NewRefusal(key, refusal, f.GetNotRun(), f.GetMessage())
	} else {
		tasks := make([]hibiscuscoordination.TaskAnswer, len(f.GetTasks()))
		for i, t := range f.GetTasks() {
			outcome := enum(in, "outcome", t.GetOutcome(), hibiscusstate.OutcomeStalled)
			tasks[i] = hibiscuscoordination.NewTaskAnswer(outcome, t.GetOutput(), t.GetReason())
		}
		a = hibiscuscoordination.NewJobAnswer(key, enum(in, "job state", f.GetState(), hibiscusstate.JobCancelled), tasks)
	}
	if f.HasNextKey() {
		a = a.WithNextKey(in.key(f.GetNextKey()))
	}
	return a.WithRetryAfter(microseconds(f.GetRetryAfterUs()))
}

// configurationCacheSize is how many decoded configurations are cached. Several versions may be in flight at a time, each from
// several entries, and parsing 350 kinds for each copy would occupy a process for seconds.
const configurationCacheSize = 8

// configurationCache caches the most recently decoded configurations, the newest first.
var configurationCache struct {
	mu   sync.Mutex
	kept []*hibiscusstate.Configuration
}

func (in *frameDecoder) configuration(c *hibiscuswire.Configuration) *hibiscusstate.Configuration {
	d := &configurationCache
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, cached := range d.kept {
		if cached.Version() == c.GetVersion() && cached.Text() == c.GetText() {
			return cached
		}
	}
	document, err := ParseConfiguration("configuration", []byte(c.GetText()))
	configuration := hibiscusstate.NewConfiguration(c.GetVersion(), c.GetText(), document)
	if err != nil {
		in.fail("configuration version %d: %v", c.GetVersion(), err)
		return configuration
	}
	d.kept = append([]*hibiscusstate.Configuration{configuration}, d.kept[:min(len(d.kept), configurationCacheSize-1)]...)
	return configuration
}

// members decodes a member list without the members that can't be dialed: the sender has them from another writer.
func (in *frameDecoder) members(list *hibiscuswire.Members) hibiscuscoordination.Message {
	out := make([]hibiscuscoordination.Member, 0, len(list.GetMembers()))
	for _, m := range list.GetMembers() {
		if CheckAddress(m.GetAddress()) == nil {
			out = append(out, hibiscuscoordination.NewMember(
				hibiscusstate.Incarnation(m.GetIncarnation()), m.GetAddress(), m.GetDomain(), m.GetHeartbeat()))
		}
	}
	if !list.GetChanges() {
		return hibiscuscoordination.NewMembersMessage(out)
	}
	removed := make([]hibiscusstate.Incarnation, len(list.GetRemoved()))
	for i, id := range list.GetRemoved() {
		removed[i] = hibiscusstate.Incarnation(id)
	}
	return hibiscuscoordination.NewMemberChangesMessage(out, removed)
}
