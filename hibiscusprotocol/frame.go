package hibiscusprotocol

import (
	"math"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusprotocol/hibiscuswire"
	"hibiscusrouter/hibiscusscheduling"
	"hibiscusrouter/hibiscusstate"
)

// Frames are the protobuf encoding of hibiscuscoordination.Message. Durations are sent as whole microseconds, and every enum
// is checked when a frame is decoded, because the frame may come from a newer or a malicious process.

const (
	// MaxFrameBytes is the size of the largest frame that a process accepts. The results that an agent keeps for recovery,
	// 32 MiB, fit into one.
	MaxFrameBytes = 64 << 20
	// maxChunkBytes is the payload size at which lists of tasks are split, so that a large frame doesn't delay those behind it.
	maxChunkBytes = 4 << 20
	// maxForwardedBytes bounds the task output that an entry sends to another one, less 1 MiB for the rest of the frame.
	maxForwardedBytes = MaxFrameBytes - 1<<20
)

// SplitMessage returns a first chunk of a message that fits into one frame, and the rest if there is one. The orders
// for an agent may exceed a frame: a payload may have a megabyte, and each slot may get a task.
func SplitMessage(m hibiscuscoordination.Message) (first, rest hibiscuscoordination.Message, more bool) {
	switch m.Kind() {
	case hibiscuscoordination.MessageOrders:
		if n := chunkLength(m.Orders(), func(o hibiscusstate.Order) int { return len(o.Payload()) }); n < len(m.Orders()) {
			return hibiscuscoordination.NewOrdersMessage(m.Orders()[:n]).WithTiming(m.Timing()),
				hibiscuscoordination.NewOrdersMessage(m.Orders()[n:]).WithTiming(m.Timing()), true
		}
	case hibiscuscoordination.MessageReports:
		if n := chunkLength(m.Reports(), func(r hibiscusstate.Report) int { return len(r.Output()) }); n < len(m.Reports()) {
			return hibiscuscoordination.NewReportsMessage(m.Reports()[:n]).WithTiming(m.Timing()),
				hibiscuscoordination.NewReportsMessage(m.Reports()[n:]).WithTiming(m.Timing()), true
		}
	default:
		// The other messages are small, or are a single answer that can't be split.
	}
	return m, hibiscuscoordination.Message{}, false
}

// chunkLength returns how many values at the start of a list fit into a chunk, at least one.
func chunkLength[T any](list []T, size func(T) int) int {
	bytes := 0
	for i, v := range list {
		bytes += size(v)
		if i > 0 && bytes > maxChunkBytes {
			return i
		}
	}
	return len(list)
}

// EncodeFrame appends the frame of a message to buf, or returns ErrBadFrame if the message can't be encoded.
func EncodeFrame(buf []byte, m hibiscuscoordination.Message) ([]byte, error) {
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, encodeMessage(m))
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "encode %s frame", m.Kind()), ErrBadFrame)
	}
	return buf, nil
}

// DecodeFrame returns the message of a frame, or ErrBadFrame if the bytes are not a valid frame.
func DecodeFrame(b []byte) (hibiscuscoordination.Message, error) {
	var f hibiscuswire.Frame
	if err := proto.Unmarshal(b, &f); err != nil {
		// protobuf puts a no-break space into its error messages in some builds and not in others.
		return hibiscuscoordination.Message{}, errors.Mark(
			errors.Newf("decode frame: %s", strings.ReplaceAll(err.Error(), "\u00a0", " ")), ErrBadFrame)
	}
	return decodeMessage(&f)
}

