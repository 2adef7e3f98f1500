package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The figures of the cases; the clients of the small deployments wait 1.5 s for an answer and come back 1.3 s after none.
const (
	entryCount     = 3
	clientDeadline = 1500 * time.Millisecond
	retryDelay     = 1300 * time.Millisecond
	// recoverTime is RecoverS of the small deployments.
	recoverTime = 12 * time.Second
)

// tally counts answers by their status and state.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
	served int
	all    int
}

func newTally() *tally { return &tally{counts: map[string]int{}} }

func (t *tally) add(status int, state string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all++
	key := fmt.Sprintf("%d %s", status, state)
	if status == 0 {
		key = "no answer"
	}
	t.counts[key]++
	if status == http.StatusOK && state == "completed" {
		t.served++
	}
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d of %d served, %v", t.served, t.all, t.counts)
}

// postOrdinary sends small jobs to all entries for a time, one after the other at each entry, and returns the answers.
func postOrdinary(w *world, body string, length time.Duration) *tally {
	t := newTally()
	var clients sync.WaitGroup
	until := time.Now().Add(length)
	for entry := range entryCount {
		clients.Go(func() {
			for time.Now().Before(until) {
				t.add(w.post(entry, newID(), body, clientDeadline))
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	return t
}

// playSmallTasks has clients send jobs of 1,800 small tasks, and other clients ordinary jobs beside them. The rule is broken if on two
// machines the process was ended three times because it exceeded the memory of its machine.
func playSmallTasks(rec *record, trouble bool) (bool, error) {
	const (
		agents  = 4
		clients = 60
		length  = 95 * time.Second
		ends    = 3
	)
	w, err := newWorld(rec, agents)
	defer w.close()
	if err != nil {
		return false, err
	}
	large := newTally()
	var crowd sync.WaitGroup
	if trouble {
		body := `{"Spec":"100ms","BestEffort":true,"Steps":[{"Count":1800,"EstimateMs":100}]}`
		rec.printf("%d clients send: %s", clients, body)
		until := time.Now().Add(length)
		for i := range clients {
			crowd.Go(func() {
				for time.Now().Before(until) {
					large.add(w.post(i%entryCount, newID(), body, clientDeadline))
					time.Sleep(retryDelay)
				}
			})
		}
	}
	rec.printf("ordinary jobs: %s", postOrdinary(w, jobBody(4, 6200, 64, 100, "100ms"), length))
	crowd.Wait()
	rec.printf("jobs of 1,800 tasks: %s", large)
	machines := 0
	for i, p := range w.processes() {
		rec.printf("%s: at most %d MB of %d, ended %d times for its memory, %d times otherwise", p.name, p.peak(), p.memoryMB, p.over, p.ended)
		if i >= entryCount {
			rec.printf("%s: %d starts at its worker, at most %d at once", p.name, w.workers[i-entryCount].starts, w.workers[i-entryCount].peak)
		}
		if p.over+p.ended >= ends {
			machines++
		}
	}
	rec.printf("processes of %d machines ended %d times or more by themselves", machines, ends)
	return machines < 2, nil
}

// playLongTasks has a client send jobs whose tasks run ten times as long as declared, and then, with the deployment calm again, others
// send ordinary jobs of the same queue. The rule is broken if less than a quarter of these is served, though a quarter was before.
func playLongTasks(rec *record, trouble bool) (bool, error) {
	const (
		jobs         = 6
		longDeadline = 5 * time.Second
		share        = 4
	)
	w, err := newWorld(rec, 11)
	defer w.close()
	if err != nil {
		return false, err
	}
	ordinary := jobBody(4, 6200, 64, 170, "170ms")
	before := postOrdinary(w, ordinary, 10*time.Second)
	rec.printf("before: %s", before)
	if trouble {
		long := jobBody(8, 6200, 64, 170, "1800ms")
		var clients sync.WaitGroup
		for entry := range entryCount {
			clients.Go(func() {
				for range jobs {
					sent := time.Now()
					status, state := w.post(entry, newID(), long, longDeadline)
					rec.printf("long job at entry %d: %d %s after %d ms", entry+1, status, state, time.Since(sent).Milliseconds())
				}
			})
		}
		clients.Wait()
	}
	rec.printf("no job is sent for %v", recoverTime)
	time.Sleep(recoverTime)
	after := postOrdinary(w, ordinary, 60*time.Second)
	rec.printf("after: %s", after)
	if before.served*share < before.all {
		return false, fmt.Errorf("only %d of %d jobs were served before", before.served, before.all)
	}
	return after.served*share >= after.all, nil
}

// postSteadily sends ordinary jobs to all entries at a rate, whether or not the earlier ones are answered, and returns the answers.
func postSteadily(w *world, perSecond int, length time.Duration) *tally {
	t := newTally()
	var clients sync.WaitGroup
	until := time.Now().Add(length)
	for entry := range entryCount {
		clients.Go(func() {
			for time.Now().Before(until) {
				runMS := 50 + rand.IntN(100)
				clients.Go(func() {
					t.add(w.post(entry, newID(), jobBody(4, 6200, 64, runMS, fmt.Sprintf("%dms", runMS)), clientDeadline))
				})
				time.Sleep(time.Second / time.Duration(perSecond))
			}
		})
	}
	clients.Wait()
	return t
}

// playImpossibleJobs sends one job to each entry whose tasks need more memory than any worker has, beside a steady load of ordinary
// jobs. The rule is broken if less than a quarter of the ordinary jobs is served meanwhile, though a quarter was before.
func playImpossibleJobs(rec *record, trouble bool) (bool, error) {
	const (
		perSecond    = 40
		taskMemoryMB = 300_000
		patience     = 45 * time.Second
		share        = 4
	)
	w, err := newWorld(rec, 11)
	defer w.close()
	if err != nil {
		return false, err
	}
	before := postSteadily(w, perSecond, 10*time.Second)
	rec.printf("before: %s", before)
	var clients sync.WaitGroup
	for entry := range entryCount {
		if !trouble {
			break
		}
		clients.Go(func() {
			sent := time.Now()
			status, state := w.post(entry, newID(), jobBody(32, 6200, taskMemoryMB, 8100, "100ms"), patience)
			rec.printf("job for %d MB a task at entry %d: %d %s after %d ms", taskMemoryMB, entry+1, status, state, time.Since(sent).Milliseconds())
		})
	}
	all, served := 0, 0
	for i := range 6 {
		during := postSteadily(w, perSecond, 5*time.Second)
		rec.printf("from second %d on: %s", 5*i, during)
		all, served = all+during.all, served+during.served
	}
	clients.Wait()
	for i := range 4 {
		rec.printf("afterwards, from second %d on: %s", 5*i, postSteadily(w, perSecond, 5*time.Second))
	}
	if before.served*share < before.all {
		return false, fmt.Errorf("only %d of %d jobs were served before", before.served, before.all)
	}
	return served*share >= all, nil
}
