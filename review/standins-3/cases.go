//go:build review3

package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the small deployments, as the pages state them.
const (
	retryDelay    = 1300 * time.Millisecond
	cancelBound   = 3000 * time.Millisecond
	stopBound     = 50 * time.Millisecond
	ackTimeout    = 4000 * time.Millisecond
	configApply   = 2000 * time.Millisecond
	drainBound    = 2000 * time.Millisecond
	restartDelay  = 300 * time.Millisecond
	sheetDeadline = 1500 * time.Millisecond
	// maxJobTasks is the size of the largest jobs in the users' first letter, and maxSpec that of the largest Spec.
	maxJobTasks = 1800
	maxSpec     = 4000
)

func init() {
	cases["twice-after-kill"] = twiceAfterKill
	cases["cancel-forgotten"] = cancelForgotten
	cases["cancel-without-queue"] = cancelWithoutQueue
	cases["last-queue-removed"] = lastQueueRemoved
	cases["agent-memory"] = memoryOfAgents
	cases["odd-heartbeat"] = oddHeartbeat
	cases["cancel-at-cut-off"] = cancelAtCutOff
}

// submit sends a job as a client does, again after no answer, 502 or 504, and returns the last answer. Retries reach other nodes.
func (k *client) submit(ctx context.Context, first int, id, body string, deadline time.Duration, tries int) answer {
	var a answer
	for i := range tries {
		a = k.send("POST", k.c.entries[(first+i)%len(k.c.entries)], id, body, deadline)
		if a.status != 0 && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout || ctx.Err() != nil {
			return a
		}
		time.Sleep(retryDelay)
	}
	return a
}

// cancel sends a DELETE until it is answered 2xx or 410 or the limit has passed, and reports when it was acknowledged.
func (k *client) cancel(id string, limit time.Duration) (at time.Time, ok bool) {
	end := time.Now().Add(limit)
	for i := 1; time.Now().Before(end); i++ {
		a := k.send("DELETE", k.c.entries[i%len(k.c.entries)], id, "", sheetDeadline)
		if a.status/100 == 2 || a.status == http.StatusGone {
			return a.at, true
		}
		time.Sleep(time.Second)
	}
	return time.Time{}, false
}