func encodeMessage(m hibiscuscoordination.Message) *hibiscuswire.Frame {
	b := hibiscuswire.Frame_builder{
		SentUs: uint64(m.Timing().Sent().Microseconds()), EchoUs: uint64(m.Timing().Echo().Microseconds()),
		HeldUs: m.Timing().Held().Microseconds(),
	}
	switch m.Kind() {
	case hibiscuscoordination.MessageHello:
		b.Hello = encodeHello(m.Hello())
	case hibiscuscoordination.MessagePing:
		b.Ping = &hibiscuswire.Ping{}
	case hibiscuscoordination.MessagePong:
		b.Pong = &hibiscuswire.Pong{}
	case hibiscuscoordination.MessageOrders:
		b.Orders = encodeOrders(m.Orders())
	case hibiscuscoordination.MessageReports:
		b.Reports = hibiscuswire.Reports_builder{Reports: encodeReports(m.Reports())}.Build()
	case hibiscuscoordination.MessageStop:
		b.Stop = encodeAttempts(m.Attempts())
	case hibiscuscoordination.MessageSettle:
		b.Settle = encodeAttempts(m.Attempts())
	case hibiscuscoordination.MessageRecover:
		b.Recover = hibiscuswire.Recover_builder{Request: m.Request(), Key: encodeKey(m.Key())}.Build()
	case hibiscuscoordination.MessageRecovered:
		b.Recovered = hibiscuswire.Recovered_builder{
			Request: m.Request(), Key: encodeKey(m.Key()), Reports: encodeReports(m.Reports()),
		}.Build()
	case hibiscuscoordination.MessageForward:
		b.Forward = encodeForward(m.Request(), m.Submission())
	case hibiscuscoordination.MessageForwarded:
		b.Forwarded = encodeForwarded(m.Request(), m.Answer())
	case hibiscuscoordination.MessageConfiguration:
		b.Configuration = hibiscuswire.Configuration_builder{
			Version: m.Configuration().Version(), Text: m.Configuration().Text(),
		}.Build()
	case hibiscuscoordination.MessageMembers:
		b.Members = encodeMembers(m)
	case hibiscuscoordination.MessageCapacity:
		b.Capacity = encodeCapacity(m.Capacity())
	case hibiscuscoordination.MessageInForce:
		b.InForce = hibiscuswire.InForce_builder{Version: m.Version()}.Build()
	case hibiscuscoordination.MessageFetch:
		b.Fetch = hibiscuswire.Fetch_builder{Version: m.Version()}.Build()
	case hibiscuscoordination.MessageClaim:
		b.Claim = hibiscuswire.Claim_builder{
			Request: m.Request(), JobName: m.JobName(), BudgetUs: m.Budget().Microseconds(),
		}.Build()
	case hibiscuscoordination.MessageClaimed:
		b.Claimed = hibiscuswire.Claimed_builder{Request: m.Request(), Denied: m.Denied()}.Build()
	case hibiscuscoordination.MessageRelease:
		b.Release = hibiscuswire.Release_builder{JobName: m.JobName()}.Build()
	case hibiscuscoordination.MessageCancel:
		b.Cancel = hibiscuswire.Cancel_builder{Request: m.Request(), Jobs: encodeCancelledJobs(m.CancelledJobs())}.Build()
	case hibiscuscoordination.MessageCancelled:
		b.Cancelled = hibiscuswire.Cancelled_builder{Request: m.Request(), Jobs: encodeCancelledJobs(m.CancelledJobs())}.Build()
	case hibiscuscoordination.MessageEvacuation:
		b.Evacuation = hibiscuswire.Evacuation_builder{
			Revision: m.Evacuation().Revision(), Domains: m.Evacuation().Domains(),
		}.Build()
	case hibiscuscoordination.MessageLoad:
		b.Load = hibiscuswire.Load_builder{Others: int32(m.Load().OtherSlots()), Waiting: int32(m.Load().Waiting()),
			SlownessPermille:        permille(m.Load().Slowness()),
			RelativeRunTimePermille: permille(m.Load().RelativeRunTime())}.Build()
	}
	return b.Build()
}

