//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a case. It also knows which runs are in progress, and collects the violations. It is safe for concurrent use.
type record struct {
	mu         sync.Mutex
	began      time.Time
	file       *os.File
	running    map[string][]runOnWorker
	starts     int
	violations []string
}

// runOnWorker is a run in progress.
type runOnWorker struct {
	worker string
	run    int
	began  time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, running: map[string][]runOnWorker{}}, nil
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logLocked(format, args...)
}

func (r *record) logLocked(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	if _, err := r.file.WriteString(line); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
}

// violate records that the rule was broken.
func (r *record) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violateLocked(format, args...)
}

func (r *record) violateLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.violations = append(r.violations, text)
	r.logLocked("BROKEN   %s", text)
}

// begin records the start of a run, and a violation of TWICE if another run of the task is in progress.
func (r *record) begin(worker, task string, run int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts++
	r.logLocked("worker   %s starts %s run %d", worker, task, run)
	for _, other := range r.running[task] {
		r.violateLocked("TWICE: task %s runs on %s (run %d, for %d ms already) and on %s (run %d)", task, other.worker, other.run,
			time.Since(other.began).Milliseconds(), worker, run)
	}
	r.running[task] = append(r.running[task], runOnWorker{worker: worker, run: run, began: time.Now()})
}

// end records the end of a run.
func (r *record) end(worker, task string, run int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, other := range r.running[task] {
		if other.worker == worker && other.run == run {
			r.running[task] = append(r.running[task][:i:i], r.running[task][i+1:]...)
			if len(r.running[task]) > 0 {
				r.logLocked("         (another run of %s is in progress)", task)
			}
			break
		}
	}
	r.logLocked("worker   %s ends %s run %d: %s", worker, task, run, how)
}

// runs returns the workers on which a task runs.
func (r *record) runs(task string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var workers []string
	for _, run := range r.running[task] {
		workers = append(workers, run.worker)
	}
	return workers
}

// close writes the result and returns the exit status.
func (r *record) close() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logLocked("result   %d starts, %d violations", r.starts, len(r.violations))
	if err := r.file.Close(); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
	if len(r.violations) > 0 {
		fmt.Println("broken:", r.violations[0])
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}
