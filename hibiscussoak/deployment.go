package hibiscussoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/platform/hibiscusplatformstandin"
)

const (
	callerPort  = 8161
	workerPort  = 8165
	controlPort = 8166
	storePort   = 8169
	// workerMillicores is the capacity of a worker. A task takes half a core, so that four run at once.
	workerMillicores = 2000
	// slowClockRate is the lowest clock rate that a worker may have.
	slowClockRate = 0.98
	// announceInterval is the time between two announcements of a worker.
	announceInterval = 1500 * time.Millisecond
	// stopGrace is how long a process may take to stop on request; restartDelay is the time from its exit to its restart.
	stopGrace    = 6 * time.Second
	restartDelay = 300 * time.Millisecond
	// jobPrefix is the queue of the clients' jobs, in all versions of the configuration.
	jobPrefix = "/jobs/"
)

// entryNode is an entry with its proxies. Requests to directAddress bypass the caller proxy.
type entryNode struct {
	process       *process
	callerProxy   *proxy
	sessionProxy  *proxy
	storeProxy    *proxy
	directAddress string
	mu            sync.Mutex
	unanswered    []unansweredRequest
}

// unansweredRequest is a request whose connection was closed without a response.
type unansweredRequest struct {
	job             *submittedJob
	firstSubmission bool
	sentAt          time.Time
	closedAt        time.Time
}

// isViolation reports whether a planned stop must not have closed the connection of the request: it had waited for too long, or
// its job was started. The latter counts only for the first submission: a job may have been started by an earlier one at another
// entry.
func (r unansweredRequest) isViolation(started bool) bool {
	return r.closedAt.Sub(r.sentAt) > maxUnansweredTime || r.firstSubmission && started
}

func (n *entryNode) addUnanswered(r unansweredRequest) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unanswered = append(n.unanswered, r)
}

// unansweredBetween returns the requests whose connections were closed between two times.
func (n *entryNode) unansweredBetween(from, to time.Time) []unansweredRequest {
	n.mu.Lock()
	defer n.mu.Unlock()
	var unanswered []unansweredRequest
	for _, r := range n.unanswered {
		if r.closedAt.After(from) && r.closedAt.Before(to) {
			unanswered = append(unanswered, r)
		}
	}
	return unanswered
}

// workerNode is a worker with its agent, the proxy between the two, and the proxy between the agent and the store.
type workerNode struct {
	name         string
	domain       string
	leaving      atomic.Bool
	crashing     atomic.Bool
	process      *process
	worker       *hibiscusplatformstandin.Worker
	workerProxy  *proxy
	storeProxy   *proxy
	agentAddress string
}

// deployment is a small deployment on loopback: each VM has its own address in 127.0.0.0/8, as on the users' platform, and all
// connections except those of the workers' announcements go through a proxy.
//
//	clients -> caller proxy -> entry <- session proxy <- agents and entries
//	entry, agent -> store proxy -> store        agent -> worker proxy -> worker
type deployment struct {
	dir         string
	binary      string
	secondOctet byte
	observer    *hibiscusplatformstandin.Observer
	store       *hibiscusplatformstandin.Store
	entries     []*entryNode
	workers     []*workerNode
	checks      *checks
	history     *history
	evacuated   [2]atomic.Bool
	client      *http.Client
	servers     []*http.Server
	proxies     []*proxy
	goroutines  sync.WaitGroup
	// versions are those of the configuration, in ascending order.
	configMu sync.Mutex
	versions []int
}

// newDeployment starts a deployment whose logs and settings are in dir. It may return one that is to be closed and an error.
func newDeployment(ctx context.Context, dir, binary string, entries, agents int, c *checks) (*deployment, error) {
	d := &deployment{
		dir: dir, binary: binary, store: hibiscusplatformstandin.NewStore(), checks: c, observer: c.observer, history: newHistory(),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if err := d.findNetwork(); err != nil {
		return nil, err
	}
	d.configure()
	if err := d.startServer(d.address(9, 1, storePort), d.store); err != nil {
		return nil, err
	}
	seeds := make([]string, entries)
	for i := range seeds {
		seeds[i] = d.address(11, i+1, controlPort)
	}
	for i := range entries {
		if err := d.addEntry(i, seeds); err != nil {
			return d, err
		}
	}
	for i := range agents {
		if err := d.addWorker(ctx, i, seeds); err != nil {
			return d, err
		}
	}
	return d, nil
}

// findNetwork chooses a /16 network within 127.0.0.0/8 in which the address of the store is free.
func (d *deployment) findNetwork() error {
	for range 50 {
		d.secondOctet = byte(20 + rand.IntN(200))
		l, err := net.Listen("tcp", d.address(9, 1, storePort))
		if err == nil {
			return l.Close()
		}
	}
	return errors.New("no free addresses on loopback")
}

func (d *deployment) address(group, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", d.secondOctet, group, host, port)
}

func (d *deployment) startServer(address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	d.servers = append(d.servers, server)
	d.goroutines.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.checks.addViolation("stand-in at %s ended: %v", address, err)
		}
	})
	return nil
}

