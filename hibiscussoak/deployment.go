package hibiscussoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/platform/hibiscusplatformstandin"
)

// A fleet is a small deployment on loopback: each VM has an address of its own in 127.0.0.0/8, as on the users' platform, and
// all connections but those of a worker's announcements go through a proxy.
//
//	clients -> caller proxy -> entry <- session proxy <- agents and entries
//	entry, agent -> store proxy -> store        agent -> worker proxy -> worker

const (
	callerPort  = 8161
	workerPort  = 8165
	controlPort = 8166
	storePort   = 8169
	// workerMillicores is the room of a worker, in thousandths of a core: tasks take half of one, so that four run at once.
	workerMillicores = 2000
	// slowClockRate is the rate of the slowest clock that a worker may have.
	slowClockRate = 0.98
	// announceInterval is how often a worker announces itself.
	announceInterval = 1500 * time.Millisecond
	// grace is how long a process that was asked to stop may take; restartDelay is how soon one that ended starts again.
	stopGrace    = 6 * time.Second
	restartDelay = 300 * time.Millisecond
	// jobPrefix is the queue of the clients' jobs, in all versions.
	jobPrefix = "/jobs/"
)

// entryNode is an entry with the proxies before it and on its way to the store.
type entryNode struct {
	process       *process
	callerProxy   *proxy
	sessionProxy  *proxy
	storeProxy    *proxy
	directAddress string
	mu            sync.Mutex
	unanswered    []unansweredRequest
}

// unansweredRequest is a request whose connection ended without an answer; first says that it was the first try of its job.
type unansweredRequest struct {
	job             *submittedJob
	firstSubmission bool
	sentAt          time.Time
	closedAt        time.Time
}

// breaks says whether a planned stop must not have cut the request: it was held for too long, or its job was started. Of a later
// try that can't be said, because an earlier one, at another entry, may have started the job.
func (c unansweredRequest) isViolation(started bool) bool {
	return c.closedAt.Sub(c.sentAt) > maxUnansweredTime || c.firstSubmission && started
}

func (n *entryNode) addUnanswered(c unansweredRequest) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unanswered = append(n.unanswered, c)
}

// unansweredBetween returns the requests that were cut between two times.
func (n *entryNode) unansweredBetween(from, to time.Time) []unansweredRequest {
	n.mu.Lock()
	defer n.mu.Unlock()
	var cuts []unansweredRequest
	for _, c := range n.unanswered {
		if c.closedAt.After(from) && c.closedAt.Before(to) {
			cuts = append(cuts, c)
		}
	}
	return cuts
}

// workerNode is a worker with its agent and the proxies between them and before the store.
type workerNode struct {
	process      *process
	worker       *hibiscusplatformstandin.Worker
	workerProxy  *proxy
	storeProxy   *proxy
	agentAddress string
}

// fleet is a running deployment.
type deployment struct {
	dir         string
	binary      string
	secondOctet byte
	observer    *hibiscusplatformstandin.Observer
	store       *hibiscusplatformstandin.Store
	entries     []*entryNode
	workers     []*workerNode
	checks      *checks
	client      *http.Client
	servers     []*http.Server
	proxies     []*proxy
	goroutines  sync.WaitGroup
	// versions are those of the configuration, the newest last.
	configMu sync.Mutex
	versions []int
}

// newDeployment starts a deployment whose logs and settings are in dir.
func newDeployment(ctx context.Context, dir, binary string, entries, agents int, c *checks) (*deployment, error) {
	f := &deployment{
		dir: dir, binary: binary, store: hibiscusplatformstandin.NewStore(), checks: c, observer: c.observer,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if err := f.findNetwork(); err != nil {
		return nil, err
	}
	f.configure()
	if err := f.startServer(f.address(9, 1, storePort), f.store); err != nil {
		return nil, err
	}
	seeds := make([]string, entries)
	for i := range seeds {
		seeds[i] = f.address(11, i+1, controlPort)
	}
	for i := range entries {
		if err := f.addEntry(i, seeds); err != nil {
			return f, err
		}
	}
	for i := range agents {
		if err := f.addWorker(ctx, i, seeds); err != nil {
			return f, err
		}
	}
	return f, nil
}

// findNetwork takes a part of 127.0.0.0/8 that nobody listens in.
func (f *deployment) findNetwork() error {
	for range 50 {
		f.secondOctet = byte(20 + rand.IntN(200))
		l, err := net.Listen("tcp", f.address(9, 1, storePort))
		if err == nil {
			return l.Close()
		}
	}
	return errors.New("no free addresses on loopback")
}

func (f *deployment) address(group, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", f.secondOctet, group, host, port)
}

func (f *deployment) startServer(address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	f.servers = append(f.servers, server)
	f.goroutines.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			f.checks.addViolation("stand-in at %s ended: %v", address, err)
		}
	})
	return nil
}