func decodeMessage(f *hibiscuswire.Frame) (hibiscuscoordination.Message, error) {
	in := &frameDecoder{}
	var m hibiscuscoordination.Message
	switch f.WhichBody() {
	case hibiscuswire.Frame_Hello_case:
		m = hibiscuscoordination.NewHelloMessage(in.hello(f.GetHello()))
	case hibiscuswire.Frame_Ping_case:
		m = hibiscuscoordination.NewPingMessage()
	case hibiscuswire.Frame_Pong_case:
		m = hibiscuscoordination.NewPongMessage()
	case hibiscuswire.Frame_Orders_case:
		m = hibiscuscoordination.NewOrdersMessage(in.orders(f.GetOrders().GetOrders()))
	case hibiscuswire.Frame_Reports_case:
		m = hibiscuscoordination.NewReportsMessage(in.reports(f.GetReports().GetReports()))
	case hibiscuswire.Frame_Stop_case:
		m = hibiscuscoordination.NewStopMessage(in.attempts(f.GetStop().GetTries()))
	case hibiscuswire.Frame_Settle_case:
		m = hibiscuscoordination.NewSettleMessage(in.attempts(f.GetSettle().GetTries()))
	case hibiscuswire.Frame_Recover_case:
		m = hibiscuscoordination.NewRecoverMessage(f.GetRecover().GetRequest(), in.key(f.GetRecover().GetKey()))
	case hibiscuswire.Frame_Recovered_case:
		r := f.GetRecovered()
		m = hibiscuscoordination.NewRecoveredMessage(r.GetRequest(), in.key(r.GetKey()), in.reports(r.GetReports()))
	case hibiscuswire.Frame_Forward_case:
		m = hibiscuscoordination.NewForwardMessage(f.GetForward().GetRequest(), in.submission(f.GetForward()))
	case hibiscuswire.Frame_Forwarded_case:
		m = hibiscuscoordination.NewForwardedMessage(f.GetForwarded().GetRequest(), in.answer(f.GetForwarded()))
	case hibiscuswire.Frame_Configuration_case:
		m = hibiscuscoordination.NewConfigurationMessage(in.configuration(f.GetConfiguration()))
	case hibiscuswire.Frame_Members_case:
		m = in.members(f.GetMembers())
	case hibiscuswire.Frame_Capacity_case:
		m = hibiscuscoordination.NewCapacityMessage(in.capacity(f.GetCapacity()))
	case hibiscuswire.Frame_InForce_case:
		m = hibiscuscoordination.NewInForceMessage(f.GetInForce().GetVersion())
	case hibiscuswire.Frame_Fetch_case:
		m = hibiscuscoordination.NewFetchMessage(f.GetFetch().GetVersion())
	case hibiscuswire.Frame_Claim_case:
		c := f.GetClaim()
		m = hibiscuscoordination.NewClaimMessage(c.GetRequest(), c.GetJobName(), microseconds(c.GetBudgetUs()))
	case hibiscuswire.Frame_Claimed_case:
		m = hibiscuscoordination.NewClaimedMessage(f.GetClaimed().GetRequest(), f.GetClaimed().GetDenied())
	case hibiscuswire.Frame_Release_case:
		m = hibiscuscoordination.NewReleaseMessage(f.GetRelease().GetJobName())
	case hibiscuswire.Frame_Cancel_case:
		m = hibiscuscoordination.NewCancelMessage(f.GetCancel().GetRequest(), in.cancelledJobs(f.GetCancel().GetJobs()))
	case hibiscuswire.Frame_Cancelled_case:
		m = hibiscuscoordination.NewCancelledMessage(f.GetCancelled().GetRequest(), in.cancelledJobs(f.GetCancelled().GetJobs()))
	case hibiscuswire.Frame_Evacuation_case:
		m = hibiscuscoordination.NewEvacuationMessage(
			hibiscusscheduling.NewEvacuation(f.GetEvacuation().GetRevision(), f.GetEvacuation().GetDomains()))
	case hibiscuswire.Frame_Load_case:
		m = hibiscuscoordination.NewLoadMessage(hibiscuscoordination.NewLoad(
			in.nonNegative("others", f.GetLoad().GetOthers()), in.nonNegative("waiting", f.GetLoad().GetWaiting())).
			WithSlowness(float64(f.GetLoad().GetSlownessPermille()) / 1000).
			WithRelativeRunTime(float64(f.GetLoad().GetRelativeRunTimePermille()) / 1000))
	case hibiscuswire.Frame_Body_not_set_case:
		in.fail("frame has no body")
	default:
		in.fail("frame has an unknown body")
	}
	return m.WithTiming(in.timing(f)), in.err
}

