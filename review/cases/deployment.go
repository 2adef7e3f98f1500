//go:build review

package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"hibiscusrouter/platform/hibiscusplatformstandin"
)

const (
	serviceName = hibiscusplatformstandin.Service
	zoneName    = "mu-west-a"
	// workerCPU is the capacity of a worker in thousandths of a core, as on pldp-sched, and taskCPU that of a task.
	workerCPU = 64000
	taskCPU   = 6200
	// resendDelay is RetryDelayMs: a client sends a job again that long after no response, a broken connection, 502 or 504.
	resendDelay = 1300 * time.Millisecond
	// clientRoundTrip is the round trip between a client and an entry: 1 ms one way.
	clientRoundTrip = 2 * time.Millisecond
	// queuePrefix and heavyQueue are the path prefixes of the queues.
	queuePrefix  = "/jobs/"
	heavyQueue   = "/heavy/"
	readyTimeout = 15 * time.Second
)

// process is a process of the system.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	// ending is set before the case ends the process.
	ending bool
}

// entryNode is an edge machine with its entry. All connections to and from it go through its gate.
type entryNode struct {
	process *process
	gate    *gate
	// frontGate is the gate of the connections of clients.
	frontGate *gate
	front     string
}

// cut cuts the machine off.
func (n *entryNode) cut() {
	n.gate.cut()
	n.frontGate.cut()
}

// workerNode is a side machine with its agent and its worker.
type workerNode struct {
	process *process
	gate    *gate
	worker  *worker
	control string
}

// deployment is a small deployment on loopback: every machine has its own address, with the ports of the platform.
type deployment struct {
	dir     string
	octet   int
	record  *record
	store   *hibiscusplatformstandin.Store
	entries []*entryNode
	workers []*workerNode
	mu      sync.Mutex
	procs   []*process
}

func (d *deployment) address(group, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", d.octet, group, host, port)
}

// newDeployment starts the platform, the entries, the agents and the workers, and waits until they serve.
func newDeployment(rec *record, entries, workers int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, record: rec, store: hibiscusplatformstandin.NewStore()}
	if err := d.findNetwork(); err != nil {
		return d, err
	}
	d.store.Put("op", "config", hibiscusplatformstandin.Configuration(1, queuePrefix, heavyQueue))
	l, err := net.Listen("tcp", d.address(9, 1, 8169))
	if err != nil {
		return d, err
	}
	go serve(l, d.store)
	var seeds []string
	for i := range min(entries, 3) {
		seeds = append(seeds, d.address(11, i+1, 8166))
	}
	for i := range entries {
		if err := d.addEntry(i, seeds); err != nil {
			return d, err
		}
	}
	for i := range workers {
		if err := d.addWorker(i, seeds); err != nil {
			return d, err
		}
	}
	return d, d.awaitService()
}

// findNetwork chooses a /16 of loopback addresses whose store port is free.
func (d *deployment) findNetwork() error {
	for range 50 {
		d.octet = 20 + rand.IntN(200)
		if l, err := net.Listen("tcp", d.address(9, 1, 8169)); err == nil {
			return l.Close()
		}
	}
	return errors.New("no free addresses on loopback")
}

// serve serves HTTP until the program ends.
func serve(l net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	if err := server.Serve(l); err != nil {
		fmt.Fprintln(os.Stderr, "stand-in:", err)
	}
}

// gateOf returns the gate of the machine whose process owns the local end of a connection with this port.
func (d *deployment) gateOf(port int) *gate {
	d.mu.Lock()
	entries, workers := d.entries, d.workers
	d.mu.Unlock()
	for _, e := range entries {
		if e.process != nil && ownsPort(e.process.cmd.Process.Pid, port) {
			return e.gate
		}
	}
	for _, w := range workers {
		if w.process != nil && ownsPort(w.process.cmd.Process.Pid, port) {
			return w.gate
		}
	}
	return nil
}

// addEntry starts an edge machine: the settings are those of deploy/entry.yaml, and advertised_address leads others to the proxy that
// stands for the machine's link.
func (d *deployment) addEntry(i int, seeds []string) error {
	n := &entryNode{gate: newGate(), frontGate: newGate(), front: d.address(12, i+1, 8161)}
	control := d.address(11, i+1, 8166)
	if _, err := newProxy(n.front, d.address(1, i+1, 8161), n.frontGate, nil); err != nil {
		return err
	}
	if _, err := newProxy(control, d.address(1, i+1, 8166), n.gate, d.gateOf); err != nil {
		return err
	}
	if _, err := newProxy(d.address(9, 10+i, 8169), d.address(9, 1, 8169), n.gate, nil); err != nil {
		return err
	}
	name := fmt.Sprintf("entry-%d", i+1)
	settings := fmt.Sprintf("caller_address: %q\nready_address: %q\nsession_address: %q\nadvertised_address: %q\nmetrics_address: %q\n"+
		"platform_address: %q\nfailure_domain: %q\nshared_key: \"sessions of one deployment\"\nseed_entries: [%s]\ndrain_ms: 2500\n"+
		"stop_grace_s: 6\n", d.address(1, i+1, 8161), d.address(1, i+1, 8167), d.address(1, i+1, 8166), control,
		d.address(1, i+1, 7720), d.address(9, 10+i, 8169), zoneName, strings.Join(seeds, ", "))
	d.mu.Lock()
	d.entries = append(d.entries, n)
	d.mu.Unlock()
	var err error
	n.process, err = d.spawn(name, "entry", settings)
	return err
}

