package hibiscuscoordination

import (
	"time"

	"hibiscusrouter/hibiscusscheduling"
	"hibiscusrouter/hibiscusstate"
)

// Snapshots are copies of the state that an event loop owns, made on the loop for operators. Each kind is a separate request,
// because the loop is blocked meanwhile: a page of endpoints copies every worker, while the counters copy a few hundred bytes.
// Sorting, paging and encoding are done by the requesting goroutine.

// serviceTotals are the running totals of one service at one entry, counted by job and by task.
type serviceTotals struct {
	inTime    uint64
	late      uint64
	failed    uint64
	cancelled uint64
	refusals  [hibiscusstate.RefusalOutcomeUnknown + 1]uint64
}

// countJob counts the tasks of a job that is final. All tasks of a job that was not complete by its deadline are late, as its
// caller has no use for some of them.
func (t *serviceTotals) countJob(job *hibiscusstate.Job) {
	n := uint64(job.Len())
	late := !job.FinishedAt().Before(job.Deadline())
	switch job.State() {
	case hibiscusstate.JobComplete:
		if late {
			t.late += n
		} else {
			t.inTime += n
		}
	case hibiscusstate.JobFailed:
		if late {
			t.late += n
		} else {
			t.failed += n
		}
	case hibiscusstate.JobCancelled:
		t.cancelled += n
	case hibiscusstate.JobRunning:
	}
}

// countRefusal counts a refusal, for the service only when it exists, so that invalid names take no memory.
func (d *Dispatcher) countRefusal(s *Submission, a *Answer) {
	d.counters.countRefusal(a.refusal)
	if p := d.pools[s.service]; p != nil {
		p.totals.refusals[a.refusal]++
	}
}

// ServiceSnapshot is one entry's view of one service.
type ServiceSnapshot struct {
	name       string
	workers    int
	usable     int
	slots      int
	inFlight   int
	waiting    int
	oldestWait time.Duration
	speeds     []SpeedSnapshot
	totals     serviceTotals
	admission  *AdmissionSnapshot
}

// Admission returns the view of the admission of jobs with objectives, nil for a service without.
func (s *ServiceSnapshot) Admission() *AdmissionSnapshot { return s.admission }

// Name returns the name of the service.
func (s *ServiceSnapshot) Name() string { return s.name }

// Workers returns the number of workers in the entry's view, whatever their health.
func (s *ServiceSnapshot) Workers() int { return s.workers }

// Usable returns the number of workers that may receive a task.
func (s *ServiceSnapshot) Usable() int { return s.usable }

// Slots returns the number of slots of all workers.
func (s *ServiceSnapshot) Slots() int { return s.slots }

// InFlight returns the number of this entry's tasks that workers have.
func (s *ServiceSnapshot) InFlight() int { return s.inFlight }

// Waiting returns the number of tasks that no worker has.
func (s *ServiceSnapshot) Waiting() int { return s.waiting }

// OldestWait returns the longest time since submission of the job, among the next task of each team.
func (s *ServiceSnapshot) OldestWait() time.Duration { return s.oldestWait }

// Speeds returns the state of the speed classes, the slowest first.
func (s *ServiceSnapshot) Speeds() []SpeedSnapshot { return s.speeds }

// InTime returns the number of tasks of jobs that were complete before their deadline.
func (s *ServiceSnapshot) InTime() uint64 { return s.totals.inTime }

// Late returns the number of tasks of jobs that were not complete at their deadline.
func (s *ServiceSnapshot) Late() uint64 { return s.totals.late }

// Failed returns the number of tasks of jobs that failed before their deadline.
func (s *ServiceSnapshot) Failed() uint64 { return s.totals.failed }

// Cancelled returns the number of tasks of cancelled jobs.
func (s *ServiceSnapshot) Cancelled() uint64 { return s.totals.cancelled }

// Refusal returns how many submissions to the service were refused for a reason.
func (s *ServiceSnapshot) Refusal(r hibiscusstate.Refusal) uint64 { return s.totals.refusals[r] }