func encodeHello(h hibiscuscoordination.Hello) *hibiscuswire.Hello {
	return hibiscuswire.Hello_builder{
		Role: int32(h.Role()), Incarnation: uint64(h.Incarnation()), Address: h.Address(), Domain: h.Domain(),
		Version: h.Version(), Capacity: encodeCapacity(h.Capacity()), Caller: h.CallerAddress(),
		Revision: uint32(h.Revision()), Evacuation: h.Evacuation(),
	}.Build()
}

func encodeCapacity(c hibiscuscoordination.Capacity) *hibiscuswire.Capacity {
	return hibiscuswire.Capacity_builder{
		Service: c.Service(), Slots: int32(c.Slots()), Leaving: c.Leaving(), Lease: c.LeaseEpoch(),
		Drained: c.Drained(), RemainingUs: c.Remaining().Microseconds(), Rack: c.Rack(),
		RelativeRunTimePermille: permille(c.RelativeRunTime()),
	}.Build()
}

func encodeCancelledJobs(jobs []hibiscuscoordination.CancelledJob) []*hibiscuswire.CancelledJob {
	out := make([]*hibiscuswire.CancelledJob, len(jobs))
	for i, job := range jobs {
		out[i] = hibiscuswire.CancelledJob_builder{JobName: job.Name(), KeepUs: job.Keep().Microseconds()}.Build()
	}
	return out
}

func encodeKey(k hibiscusstate.SubmissionKey) *hibiscuswire.Key {
	return hibiscuswire.Key_builder{Incarnation: uint64(k.Incarnation()), Sequence: k.Sequence()}.Build()
}

func encodeAttempt(t hibiscusstate.TaskAttempt) *hibiscuswire.Try {
	return hibiscuswire.Try_builder{
		Key: encodeKey(t.ID().Key()), Index: int32(t.ID().Index()), Number: int32(t.Number()),
	}.Build()
}

func encodeAttempts(attempts []hibiscusstate.TaskAttempt) *hibiscuswire.Tries {
	out := make([]*hibiscuswire.Try, len(attempts))
	for i, t := range attempts {
		out[i] = encodeAttempt(t)
	}
	return hibiscuswire.Tries_builder{Tries: out}.Build()
}

func encodeResources(r hibiscusstate.Resources) *hibiscuswire.Room {
	return hibiscuswire.Room_builder{
		Slots: int32(r.Slots()), Memory: int32(r.Memory()), Accelerators: int32(r.Accelerators()),
	}.Build()
}

func encodeOrders(orders []hibiscusstate.Order) *hibiscuswire.Orders {
	out := make([]*hibiscuswire.Order, len(orders))
	for i, o := range orders {
		out[i] = hibiscuswire.Order_builder{
			Try: encodeAttempt(o.Attempt()), Count: int32(o.TaskCount()), Digest: o.Digest(), Kind: o.Kind(), Payload: o.Payload(),
			BudgetUs: o.Budget().Microseconds(), Lease: o.LeaseEpoch(), WaitLimitUs: o.WaitLimit().Microseconds(),
			Room: encodeResources(o.Resources()), JobName: o.JobName(), ExpectedUs: o.Expected().Microseconds(),
			SpeedPermille: speedPermille(o.Speed()),
		}.Build()
	}
	return hibiscuswire.Orders_builder{Orders: out}.Build()
}

