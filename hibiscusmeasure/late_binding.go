package hibiscusmeasure

import "time"

// late_binding queues tasks at their entry, in order of arrival, until a slot asks for one. A free slot asks the entries in turn
// until one has a waiting task. If none has, the slot pauses.

// askPause is how long a slot waits before it asks again when no entry had a task. A longer pause increases the response time
// and saves messages.
const askPause = 5 * time.Millisecond

// lateBinding is the baseline late_binding; it uses newJob and report of fifo.
type lateBinding struct {
	fifo *fifo
	// waiting has the queued tasks of each entry.
	waiting [][]fifoTask
	// jobs counts the jobs submitted so far, sent the requests for a task and the responses without one.
	jobs int
	sent int
}

// askingSlot is a slot of a worker and the entry that it asks next.
type askingSlot struct {
	worker int
	lane   int
	entry  int
	passed int
}

func newLateBinding(t *trial, seed uint64) {
	l := &lateBinding{fifo: newFIFO(t, seed, workers, slotsPerWorker), waiting: make([][]fifoTask, len(t.deployment.entries))}
	t.submit = l.submit
	t.wasted = func() int { return l.sent }
	for n := range workers * slotsPerWorker {
		s := &askingSlot{worker: n / slotsPerWorker, lane: t.clock.lane(), entry: n % len(l.waiting)}
		t.clock.at(t.clock.now, s.lane, func() { l.ask(s) })
	}
}

func (l *lateBinding) submit(a *submission, reply func(answer)) {
	l.jobs++
	j := l.fifo.newJob(a, reply)
	for i := range a.runs {
		l.waiting[a.job.entry] = append(l.waiting[a.job.entry], fifoTask{job: j, index: i})
	}
}

// ask sends the request of a free slot to the next entry. The response that contains a task counts as the task's own message.
func (l *lateBinding) ask(s *askingSlot) {
	if l.done() {
		return
	}
	entry := s.entry
	s.entry = (s.entry + 1) % len(l.waiting)
	l.sent++
	l.afterLatency(s, entry, func() {
		if len(l.waiting[entry]) == 0 {
			l.sent++
			l.afterLatency(s, entry, func() { l.pass(s) })
			return
		}
		t := l.waiting[entry][0]
		l.waiting[entry] = l.waiting[entry][1:]
		l.afterLatency(s, entry, func() { l.start(s, t) })
	})
}

func (l *lateBinding) pass(s *askingSlot) {
	s.passed++
	if s.passed < len(l.waiting) {
		l.ask(s)
		return
	}
	s.passed = 0
	l.after(s, askPause, func() { l.ask(s) })
}

func (l *lateBinding) start(s *askingSlot, t fifoTask) {
	s.passed = 0
	takes, fails, r := l.fifo.trial.endpointStart(s.worker, t.job.submission.payload(t.index)[:payloadHeader])
	l.after(s, takes, func() {
		r.endedAt = l.fifo.trial.clock.now
		l.fifo.report(s.worker, t, fails)
		l.ask(s)
	})
}

// done reports whether every task was started. If slots continued to ask until a trial's last long task ends, that would add
// thousands of messages for each task.
func (l *lateBinding) done() bool {
	if l.fifo.trial.arriving > 0 || l.jobs < len(l.fifo.trial.submissions) {
		return false
	}
	for _, waiting := range l.waiting {
		if len(waiting) > 0 {
			return false
		}
	}
	return true
}

// afterLatency calls do after the latency of the link between a slot and an entry.
func (l *lateBinding) afterLatency(s *askingSlot, entry int, do func()) {
	l.after(s, l.fifo.trial.deployment.linkLatency(entry, s.worker), do)
}

func (l *lateBinding) after(s *askingSlot, d time.Duration, do func()) {
	l.fifo.trial.clock.at(l.fifo.trial.clock.now.Add(d), s.lane, do)
}