// QueueSnapshot is the state of one team's queue for one service at one entry.
type QueueSnapshot struct {
	service    string
	team       string
	waiting    int
	work       time.Duration
	oldestWait time.Duration
}

// Service returns the name of the service.
func (q *QueueSnapshot) Service() string { return q.service }

// Team returns the name of the team.
func (q *QueueSnapshot) Team() string { return q.team }

// Waiting returns the number of queued tasks.
func (q *QueueSnapshot) Waiting() int { return q.waiting }

// Work returns the sum of their expected run times.
func (q *QueueSnapshot) Work() time.Duration { return q.work }

// OldestWait returns how long the task that is next in the team's order has waited since its job was submitted.
func (q *QueueSnapshot) OldestWait() time.Duration { return q.oldestWait }

// TeamSnapshot is the state of one team at one entry.
type TeamSnapshot struct {
	team     hibiscusstate.Team
	waiting  int
	inFlight int
}

// Team returns the team as the configuration in force has it.
func (t *TeamSnapshot) Team() hibiscusstate.Team { return t.team }

// Waiting returns the number of the team's tasks that no worker has.
func (t *TeamSnapshot) Waiting() int { return t.waiting }

// InFlight returns the number of the team's tasks that workers have.
func (t *TeamSnapshot) InFlight() int { return t.inFlight }

// MemberSnapshot is one entry process in the view of another one.
type MemberSnapshot struct {
	member    Member
	connected bool
	self      bool
}

// Member returns the incarnation, address and failure domain.
func (m *MemberSnapshot) Member() Member { return m.member }

// Connected reports whether a session to the entry is open; true for the answering entry itself.
func (m *MemberSnapshot) Connected() bool { return m.connected }

// Self reports whether this is the answering entry.
func (m *MemberSnapshot) Self() bool { return m.self }

// RingSnapshot is the state of a ring, or of several merged ones.
type RingSnapshot struct {
	depth    int
	maxDepth int
	dropped  uint64
}

// NewRingSnapshot returns the state of a ring: its current and its largest number of values, and the number of dropped values.
func NewRingSnapshot(depth, maxDepth int, dropped uint64) RingSnapshot {
	return RingSnapshot{depth: depth, maxDepth: maxDepth, dropped: dropped}
}

// Depth returns the number of values in the ring.
func (r RingSnapshot) Depth() int { return r.depth }

// MaxDepth returns the largest number of values that the ring has held.
func (r RingSnapshot) MaxDepth() int { return r.maxDepth }

// Dropped returns the number of values that were dropped because the ring was full.
func (r RingSnapshot) Dropped() uint64 { return r.dropped }

// Merge returns the sums of the depths and of the dropped values, and the larger maximum.
func (r RingSnapshot) Merge(other RingSnapshot) RingSnapshot {
	return NewRingSnapshot(r.depth+other.depth, max(r.maxDepth, other.maxDepth), r.dropped+other.dropped)
}

func (l *eventLoop) snapshot() RingSnapshot {
	return NewRingSnapshot(l.ring.Len(), l.ring.MaxDepth(), l.ring.Dropped())
}

// EntrySnapshot is the state of an entry process as a whole.
type EntrySnapshot struct {
	identity        Identity
	version         uint64
	configured      bool
	draining        bool
	running         int
	records         int
	bytes           int
	forwards        int
	recoveries      int
	counters        Counters
	ring            RingSnapshot
	loopDelays      hibiscusstate.Histogram
	jobTimes        hibiscusstate.Histogram
	placementDelays hibiscusstate.Histogram
	evacuation      hibiscusscheduling.Evacuation
	evacuations     uint64
}

// Evacuation returns the evacuated failure domains.
func (s *EntrySnapshot) Evacuation() hibiscusscheduling.Evacuation { return s.evacuation }

// Evacuations returns how often the evacuated domains have changed.
func (s *EntrySnapshot) Evacuations() uint64 { return s.evacuations }

