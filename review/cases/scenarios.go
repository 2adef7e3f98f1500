//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// pause waits until a time after the start of a phase.
func pause(from time.Time, after time.Duration) { time.Sleep(time.Until(from.Add(after))) }

// workerOf returns the machine on which a task runs, nil for none.
func (d *deployment) workerOf(task string) *workerNode {
	names := d.record.runs(task)
	if len(names) == 0 {
		return nil
	}
	for _, n := range d.workers {
		if n.worker.name == names[0] {
			return n
		}
	}
	return nil
}

// cutWorker cuts a side machine off while a long task runs there and little else happens.
func cutWorker(d *deployment, trouble bool) {
	heavy := func(tasks int) job {
		return job{id: newID(), queue: heavyQueue, tasks: tasks, duration: 6 * time.Second}
	}
	// The entry learns how long the jobs of this queue run.
	d.newClient("long").submit(d.entries, heavy(10), 15*time.Second, 1)
	for range 3 {
		d.cutDuringLongTask(heavy(1), trouble)
	}
}

// cutDuringLongTask submits a job of one long task and now and then a job of short ones. Between two short jobs, it cuts off the
// machine on which the long task runs, for 5 s.
func (d *deployment) cutDuringLongTask(heavy job, trouble bool) {
	c, long := d.newClient("short"), d.newClient("long")
	short := func() job { return job{id: newID(), tasks: 30, duration: 100 * time.Millisecond} }
	began := time.Now()
	var clients sync.WaitGroup
	defer clients.Wait()
	clients.Go(func() { long.submit(d.entries, heavy, 15*time.Second, 2) })
	pause(began, 100*time.Millisecond)
	c.submit(d.entries, short(), 1500*time.Millisecond, 2)
	pause(began, 1850*time.Millisecond)
	n := d.workerOf(taskName(heavy.id, 0))
	if n == nil {
		d.record.logf("the long task does not run")
		return
	}
	if trouble {
		d.record.logf("trouble  the machine of %s is cut off from all other machines of the system", n.worker.name)
		n.gate.cut()
	}
	pause(began, 1950*time.Millisecond)
	c.submit(d.entries, short(), 1500*time.Millisecond, 2)
	pause(began, 6850*time.Millisecond)
	if trouble {
		d.record.logf("trouble  the cut heals")
		n.gate.heal()
	}
	clients.Wait()
	time.Sleep(time.Second)
}

// Times of cutEntry: the length of the cut, and when the request is sent after its begin.
const (
	cutTime      = 2600 * time.Millisecond
	requestDelay = 100 * time.Millisecond
)

// cutEntry cuts an edge machine off while a client sends a job to it.
func cutEntry(d *deployment, trouble bool) {
	a, b := d.entries[0], d.entries[1]
	c := d.newClient("caller")
	// The connection to the first entry stays open.
	c.send(a, job{id: newID(), tasks: 6, duration: 50 * time.Millisecond}, 1500*time.Millisecond)
	began := time.Now()
	if trouble {
		d.record.logf("trouble  the machine of %s is cut off", a.process.name)
		a.cut()
		time.AfterFunc(cutTime, func() {
			d.record.logf("trouble  the cut heals")
			a.gate.heal()
		})
		// TCP sends an unacknowledged segment again 0.2, 0.6, 1.4 and 3.0 s after the first time, so the request that was sent
		// at requestDelay and held up by the cut arrives 3.0 s later, half a second after the end of the cut.
		time.AfterFunc(requestDelay+3*time.Second, func() {
			d.record.logf("trouble  the held-up request arrives")
			a.frontGate.heal()
		})
	}
	pause(began, requestDelay)
	c.submit([]*entryNode{a, b}, job{id: newID(), tasks: 12, duration: 900 * time.Millisecond}, 1500*time.Millisecond, 3)
	time.Sleep(3 * time.Second)
}