// addWorker starts a side machine; the settings are those of deploy/agent.yaml.
func (d *deployment) addWorker(i int, seeds []string) error {
	n := &workerNode{gate: newGate(), control: d.address(2, i+1, 8166)}
	if _, err := newProxy(d.address(9, 100+i, 8169), d.address(9, 1, 8169), n.gate, nil); err != nil {
		return err
	}
	settings := fmt.Sprintf("endpoint_address: %q\nmetrics_address: %q\nplatform_address: %q\nfailure_domain: %q\n"+
		"shared_key: \"sessions of one deployment\"\nseed_entries: [%s]\nstop_grace_s: 6\n", n.control, d.address(2, i+1, 7721),
		d.address(9, 100+i, 8169), zoneName, strings.Join(seeds, ", "))
	name := fmt.Sprintf("agent-%d", i+1)
	var err error
	d.mu.Lock()
	d.workers = append(d.workers, n)
	d.mu.Unlock()
	if n.process, err = d.spawn(name, "agent", settings); err != nil {
		return err
	}
	n.worker, err = newWorker(fmt.Sprintf("worker-%d", i+1), d.address(3, i+1, 8360), n.control, workerCPU, d.record)
	return err
}

// spawn starts a program with the command of the deploy file.
func (d *deployment) spawn(name, role, settings string) (*process, error) {
	path := filepath.Join(d.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("target/hibiscusrouter", role, "--platform", "--settings", path)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	d.mu.Lock()
	d.procs = append(d.procs, p)
	d.mu.Unlock()
	go func() {
		err := cmd.Wait()
		d.mu.Lock()
		ending := p.ending
		d.mu.Unlock()
		if !ending {
			d.record.violate("process %s ended by itself: %v", name, err)
		}
		close(p.done)
	}()
	return p, nil
}

// awaitService waits until every entry has served a job on all workers.
func (d *deployment) awaitService() error {
	deadline := time.Now().Add(readyTimeout)
	for i, e := range d.entries {
		for {
			c := d.newClient(fmt.Sprintf("probe-%d", i+1))
			status := c.send(e, job{id: newID(), tasks: 2 * len(d.workers), duration: 20 * time.Millisecond}, time.Second)
			c.close()
			if status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not serve", e.process.name)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	// The agents' sessions to all entries are open by now.
	time.Sleep(time.Second)
	return nil
}

// close ends all processes.
func (d *deployment) close() {
	for _, e := range d.entries {
		e.gate.heal()
		e.frontGate.heal()
	}
	for _, w := range d.workers {
		w.gate.heal()
	}
	d.mu.Lock()
	procs := d.procs
	for _, p := range procs {
		p.ending = true
	}
	d.mu.Unlock()
	for _, p := range procs {
		p.cmd.Process.Kill()
		<-p.done
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		os.Rename(d.dir, keep)
		return
	}
	os.RemoveAll(d.dir)
}

// job is a job of one step that does not have to be kept; queue is queuePrefix if it is empty.
type job struct {
	id       string
	queue    string
	tasks    int
	duration time.Duration
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (j job) body() string {
	return fmt.Sprintf(`{"Spec":"%s","BestEffort":true,"Steps":[{"Count":%d,"Cpu":%d,"MemMb":64,"EstimateMs":%d}]}`,
		j.duration, j.tasks, taskCPU, j.duration.Milliseconds())
}

// client is a caller with its own connections.
type client struct {
	name   string
	record *record
	http   *http.Client
}

func (d *deployment) newClient(name string) *client {
	return &client{name: name, record: d.record, http: &http.Client{Transport: &http.Transport{}}}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// send submits a job once, and waits at most for its deadline. It returns the status, zero for no response.
func (c *client) send(e *entryNode, j job, deadline time.Duration) int {
	return c.call(e, http.MethodPost, j, deadline)
}

func (c *client) call(e *entryNode, method string, j job, deadline time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	body := ""
	if method == http.MethodPost {
		body = j.body()
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+cmp.Or(j.queue, queuePrefix)+j.id, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = hibiscusplatformstandin.Host
	// The transport must not send a request again by itself.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	c.record.logf("client   %s: %s of job %s (%d tasks of %v, deadline %v) to %s", c.name, method, j.id, j.tasks, j.duration, deadline,
		e.process.name)
	response, err := c.http.Do(request)
	if err != nil {
		c.record.logf("client   %s: job %s got no response: %v", c.name, j.id, err)
		return 0
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		c.record.logf("client   %s: job %s got a broken response: %v", c.name, j.id, err)
		return 0
	}
	c.record.logf("client   %s: job %s gets %d %s", c.name, j.id, response.StatusCode, raw)
	return response.StatusCode
}

// submit sends a job until it is answered, at most attempts times, each time to the next of the entries. It sends again as the pages
// say: resendDelay after no response, a broken connection, 502 or 504.
func (c *client) submit(entries []*entryNode, j job, deadline time.Duration, attempts int) int {
	status := 0
	for i := range attempts {
		status = c.send(entries[i%len(entries)], j, deadline)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return status
		}
		time.Sleep(resendDelay)
	}
	return status
}