// JobTimes returns the times from the admission of jobs to their end.
func (s *EntrySnapshot) JobTimes() hibiscusstate.Histogram { return s.jobTimes }

// PlacementDelays returns the times from the submission of tasks to their first placement on a worker.
func (s *EntrySnapshot) PlacementDelays() hibiscusstate.Histogram { return s.placementDelays }

// Identity returns the incarnation, address and failure domain of the entry.
func (s *EntrySnapshot) Identity() Identity { return s.identity }

// Version returns the configuration version in force, zero when none was accepted.
func (s *EntrySnapshot) Version() uint64 { return s.version }

// Configured reports whether any configuration is in force; version zero is the built-in text of the demo.
func (s *EntrySnapshot) Configured() bool { return s.configured }

// Draining reports whether the entry refuses new jobs.
func (s *EntrySnapshot) Draining() bool { return s.draining }

// Running returns the number of jobs that are not final.
func (s *EntrySnapshot) Running() int { return s.running }

// Records returns the number of job records, including those of final jobs that are retained for repeated submissions.
func (s *EntrySnapshot) Records() int { return s.records }

// Bytes returns the size of the records' payloads and results.
func (s *EntrySnapshot) Bytes() int { return s.bytes }

// Forwards returns the number of forwarded submissions that are not answered yet.
func (s *EntrySnapshot) Forwards() int { return s.forwards }

// Recoveries returns the number of jobs of lost entries that are being rebuilt from the records of agents.
func (s *EntrySnapshot) Recoveries() int { return s.recoveries }

// Counters returns the running totals.
func (s *EntrySnapshot) Counters() Counters { return s.counters }

// LoopDelays returns the longest wait of each batch of the event loop's commands.
func (s *EntrySnapshot) LoopDelays() hibiscusstate.Histogram { return s.loopDelays }

// Ring returns the state of the event loop's ring.
func (s *EntrySnapshot) Ring() RingSnapshot { return s.ring }

// Snapshot returns the state of the entry as a whole, or ErrStopped.
func (e *Entry) Snapshot() (*EntrySnapshot, error) {
	return runAndWait(e.loop, func(time.Time) *EntrySnapshot {
		d := e.dispatcher
		return &EntrySnapshot{
			identity: e.identity, version: e.version(), configured: d.Configuration() != nil, draining: d.draining,
			running: len(d.deadlines), records: len(d.jobs), bytes: d.recordBytes,
			forwards: len(e.forwards), recoveries: len(e.recoveries), counters: d.counters, ring: e.loop.snapshot(),
			loopDelays: e.loop.monitor.delays,
			jobTimes:   d.jobTimes, placementDelays: d.placementDelays,
			evacuation: e.evacuated.set, evacuations: e.evacuated.changes,
		}
	})
}

// Services returns the state of each service, in no particular order, or ErrStopped.
func (e *Entry) Services() ([]ServiceSnapshot, error) {
	return runAndWait(e.loop, func(now time.Time) []ServiceSnapshot { return e.dispatcher.serviceSnapshots(now) })
}

// Workers returns a copy of the view of each worker, in no particular order, or ErrStopped.
func (e *Entry) Workers() ([]hibiscusstate.Worker, error) {
	return runAndWait(e.loop, func(time.Time) []hibiscusstate.Worker {
		return e.dispatcher.workerSnapshots(func(*hibiscusstate.Worker) bool { return true })
	})
}

// UnhealthyWorkers returns a copy of the view of each worker that is lost, without endpoint, or not in good health, in no
// particular order, or ErrStopped; it blocks the event loop for far less time than Workers when most workers are healthy.
func (e *Entry) UnhealthyWorkers() ([]hibiscusstate.Worker, error) {
	return runAndWait(e.loop, func(time.Time) []hibiscusstate.Worker {
		return e.dispatcher.workerSnapshots(func(w *hibiscusstate.Worker) bool {
			return !w.Connected() || w.Slots() == 0 || w.Health() != hibiscusstate.HealthGood
		})
	})
}