// twiceAfterKill kills the entry that runs two jobs of 1800 tasks; the clients send them again.
func twiceAfterKill(ctx context.Context, c *campaign, trouble bool) (bool, error) {
	const jobs, run, deadline = 2, 6 * time.Second, 12 * time.Second
	if err := c.deploy(ctx, 3, 4); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	for i := range jobs {
		clients.Go(func() {
			body := job(maxJobTasks, 8, 1, strconv.FormatInt(run.Milliseconds(), 10), run.String())
			c.newClient(fmt.Sprintf("client-%d", i+1)).submit(ctx, 0, newID(), body, deadline, 3)
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		c.entries[0].kill()
	}
	clients.Wait()
	return c.overlaps() > 0, nil
}

// cancelForgotten kills all entries after the cancelling of a job was acknowledged, for 4 s; the client sends the job again.
func cancelForgotten(ctx context.Context, c *campaign, trouble bool) (bool, error) {
	const dark = 4 * time.Second
	if err := c.deploy(ctx, 3, 4); err != nil {
		return false, err
	}
	id, body := newID(), job(4, 6200, 64, "760", "760ms")
	var caller sync.WaitGroup
	caller.Go(func() { c.newClient("client").submit(ctx, 0, id, body, sheetDeadline, 8) })
	time.Sleep(200 * time.Millisecond)
	at, ok := c.newClient("canceller").cancel(id, 3*time.Second)
	if !ok {
		return false, fmt.Errorf("the cancel was not acknowledged")
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		for _, e := range c.entries {
			e.kill()
		}
		time.Sleep(dark)
		for _, e := range c.entries {
			if err := e.start(); err != nil {
				return false, err
			}
		}
	}
	caller.Wait()
	time.Sleep(500 * time.Millisecond)
	late := c.started(id, at.Add(cancelBound))
	c.note("%d starts of the job later than %v after its cancelling was acknowledged", len(late), cancelBound)
	return len(late) > 0, nil
}

// cancelAtCutOff cancels a job of entry 1 at entry 2, which has been cut off from all other machines of the system for 6 s.
func cancelAtCutOff(ctx context.Context, c *campaign, trouble bool) (bool, error) {
	// The workers have room for 30 tasks, so that the last 10 tasks start when the first ones end.
	const before, cut, tasks, run, deadline = 6 * time.Second, 11 * time.Second, 40, 3500 * time.Millisecond, 12 * time.Second
	c.proxied = true
	if err := c.deploy(ctx, 3, 3); err != nil {
		return false, err
	}
	if trouble {
		c.note("entry-2 is cut off from the store, the other entries and the agents")
		c.cutOff.Store(c.entries[1])
		time.AfterFunc(cut, func() {
			c.cutOff.Store(nil)
			c.note("entry-2 is connected again")
		})
	}
	time.Sleep(before)
	id := newID()
	var caller sync.WaitGroup
	caller.Go(func() {
		body := job(tasks, 6200, 64, strconv.FormatInt(run.Milliseconds(), 10), run.String())
		c.newClient("client").send("POST", c.entries[0], id, body, deadline)
	})
	time.Sleep(200 * time.Millisecond)
	a := c.newClient("canceller").send("DELETE", c.entries[1], id, "", sheetDeadline)
	if a.status/100 != 2 && a.status != http.StatusGone {
		c.note("the cancel was not acknowledged")
		caller.Wait()
		return false, nil
	}
	caller.Wait()
	late := c.started(id, a.at.Add(cancelBound))
	c.note("%d starts of the job later than %v after its cancelling was acknowledged", len(late), cancelBound)
	return len(late) > 0, nil
}

const (
	checksRoute = `{"Name":"checks","Host":"` + host + `","PathPrefix":"` + prefix + `","Type":"non_idempotent","TimeoutMs":15000,` +
		`"TargetDurationMs":60,"Priority":0,"Service":"` + serviceName + `","MaxAttempts":2,"Stretch":1.6}`
	otherRoute = `{"Name":"other","Host":"` + host + `","PathPrefix":"/other/","Type":"non_idempotent","TimeoutMs":1500,` +
		`"TargetDurationMs":60,"Priority":1,"Service":"` + serviceName + `","MaxAttempts":2,"Stretch":1.6}`
)

// cancelWithoutQueue removes the queue of a running job and cancels the job then.
func cancelWithoutQueue(ctx context.Context, c *campaign, trouble bool) (bool, error) {
	const run, deadline = 12 * time.Second, 14 * time.Second
	if err := c.deploy(ctx, 3, 3); err != nil {
		return false, err
	}
	c.configure(3, checksRoute, otherRoute)
	time.Sleep(configApply)
	id := newID()
	var caller sync.WaitGroup
	caller.Go(func() {
		body := job(4, 6200, 64, strconv.FormatInt(run.Milliseconds(), 10), run.String())
		c.newClient("client").send("POST", c.entries[0], id, body, deadline)
	})
	time.Sleep(500 * time.Millisecond)
	if trouble {
		c.configure(7, otherRoute)
	} else {
		c.configure(7, checksRoute, otherRoute)
	}
	time.Sleep(configApply)
	sent := time.Now()
	at, ok := c.newClient("canceller").cancel(id, ackTimeout)
	if !ok {
		at = sent.Add(ackTimeout)
	}
	time.Sleep(time.Until(at.Add(cancelBound + stopBound)))
	n := c.atWork(id)
	c.note("%d tasks of the job still run %v after its cancelling was acknowledged (%v) or had waited %v", n, cancelBound+stopBound, ok, ackTimeout)
	caller.Wait()
	return n > 0, nil
}

// lastQueueRemoved stores a version without any queue; without the disruption, one queue is left.
func lastQueueRemoved(ctx context.Context, c *campaign, trouble bool) (bool, error) {
	if err := c.deploy(ctx, 3, 3); err != nil {
		return false, err
	}
	c.configure(3, checksRoute, otherRoute)
	time.Sleep(configApply)
	k := c.newClient("client")
	if a := k.send("POST", c.entries[0], newID(), job(2, 6200, 64, "50", "50ms"), sheetDeadline); a.status != http.StatusOK {
		return false, fmt.Errorf("the first job got status %d", a.status)
	}
	if trouble {
		c.configure(7)
	} else {
		c.configure(7, otherRoute)
	}
	time.Sleep(2 * configApply)
	ran := 0
	for i := range 9 {
		if k.send("POST", c.entries[i%3], newID(), job(2, 6200, 64, "50", "50ms"), sheetDeadline).status == http.StatusOK {
			ran++
		}
		time.Sleep(500 * time.Millisecond)
	}
	c.note("%d of 9 jobs ran on the removed queue, sent more than %v after the version was stored", ran, configApply)
	return ran > 0, nil
}

// memoryOfAgents lets 12 clients submit jobs of 1800 tasks. The case acts as the platform: it kills a process over its memory and starts
// it again.
func memoryOfAgents(ctx context.Context, c *campaign, trouble bool) (bool, error) {
	const clients, length, machinesAllowed, endsAllowed = 12, 60 * time.Second, 1, 2
	if err := c.deploy(ctx, 3, 3); err != nil {
		return false, err
	}
	tasks := maxJobTasks
	if !trouble {
		tasks = 8
	}
	load, stop := context.WithTimeout(ctx, length)
	defer stop()
	for i := range clients {
		go func() {
			k := c.newClient(fmt.Sprintf("client-%d", i+1))
			spec := "200ms " + strings.Repeat("x", maxSpec-6)
			for load.Err() == nil {
				k.submit(load, i%3, newID(), job(tasks, 1, 1, "200", spec), sheetDeadline, 3)
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	ends, peaks, machines := map[string]int{}, map[string]int64{}, 0
	for load.Err() == nil && machines <= machinesAllowed {
		time.Sleep(20 * time.Millisecond)
		for _, p := range append(append([]*process{}, c.entries...), c.agents...) {
			used := p.anonymousMemory()
			peaks[p.name] = max(peaks[p.name], used>>20)
			if used <= int64(p.memory)<<20 {
				continue
			}
			c.note("%s uses %d MB of %d MB", p.name, used>>20, p.memory)
			p.kill()
			time.Sleep(restartDelay)
			if err := p.start(); err != nil {
				return false, err
			}
			if ends[p.name]++; ends[p.name] == endsAllowed+1 {
				machines++
			}
		}
	}
	c.note("peaks in MB: %v; ends over the limit: %v", peaks, ends)
	for _, p := range append(append([]*process{}, c.entries...), c.agents...) {
		if p.exits > endsAllowed {
			machines++
		}
	}
	return machines > machinesAllowed, nil
}

// oddHeartbeat sends an agent a heartbeat with fields missing and a high sequence; then the worker starts to drain.
func oddHeartbeat(ctx context.Context, c *campaign, trouble bool) (bool, error) {
	const length = 6 * time.Second
	if err := c.deploy(ctx, 3, 2); err != nil {
		return false, err
	}
	w := c.workers[0]
	if trouble {
		body := fmt.Sprintf(`{"Service":%q,"Address":%q,"State":"ready","Sequence":1000000,"born":%d,"Capacity":{"Cpu":%d,"MemMb":%d,"Gpu":0}}`,
			serviceName, w.address, w.born.UnixMilli(), workerCPU, workerMemory)
		status, err := w.put(ctx, &http.Client{}, body)
		c.note("another writer's heartbeat to %s: %s -> %d %v", w.agent, body, status, err)
	}
	time.Sleep(4 * time.Second)
	w.drain()
	for w.acknowledged().IsZero() {
		if ctx.Err() != nil {
			return false, ctx.Err()
		}
		time.Sleep(10 * time.Millisecond)
	}
	at := w.acknowledged()
	k := c.newClient("client")
	for i := 0; time.Since(at) < length; i++ {
		k.send("POST", c.entries[i%3], newID(), job(8, 500, 64, "50", "50ms"), sheetDeadline)
	}
	n := c.startsOn(w.name, at.Add(drainBound))
	c.note("%d starts on %s later than %v after the acknowledgement", n, w.name, drainBound)
	return n > 0, nil
}

// anonymousMemory returns the memory of the process that is not backed by files, in bytes.
func (p *process) anonymousMemory() int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			kb, _ := strconv.ParseInt(f[1], 10, 64)
			return kb << 10
		}
	}
	return 0
}
