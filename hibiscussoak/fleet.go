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
	// workerCores is the room of a worker, in thousandths of a core: tasks take half of one, so that four run at once.
	workerCores = 2000
	// slowClock is the rate of the slowest clock that a worker may have.
	slowClock = 0.98
	// beatTime is how often a worker announces itself.
	beatTime = 1500 * time.Millisecond
	// grace is how long a process that was asked to stop may take; restartTime is how soon one that ended starts again.
	grace       = 6 * time.Second
	restartTime = 300 * time.Millisecond
	// jobPrefix is the queue of the clients' jobs, in all versions.
	jobPrefix = "/jobs/"
)

// entryNode is an entry with the proxies before it and on its way to the store.
type entryNode struct {
	process  *process
	callers  *proxy
	sessions *proxy
	store    *proxy
	direct   string
	mu       sync.Mutex
	cuts     []cutRequest
}

// cutRequest is a request whose connection ended without an answer; first says that it was the first try of its job.
type cutRequest struct {
	job   *tried
	first bool
	sent  time.Time
	cut   time.Time
}

// breaks says whether a planned stop must not have cut the request: it was held for too long, or its job was started. Of a later
// try that can't be said, because an earlier one, at another entry, may have started the job.
func (c cutRequest) breaks(started bool) bool {
	return c.cut.Sub(c.sent) > lossSlack || c.first && started
}

func (n *entryNode) noteCut(c cutRequest) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = append(n.cuts, c)
}

// cutBetween returns the requests that were cut between two times.
func (n *entryNode) cutBetween(from, to time.Time) []cutRequest {
	n.mu.Lock()
	defer n.mu.Unlock()
	var cuts []cutRequest
	for _, c := range n.cuts {
		if c.cut.After(from) && c.cut.Before(to) {
			cuts = append(cuts, c)
		}
	}
	return cuts
}

// workerNode is a worker with its agent and the proxies between them and before the store.
type workerNode struct {
	process *process
	worker  *hibiscusplatformstandin.Worker
	calls   *proxy
	store   *proxy
	agent   string
}

// fleet is a running deployment.
type fleet struct {
	dir     string
	binary  string
	network byte
	seen    *hibiscusplatformstandin.Observer
	store   *hibiscusplatformstandin.Store
	entries []*entryNode
	workers []*workerNode
	checks  *checks
	client  *http.Client
	servers []*http.Server
	proxies []*proxy
	duties  sync.WaitGroup
	// versions are those of the configuration, the newest last.
	configMu sync.Mutex
	versions []int
}

// newFleet starts a deployment whose logs and settings are in dir.
func newFleet(ctx context.Context, dir, binary string, entries, agents int, c *checks) (*fleet, error) {
	f := &fleet{
		dir: dir, binary: binary, store: hibiscusplatformstandin.NewStore(), checks: c, seen: c.seen,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if err := f.findNetwork(); err != nil {
		return nil, err
	}
	f.configure()
	if err := f.serve(f.address(9, 1, storePort), f.store); err != nil {
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
func (f *fleet) findNetwork() error {
	for range 50 {
		f.network = byte(20 + rand.IntN(200))
		l, err := net.Listen("tcp", f.address(9, 1, storePort))
		if err == nil {
			return l.Close()
		}
	}
	return errors.New("no free addresses on loopback")
}

func (f *fleet) address(group, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", f.network, group, host, port)
}

func (f *fleet) serve(address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	f.servers = append(f.servers, server)
	f.duties.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			f.checks.fault("stand-in at %s ended: %v", address, err)
		}
	})
	return nil
}

func (f *fleet) proxy(address, server string) (*proxy, error) {
	p, err := newProxy(address, server)
	if err == nil {
		f.proxies = append(f.proxies, p)
	}
	return p, err
}

func (f *fleet) addEntry(i int, seeds []string) error {
	n := &entryNode{direct: f.address(1, i+1, callerPort)}
	var err error
	for _, p := range []struct {
		proxy           **proxy
		address, server string
	}{
		{&n.callers, f.address(12, i+1, callerPort), n.direct},
		{&n.sessions, seeds[i], f.address(1, i+1, controlPort)},
		{&n.store, f.address(9, 10+i, storePort), f.address(9, 1, storePort)},
	} {
		var one error
		*p.proxy, one = f.proxy(p.address, p.server)
		err = errors.CombineErrors(err, one)
	}
	if err != nil {
		return err
	}
	name := fmt.Sprintf("entry-%d", i+1)
	settings, err := writeSettings(f.dir, name, "caller_address: %s\nsession_address: %s\nadvertised_address: %s\nplatform_address: %s\n"+
		"seed_entries: %s\nstop_grace_s: %d\ndrain_ms: 500\n", n.direct, f.address(1, i+1, controlPort), seeds[i],
		f.address(9, 10+i, storePort), yamlList(seeds), int(grace.Seconds()))
	if err != nil {
		return err
	}
	n.process = newProcess(f.dir, name, f.binary, "entry", settings, f.checks.fault)
	f.entries = append(f.entries, n)
	return n.process.start()
}

func (f *fleet) addWorker(ctx context.Context, i int, seeds []string) error {
	name := fmt.Sprintf("worker-%d", i+1)
	served, announced := f.address(3, i+1, workerPort), f.address(13, i+1, workerPort)
	w := hibiscusplatformstandin.NewWorker(name, announced, workerCores, f.seen)
	if i == 0 {
		w.WithClockRate(slowClock)
	}
	n := &workerNode{worker: w, agent: f.address(2, i+1, controlPort)}
	if err := f.serve(served, w); err != nil {
		return err
	}
	var err, storeErr error
	n.calls, err = f.proxy(announced, served)
	n.store, storeErr = f.proxy(f.address(9, 100+i, storePort), f.address(9, 1, storePort))
	if err = errors.CombineErrors(err, storeErr); err != nil {
		return err
	}
	agent := fmt.Sprintf("agent-%d", i+1)
	settings, err := writeSettings(f.dir, agent, "endpoint_address: %s\nplatform_address: %s\nseed_entries: %s\nstop_grace_s: %d\n",
		n.agent, f.address(9, 100+i, storePort), yamlList(seeds), int(grace.Seconds()))
	if err != nil {
		return err
	}
	n.process = newProcess(f.dir, agent, f.binary, "agent", settings, f.checks.fault)
	f.workers = append(f.workers, n)
	f.duties.Go(func() { f.announce(ctx, n, name) })
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
func (f *fleet) announce(ctx context.Context, n *workerNode, name string) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, time.Second)
		status, err := hibiscusplatformstandin.Announce(call, f.client, n.agent, "i-"+name, n.worker.Announcement("ready"))
		cancel()
		wait := beatTime
		if err != nil || status != http.StatusOK {
			// The agent is away; a worker tries again soon.
			wait = restartTime
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// processes returns all processes of the system.
func (f *fleet) processes() []*process {
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
func (f *fleet) close() {
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
			f.checks.note("stand-in: %v", err)
		}
	}
	f.duties.Wait()
}