// Queues returns the queue of each service and team, in no particular order, or ErrStopped.
func (e *Entry) Queues() ([]QueueSnapshot, error) {
	return runAndWait(e.loop, func(now time.Time) []QueueSnapshot { return e.dispatcher.queueSnapshots(now) })
}

// Teams returns the state of each team of the configuration in force, in its order, or ErrStopped.
func (e *Entry) Teams() ([]TeamSnapshot, error) {
	return runAndWait(e.loop, func(time.Time) []TeamSnapshot { return e.dispatcher.teamSnapshots() })
}

// MemberSnapshots returns the entries in the view of this one, itself included, in no particular order, or ErrStopped.
func (e *Entry) MemberSnapshots() ([]MemberSnapshot, error) {
	connected, err := runAndWait(e.loop, func(time.Time) []Member { return e.memberList() })
	if err != nil {
		return nil, err
	}
	known, err := e.Members()
	if err != nil {
		return nil, err
	}
	states := []MemberSnapshot{}
	listed := map[hibiscusstate.Incarnation]bool{}
	for _, m := range connected {
		listed[m.incarnation] = true
		states = append(states, MemberSnapshot{member: m, connected: true, self: m.incarnation == e.identity.incarnation})
	}
	for _, m := range known {
		if !listed[m.incarnation] {
			listed[m.incarnation] = true
			states = append(states, MemberSnapshot{member: m})
		}
	}
	return states, nil
}

func (d *Dispatcher) serviceSnapshots(now time.Time) []ServiceSnapshot {
	services := make([]ServiceSnapshot, 0, len(d.pools))
	for _, p := range d.pools {
		if p.service == "" && p.heap.Len() == 0 {
			// The pool without a service holds the agents whose endpoint has not announced itself yet.
			continue
		}
		s := ServiceSnapshot{
			name: p.service, workers: p.heap.Len(), slots: p.slots, waiting: p.queue.Len(), totals: p.totals,
			admission: p.admissionSnapshot(),
			speeds:    p.speedSnapshots(),
		}
		for i := range p.heap.Len() {
			w := p.heap.At(i)
			s.inFlight += w.InFlightSlots()
			if w.Usable() {
				s.usable++
			}
		}
		p.queue.WaitingTeams(func(_ string, _ int, _ time.Duration, submittedAt time.Time) {
			s.oldestWait = max(s.oldestWait, now.Sub(submittedAt))
		})
		services = append(services, s)
	}
	return services
}

func (d *Dispatcher) workerSnapshots(wanted func(*hibiscusstate.Worker) bool) []hibiscusstate.Worker {
	n := 0
	for _, a := range d.workers {
		if wanted(a.worker) {
			n++
		}
	}
	workers := make([]hibiscusstate.Worker, 0, n)
	for _, a := range d.workers {
		if wanted(a.worker) {
			workers = append(workers, *a.worker)
		}
	}
	return workers
}

func (d *Dispatcher) queueSnapshots(now time.Time) []QueueSnapshot {
	queues := []QueueSnapshot{}
	for _, p := range d.pools {
		p.queue.WaitingTeams(func(team string, waiting int, work time.Duration, submittedAt time.Time) {
			queues = append(queues, QueueSnapshot{
				service: p.service, team: team, waiting: waiting, work: work, oldestWait: now.Sub(submittedAt),
			})
		})
	}
	return queues
}

func (d *Dispatcher) teamSnapshots() []TeamSnapshot {
	if d.configuration == nil {
		return nil
	}
	inFlight := map[string]int{}
	for _, a := range d.workers {
		for _, t := range a.tasks {
			inFlight[t.Job().Team()]++
		}
	}
	teams := []TeamSnapshot{}
	for _, team := range d.configuration.Document().Teams() {
		s := TeamSnapshot{team: team, inFlight: inFlight[team.Name()]}
		for _, p := range d.pools {
			s.waiting += p.queue.TeamLen(team.Name())
		}
		teams = append(teams, s)
	}
	return teams
}