func (d *deployment) addProxy(address, server string) (*proxy, error) {
	p, err := newProxy(address, server)
	if err == nil {
		d.proxies = append(d.proxies, p)
	}
	return p, err
}

func (d *deployment) addEntry(i int, seeds []string) error {
	n := &entryNode{directAddress: d.address(1, i+1, callerPort)}
	var err error
	for _, p := range []struct {
		proxy           **proxy
		address, server string
	}{
		{&n.callerProxy, d.address(12, i+1, callerPort), n.directAddress},
		{&n.sessionProxy, seeds[i], d.address(1, i+1, controlPort)},
		{&n.storeProxy, d.address(9, 10+i, storePort), d.address(9, 1, storePort)},
	} {
		var proxyErr error
		*p.proxy, proxyErr = d.addProxy(p.address, p.server)
		err = errors.CombineErrors(err, proxyErr)
	}
	if err != nil {
		return err
	}
	name := fmt.Sprintf("entry-%d", i+1)
	settings, err := writeSettings(d.dir, name, domains[i%len(domains)],
		"caller_address: %s\nsession_address: %s\nadvertised_address: %s\nplatform_address: %s\n"+
			"seed_entries: %s\nstop_grace_s: %d\ndrain_ms: 500\n", n.directAddress, d.address(1, i+1, controlPort), seeds[i],
		d.address(9, 10+i, storePort), yamlList(seeds), int(stopGrace.Seconds()))
	if err != nil {
		return err
	}
	n.process = newProcess(d.dir, name, d.binary, "entry", settings, d.checks.addViolation)
	d.entries = append(d.entries, n)
	return n.process.start()
}

func (d *deployment) addWorker(ctx context.Context, i int, seeds []string) error {
	name := fmt.Sprintf("worker-%d", i+1)
	workerAddress, announcedAddress := d.address(3, i+1, workerPort), d.address(13, i+1, workerPort)
	w := hibiscusplatformstandin.NewWorker(name, announcedAddress, workerMillicores, d.observer).
		WithDomain(domains[i%len(domains)]).WithSpeed(speeds[i%len(speeds)])
	if i == 0 {
		w.WithClockRate(slowClockRate)
	}
	n := &workerNode{name: name, domain: domains[i%len(domains)], worker: w, agentAddress: d.address(2, i+1, controlPort)}
	if err := d.startServer(workerAddress, w); err != nil {
		return err
	}
	var err, storeErr error
	n.workerProxy, err = d.addProxy(announcedAddress, workerAddress)
	n.storeProxy, storeErr = d.addProxy(d.address(9, 100+i, storePort), d.address(9, 1, storePort))
	if err = errors.CombineErrors(err, storeErr); err != nil {
		return err
	}
	agentName := fmt.Sprintf("agent-%d", i+1)
	settings, err := writeSettings(d.dir, agentName, n.domain,
		"endpoint_address: %s\nplatform_address: %s\nseed_entries: %s\nstop_grace_s: %d\n",
		n.agentAddress, d.address(9, 100+i, storePort), yamlList(seeds), int(stopGrace.Seconds()))
	if err != nil {
		return err
	}
	n.process = newProcess(d.dir, agentName, d.binary, "agent", settings, d.checks.addViolation)
	d.workers = append(d.workers, n)
	d.goroutines.Go(func() { d.announce(ctx, n) })
	return n.process.start()
}

func yamlList(items []string) string {
	list := "["
	for i, item := range items {
		if i > 0 {
			list += ", "
		}
		list += item
	}
	return list + "]"
}

// announce sends a worker's announcements until ctx is done.
func (d *deployment) announce(ctx context.Context, n *workerNode) {
	for ctx.Err() == nil {
		wait := announceInterval
		if !d.announceOnce(ctx, n) {
			// The agent is unavailable; a worker retries soon.
			wait = restartDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// announceOnce sends an announcement of a worker, unless it is down, and reports whether the agent has acknowledged it.
func (d *deployment) announceOnce(ctx context.Context, n *workerNode) bool {
	if n.worker.Down() {
		return false
	}
	call, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	status, err := hibiscusplatformstandin.Announce(call, d.client, n.agentAddress, "i-"+n.name, n.worker.Announcement("ready"))
	return err == nil && status == http.StatusOK
}

// processes returns all processes of the system.
func (d *deployment) processes() []*process {
	var all []*process
	for _, e := range d.entries {
		all = append(all, e.process)
	}
	for _, w := range d.workers {
		all = append(all, w.process)
	}
	return all
}

// close stops all processes, proxies and stand-ins of the deployment.
func (d *deployment) close() {
	var kills sync.WaitGroup
	for _, p := range d.processes() {
		kills.Go(func() {
			p.signal(syscall.SIGCONT, true)
			p.kill()
		})
	}
	kills.Wait()
	for _, p := range d.proxies {
		p.close()
	}
	for _, s := range d.servers {
		// An error is only logged: an open connection can no longer affect the result.
		if err := s.Close(); err != nil {
			d.checks.logf("stand-in: %v", err)
		}
	}
	d.goroutines.Wait()
}
