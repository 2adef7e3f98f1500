package hibiscussoak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"hibiscusrouter/platform/hibiscusplatformstandin"
)

const (
	// hostileConnections is the size of a crowd of hostile clients, hostilePart the size of what most of them send at once.
	hostileConnections = 96
	hostilePart        = 1 << 20
	// processMemoryMB is the memory of the smallest VM of the users, which no process may exceed.
	processMemoryMB = 144
)

// hostileParts are what the clients of a crowd send: a head of many short lines, empty lines, and bodies without their end.
var hostileParts = []string{
	"GET /jobs/0 HTTP/1.1\r\nHost: one.example\r\n" + strings.Repeat("a: b\r\n", hostilePart/6),
	strings.Repeat("\r\n", hostilePart/2),
	fmt.Sprintf("POST /jobs/00000000000000fe HTTP/1.1\r\nHost: one.example\r\nContent-Length: %d\r\n\r\n%s", hostilePart,
		strings.Repeat(" ", hostilePart-1)),
	"POST /jobs/00000000000000fd HTTP/1.1\r\nHost: one.example\r\nTransfer-Encoding: chunked\r\n\r\n" +
		strings.Repeat("1000\r\n"+strings.Repeat(" ", 0x1000)+"\r\n", hostilePart/0x1000),
}

// sendHostile lets a crowd of hostile clients hold connections to a process for a time. The process must stay within its memory and
// answer an ordinary request afterwards, unless it was disturbed otherwise.
func (d *deployment) sendHostile(ctx context.Context, target int, duration time.Duration) {
	processes := d.processes()
	i := target % len(processes)
	address := ""
	ordinary := func() bool { return d.announceOnce(ctx, d.workers[i-len(d.entries)]) }
	if i < len(d.entries) {
		address = d.entries[i].directAddress
		ordinary = func() bool { return d.answersCaller(ctx, address) }
	} else {
		address = d.workers[i-len(d.entries)].agentAddress
	}
	began := time.Now()
	d.runCrowd(ctx, address, duration)
	over := time.Now()
	for !ordinary() {
		d.sleep(ctx, probeInterval)
		if time.Since(over) < applyTimeout && ctx.Err() == nil {
			continue
		}
		// A disturbance that began in this time is recorded when it ends.
		d.sleep(ctx, maxFaultDuration+stopGrace)
		if !d.history.disturbed(processes[i].name, began.Add(-contactTime), over.Add(applyTimeout)) {
			d.checks.addViolation("%s does not answer %v after hostile clients", processes[i].name, applyTimeout)
		}
		break
	}
	if peak := processes[i].peakMemoryMB(); peak > processMemoryMB {
		d.checks.addViolation("%s has used %d MB after hostile clients", processes[i].name, peak)
	}
}

// runCrowd opens the connections of a crowd, sends a part on each and closes them after a time.
func (d *deployment) runCrowd(ctx context.Context, address string, duration time.Duration) {
	var crowd sync.WaitGroup
	for i := range hostileConnections {
		crowd.Go(func() {
			conn, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				// The process is down or accepts no more connections.
				return
			}
			defer conn.Close()
			closeAt := time.Now().Add(duration)
			if conn.SetDeadline(closeAt) != nil {
				return
			}
			if _, err := conn.Write([]byte(hostileParts[i%len(hostileParts)])); err == nil {
				d.sleep(ctx, time.Until(closeAt))
			}
		})
	}
	crowd.Wait()
}

// answersCaller reports whether an entry answers a caller's request for a job that does not exist.
func (d *deployment) answersCaller(ctx context.Context, address string) bool {
	call, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	answer, err := hibiscusplatformstandin.Send(call, d.client, http.MethodGet, address, jobPrefix+probeJobID, "", time.Second)
	return err == nil && answer.Status() == http.StatusGone
}

// peakMemoryMB returns the peak of the resident memory of the running child, zero if there is none or the system does not tell.
func (p *process) peakMemoryMB() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0
	}
	kb, err := strconv.Atoi(fields[0])
	if err != nil {
		return 0
	}
	return kb >> 10
}