// otherWriter sends an agent a heartbeat of another writer.
func otherWriter(d *deployment, trouble bool) {
	c := d.newClient("caller")
	for i := range 5 {
		var clients sync.WaitGroup
		clients.Go(func() {
			c.submit(d.entries, job{id: newID(), tasks: 12, duration: 900 * time.Millisecond}, 1500*time.Millisecond, 2)
		})
		time.Sleep(300 * time.Millisecond)
		if trouble {
			n := d.workers[i%len(d.workers)]
			raw, err := json.Marshal(map[string]any{
				"Service": "huvo11a", "Address": n.worker.address, "Zone": zoneName, "Version": "v1", "Slots": 8, "State": "ready",
				"Capacity": map[string]any{"Cpu": workerCPU, "MemMb": 262144}, "Labels": []string{"a", "r1-1"}, "ClockMs": 1000,
				"Sequence": 1, "born": time.Now().UnixMilli(),
			})
			if err != nil {
				panic(err)
			}
			status, err := putHeartbeat(&http.Client{Timeout: time.Second}, n.control, "i-00c0ffee", raw)
			d.record.logf("trouble  heartbeat of another writer to the machine of %s: %d %v: %s", n.worker.name, status, err, raw)
		}
		clients.Wait()
		time.Sleep(2500 * time.Millisecond)
	}
}

// cancelJob cancels one of four running jobs.
func cancelJob(d *deployment, trouble bool) {
	// After the acknowledgement of the cancelling, cancel_ms (3,000), StopTimeoutMs (50) and 100 ms for a late timer.
	const ended = 3150 * time.Millisecond
	j := job{id: newID(), tasks: 2, duration: 6 * time.Second}
	var clients sync.WaitGroup
	defer clients.Wait()
	for i := range 4 {
		other := j
		if i > 0 {
			other.id = newID()
		}
		clients.Go(func() { d.newClient(fmt.Sprintf("caller-%d", i)).send(d.entries[0], other, 12*time.Second) })
	}
	time.Sleep(500 * time.Millisecond)
	if !trouble {
		return
	}
	c := d.newClient("canceller")
	status := c.call(d.entries[0], http.MethodDelete, j, 1500*time.Millisecond)
	acknowledged := time.Now()
	if status != http.StatusGone && status/100 != 2 {
		return
	}
	c.call(d.entries[0], http.MethodGet, j, 1500*time.Millisecond)
	pause(acknowledged, ended)
	for i := range j.tasks {
		if workers := d.record.runs(taskName(j.id, i)); len(workers) > 0 {
			d.record.violate("UNASKED: task %s runs on %s, %d ms after the cancelling of its job was acknowledged with %d",
				taskName(j.id, i), workers[0], time.Since(acknowledged).Milliseconds(), status)
		}
	}
}

// lateOrder cuts a side machine off for less than two seconds while its session to the entry is quiet, and an order is under way.
func lateOrder(d *deployment, trouble bool) {
	c := d.newClient("caller")
	c.submit(d.entries, job{id: newID(), queue: heavyQueue, tasks: 12, duration: 1400 * time.Millisecond}, 5*time.Second, 1)
	for i := range 4 {
		n := d.workers[i%len(d.workers)]
		// The last traffic before the quiet time: each worker gets tasks.
		c.submit(d.entries, job{id: newID(), tasks: 30, duration: 50 * time.Millisecond}, 1500*time.Millisecond, 1)
		time.Sleep(1600 * time.Millisecond)
		if trouble {
			d.record.logf("trouble  the machine of %s is cut off from all other machines of the system", n.worker.name)
			n.gate.cut()
			time.AfterFunc(1700*time.Millisecond, func() {
				d.record.logf("trouble  the cut heals")
				n.gate.heal()
			})
		}
		time.Sleep(20 * time.Millisecond)
		c.submit(d.entries, job{id: newID(), queue: heavyQueue, tasks: 45, duration: 1400 * time.Millisecond}, 1500*time.Millisecond, 2)
		time.Sleep(2 * time.Second)
	}
}