func encodeReports(reports []hibiscusstate.Report) []*hibiscuswire.Report {
	out := make([]*hibiscuswire.Report, len(reports))
	for i, r := range reports {
		out[i] = hibiscuswire.Report_builder{
			Try: encodeAttempt(r.Attempt()), Status: int32(r.Status()), Outcome: int32(r.Outcome()), Rejection: int32(r.Rejection()),
			Output: r.Output(), Reason: r.Reason(), RunTimeUs: r.RunTime().Microseconds(), Count: int32(r.TaskCount()),
			Digest: r.Digest(), Others: int32(r.OtherSlots()), Waiting: int32(r.Waiting()), Lease: r.LeaseEpoch(),
			SlownessPermille: permille(r.Slowness()), RelativeRunTimePermille: permille(r.RelativeRunTime()),
		}.Build()
	}
	return out
}

func encodeForward(request uint64, s *hibiscuscoordination.Submission) *hibiscuswire.Forward {
	tasks := make([]*hibiscuswire.Task, len(s.Tasks()))
	for i, t := range s.Tasks() {
		tasks[i] = hibiscuswire.Task_builder{
			Kind: t.Kind(), Payload: t.Payload(), DeclaredUs: t.Declared().Microseconds(), Room: encodeResources(t.Resources()),
		}.Build()
	}
	return hibiscuswire.Forward_builder{
		Request: request, Key: encodeKey(s.Key()), Digest: s.Digest(), Team: s.Team(), Service: s.Service(),
		BudgetUs: s.Budget().Microseconds(), Attempt: int32(s.Attempt()), Tasks: tasks, Fetch: s.Fetch(),
		Cancel: s.Cancel(), WaitUs: s.Wait().Microseconds(),
	}.Build()
}

func encodeForwarded(request uint64, a *hibiscuscoordination.Answer) *hibiscuswire.Forwarded {
	bytes := 0
	for _, t := range a.Tasks() {
		bytes += len(t.Output())
	}
	if bytes > maxForwardedBytes {
		a = hibiscuscoordination.NewRefusal(a.Key(), hibiscusstate.RefusalOutcomeUnknown, false,
			"the job has ended, but its answer is too large to be passed on; send the request again until the balancer picks its entry")
	}
	tasks := make([]*hibiscuswire.TaskAnswer, len(a.Tasks()))
	for i, t := range a.Tasks() {
		tasks[i] = hibiscuswire.TaskAnswer_builder{
			Outcome: int32(t.Outcome()), Output: t.Output(), Reason: t.Reason(),
		}.Build()
	}
	b := hibiscuswire.Forwarded_builder{
		Request: request, Key: encodeKey(a.Key()), Refusal: int32(a.Refusal()), Message: a.Message(), NotRun: a.NotRun(),
		RetryAfterUs: a.RetryAfter().Microseconds(), State: int32(a.State()), Tasks: tasks,
	}
	if key, ok := a.NextKey(); ok {
		b.NextKey = encodeKey(key)
	}
	return b.Build()
}

func encodeMembers(message hibiscuscoordination.Message) *hibiscuswire.Members {
	out := make([]*hibiscuswire.Member, len(message.Members()))
	for i, m := range message.Members() {
		out[i] = hibiscuswire.Member_builder{
			Incarnation: uint64(m.Incarnation()), Address: m.Address(), Domain: m.Domain(), Heartbeat: m.Heartbeat(),
		}.Build()
	}
	removed := make([]uint64, len(message.Removed()))
	for i, id := range message.Removed() {
		removed[i] = uint64(id)
	}
	return hibiscuswire.Members_builder{Members: out, Removed: removed, Changes: message.Changes()}.Build()
}

// permille returns a ratio in thousandths, rounded.
func permille(ratio float64) uint32 { return uint32(math.Round(ratio * 1000)) }

// speedPermille returns a speed in thousandths, zero for speed 1, which then takes no space in a frame.
func speedPermille(speed float64) uint32 {
	if speed == 1 {
		return 0
	}
	return permille(speed)
}