func (f *deployment) addProxy(address, server string) (*proxy, error) {
	p, err := newProxy(address, server)
	if err == nil {
		f.proxies = append(f.proxies, p)
	}
	return p, err
}

func (f *deployment) addEntry(i int, seeds []string) error {
	n := &entryNode{directAddress: f.address(1, i+1, callerPort)}
	var err error
	for _, p := range []struct {
		proxy           **proxy
		address, server string
	}{
		{&n.callerProxy, f.address(12, i+1, callerPort), n.directAddress},
		{&n.sessionProxy, seeds[i], f.address(1, i+1, controlPort)},
		{&n.storeProxy, f.address(9, 10+i, storePort), f.address(9, 1, storePort)},
	} {
		var one error
		*p.proxy, one = f.addProxy(p.address, p.server)
		err = errors.CombineErrors(err, one)
	}
	if err != nil {
		return err
	}
	name := fmt.Sprintf("entry-%d", i+1)
	settings, err := writeSettings(f.dir, name, "caller_address: %s\nsession_address: %s\nadvertised_address: %s\nplatform_address: %s\n"+
		"seed_entries: %s\nstop_grace_s: %d\ndrain_ms: 500\n", n.directAddress, f.address(1, i+1, controlPort), seeds[i],
		f.address(9, 10+i, storePort), yamlList(seeds), int(stopGrace.Seconds()))
	if err != nil {
		return err
	}
	n.process = newProcess(f.dir, name, f.binary, "entry", settings, f.checks.addViolation)
	f.entries = append(f.entries, n)
	return n.process.start()
}

func (f *deployment) addWorker(ctx context.Context, i int, seeds []string) error {
	name := fmt.Sprintf("worker-%d", i+1)
	served, announced := f.address(3, i+1, workerPort), f.address(13, i+1, workerPort)
	w := hibiscusplatformstandin.NewWorker(name, announced, workerMillicores, f.observer)
	if i == 0 {
		w.WithClockRate(slowClockRate)
	}
	n := &workerNode{worker: w, agentAddress: f.address(2, i+1, controlPort)}
	if err := f.startServer(served, w); err != nil {
		return err
	}
	var err, storeErr error
	n.workerProxy, err = f.addProxy(announced, served)
	n.storeProxy, storeErr = f.addProxy(f.address(9, 100+i, storePort), f.address(9, 1, storePort))
	if err = errors.CombineErrors(err, storeErr); err != nil {
		return err
	}
	agent := fmt.Sprintf("agent-%d", i+1)
	settings, err := writeSettings(f.dir, agent, "endpoint_address: %s\nplatform_address: %s\nseed_entries: %s\nstop_grace_s: %d\n",
		n.agentAddress, f.address(9, 100+i, storePort), yamlList(seeds), int(stopGrace.Seconds()))
	if err != nil {
		return err
	}
	n.process = newProcess(f.dir, agent, f.binary, "agent", settings, f.checks.addViolation)
	f.workers = append(f.workers, n)
	f.goroutines.Go(func() { f.announce(ctx, n, name) })
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
func (f *deployment) announce(ctx context.Context, n *workerNode, name string) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, time.Second)
		status, err := hibiscusplatformstandin.Announce(call, f.client, n.agentAddress, "i-"+name, n.worker.Announcement("ready"))
		cancel()
		wait := announceInterval
		if err != nil || status != http.StatusOK {
			// The agent is away; a worker tries again soon.
			wait = restartDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// processes returns all processes of the system.
func (f *deployment) processes() []*process {
	var all []*process
	for _, e := range f.entries {
		all = append(all, e.process)
	}
	for _, w := range f.workers {
		all = append(all, w.process)
	}
	return all
}

// close ends everything that the fleet has started.
func (f *deployment) close() {
	var ends sync.WaitGroup
	for _, p := range f.processes() {
		ends.Go(func() {
			p.signal(syscall.SIGCONT, true)
			p.kill()
		})
	}
	ends.Wait()
	for _, p := range f.proxies {
		p.close()
	}
	for _, s := range f.servers {
		// The stand-ins end with the soak; a connection that is still open changes nothing.
		if err := s.Close(); err != nil {
			f.checks.logf("stand-in: %v", err)
		}
	}
	f.goroutines.Wait()
}
