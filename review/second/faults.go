package main

import (
	"strings"
	"sync"
	"time"
)

// workerFaults sees the runs of all workers, and has them carry out one start late.
type workerFaults struct {
	rec *record
	mu  sync.Mutex
	// lateJob is the job whose next start gets no answer; late is that start, which lateWorker received.
	lateJob    string
	late       call
	lateWorker *worker
	starts     int
	kept       int
	running    map[string]string
	failed     map[string]bool
	// overlapping has the time at which a second run of a task began.
	overlapping map[string]time.Time
	overlaps    int
}

func newWorkerFaults(rec *record) *workerFaults {
	return &workerFaults{rec: rec, running: map[string]string{}, failed: map[string]bool{}, overlapping: map[string]time.Time{}}
}

// delayNextStart leaves the next start of a job without an answer, until takeLate carries it out.
func (f *workerFaults) delayNextStart(job string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lateJob, f.lateWorker = job, nil
}

func (f *workerFaults) keepLate(w *worker, c call) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lateJob == "" || !strings.HasPrefix(c.Task, f.lateJob) {
		return false
	}
	f.rec.printf("start of %s run %d at %s gets no answer", c.Task, c.Run, w.id)
	f.lateJob, f.late, f.lateWorker = "", c, w
	f.kept++
	return true
}

// takeLate returns the start that got no answer and the worker that received it, nil for none.
func (f *workerFaults) takeLate() (*worker, call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.lateWorker
	f.lateWorker = nil
	return w, f.late
}

// begin records the start of a run; two at once on workers that are up break the rule.
func (f *workerFaults) begin(worker, task string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts++
	if other := f.running[task]; other != "" {
		f.overlaps++
		f.overlapping[task] = time.Now()
		f.rec.printf("TWO RUNS AT ONCE: %s starts on %s and runs on %s", task, worker, other)
	}
	f.running[task] = worker
}

func (f *workerFaults) end(worker, task string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if began, ok := f.overlapping[task]; ok {
		f.rec.printf("two runs of %s were under way for %d ms", task, time.Since(began).Milliseconds())
		delete(f.overlapping, task)
	}
	if f.running[task] == worker {
		delete(f.running, task)
	}
}

// endOf returns how a run ends: the first run of a task whose specification says so fails.
func (f *workerFaults) endOf(task, spec string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if strings.Contains(spec, "fail") && !f.failed[task] {
		f.failed[task] = true
		return "failed"
	}
	return "done"
}

// totals returns how many runs began, how many starts got no answer, and how often two runs of one task were under way.
func (f *workerFaults) totals() (starts, kept, overlaps int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts, f.kept, f.overlaps
}

// playLateStart has the first run of a task fail after an earlier request to start it got no answer. While the task runs elsewhere, the
// first worker restarts under its id, and carries that request out. The rule is broken if both runs are under way at once.
func playLateStart(rec *record, trouble bool) (bool, error) {
	const (
		rounds      = 8
		lateAfter   = 2300 * time.Millisecond
		downAfter   = 1900 * time.Millisecond
		jobDeadline = 6 * time.Second
	)
	w, err := newWorld(rec, 11)
	defer w.close()
	if err != nil {
		return false, err
	}
	var others sync.WaitGroup
	ordinary := newTally()
	until := time.Now().Add(rounds * jobDeadline)
	for entry := range entryCount {
		others.Go(func() {
			for time.Now().Before(until) {
				ordinary.add(w.post(entry, newID(), jobBody(2, 6200, 64, 170, "170ms"), clientDeadline))
			}
		})
	}
	for i := range rounds {
		id, sent := newID(), time.Now()
		if trouble {
			w.faults.delayNextStart(id)
		}
		answered := make(chan struct{})
		go func() {
			status, state := w.post(i%entryCount, id, jobBody(1, 6200, 64, 1500, "1500ms fail"), jobDeadline)
			rec.printf("job %s: %d %s after %d ms", id, status, state, time.Since(sent).Milliseconds())
			close(answered)
		}()
		time.Sleep(downAfter)
		if wk, late := w.faults.takeLate(); wk != nil {
			rec.printf("%s crashes", wk.id)
			if err := w.restartWorker(wk, time.Until(sent.Add(lateAfter)), late); err != nil {
				return false, err
			}
		}
		<-answered
		time.Sleep(time.Until(sent.Add(jobDeadline)))
	}
	others.Wait()
	starts, kept, overlaps := w.faults.totals()
	rec.printf("ordinary jobs: %s", ordinary)
	rec.printf("%d starts, %d of them without an answer and carried out late; two runs at once: %d times", starts, kept, overlaps)
	return overlaps == 0, nil
}
