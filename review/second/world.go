package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"hibiscusrouter/platform/hibiscusplatformstandin"
)

// The figures of the small deployments: memory of an entry and of an agent, processor of a worker, and times.
const (
	entryMemoryMB    = 284
	agentMemoryMB    = 152
	workerCPU        = 64_000
	workerMemoryMB   = 262_144
	announceInterval = 1500 * time.Millisecond
	stopGrace        = 6 * time.Second
	jobPrefix        = "/jobs/"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

// children are all processes that were started.
var children childList

type childList struct {
	mu   sync.Mutex
	list []*os.Process
}

func (c *childList) add(p *os.Process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, p)
}

// killAll ends the processes that still run; those that have been waited for are not signalled.
func (c *childList) killAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.list {
		_ = p.Kill()
	}
}

// process is a process of the system.
type process struct {
	name     string
	args     []string
	logPath  string
	memoryMB int
	rec      *record
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	stopping bool
	// ended counts the ends that nobody asked for, and peakMB is the highest resident memory that was seen.
	ended  int
	peakMB int
	// over counts how often the process was killed because it exceeded its memory.
	over int
}

func (p *process) start() error {
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/hibiscusrouter", p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	// The machines of the deployment report one core, and pass on few variables.
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOMAXPROCS=1"}
	if err := cmd.Start(); err != nil {
		return err
	}
	children.add(cmd.Process)
	p.mu.Lock()
	p.cmd, p.exited, p.stopping = cmd, make(chan struct{}), false
	exited := p.exited
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		p.mu.Lock()
		if !p.stopping {
			p.ended++
			p.rec.printf("process %s ended by itself: %v", p.name, err)
		}
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	if p.cmd == nil {
		p.mu.Unlock()
		return
	}
	p.stopping = true
	exited := p.exited
	defer func() {
		p.mu.Lock()
		p.cmd = nil
		p.mu.Unlock()
	}()
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	p.mu.Unlock()
	<-exited
}

// status returns a field of the process's status in kilobytes.
func (p *process) status(field string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// sample records the memory of the process, without the pages of its program file.
func (p *process) sample() int {
	mb := p.status("RssAnon") / 1024
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peakMB = max(p.peakMB, mb)
	return mb
}

func (p *process) peak() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peakMB
}

// world is a small deployment on loopback.
type world struct {
	dir     string
	octet   int
	rec     *record
	faults  *workerFaults
	store   *hibiscusplatformstandin.Store
	entries []*process
	agents  []*process
	workers []*worker
	cancel  context.CancelFunc
	ctx     context.Context
	client  *http.Client
	mu      sync.Mutex
	servers map[string]*http.Server
	done    sync.WaitGroup
}

func (w *world) address(group, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.octet, group, host, port)
}

func newWorld(rec *record, agents int) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, rec: rec, faults: newWorkerFaults(rec), store: hibiscusplatformstandin.NewStore(),
		servers: map[string]*http.Server{}}
	w.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	for range 50 {
		w.octet = 20 + rand.IntN(200)
		l, err := net.Listen("tcp", w.address(9, 1, 8169))
		if err == nil {
			_ = l.Close()
			break
		}
	}
	w.store.Put("op", "config", hibiscusplatformstandin.Configuration(1, jobPrefix))
	if err := w.serve(w.address(9, 1, 8169), w.store); err != nil {
		return w, err
	}
	var seeds []string
	for i := range entryCount {
		seeds = append(seeds, strconv.Quote(w.address(1, i+1, 8166)))
	}
	seedList := "[" + strings.Join(seeds[:min(3, len(seeds))], ", ") + "]"
	for i := range entryCount {
		p, err := w.process("entry", i, entryMemoryMB, fmt.Sprintf("caller_address: %q\nready_address: %q\nsession_address: %q\n"+
			"platform_address: %q\nfailure_domain: zone-%d\nseed_entries: %s\nmemory_mb: %d\ndrain_ms: 2500\nfar_factor: 1.5\n",
			w.address(1, i+1, 8161), w.address(1, i+1, 8167), w.address(1, i+1, 8166), w.address(9, 1, 8169), i, seedList, entryMemoryMB))
		if err != nil {
			return w, err
		}
		w.entries = append(w.entries, p)
	}
	for i := range agents {
		wk := newWorker(fmt.Sprintf("i-%08x", i+1), w.address(3, i+1, 8165), w.faults)
		if err := w.serve(wk.address, wk); err != nil {
			return w, err
		}
		w.workers = append(w.workers, wk)
		agent := w.address(2, i+1, 8166)
		p, err := w.process("agent", i, agentMemoryMB, fmt.Sprintf("endpoint_address: %q\nplatform_address: %q\nfailure_domain: zone-%d\n"+
			"seed_entries: %s\nmemory_mb: %d\n", agent, w.address(9, 1, 8169), i%entryCount, seedList, agentMemoryMB))
		if err != nil {
			return w, err
		}
		w.agents = append(w.agents, p)
		w.done.Go(func() { w.announce(wk, agent) })
	}
	w.done.Go(w.watchMemory)
	return w, w.awaitReady()
}

func (w *world) process(role string, i, memoryMB int, settings string) (*process, error) {
	name := fmt.Sprintf("%s-%d", role, i+1)
	path := filepath.Join(w.dir, name+".yaml")
	settings += fmt.Sprintf("shared_key: sessions of one deployment\nstop_grace_s: %d\n", int(stopGrace.Seconds()))
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	p := &process{
		name: name, args: []string{role, "--platform", "--settings", path}, logPath: filepath.Join(w.dir, name+".log"), rec: w.rec,
		memoryMB: memoryMB,
	}
	return p, p.start()
}

func (w *world) serve(address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.serveOn(address, l, handler)
	return nil
}

func (w *world) serveOn(address string, l net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	w.mu.Lock()
	w.servers[address] = server
	w.mu.Unlock()
	w.done.Go(func() { _ = server.Serve(l) })
}

// restartWorker crashes a worker for a time, in which connections to it are refused. It is back under its id with an empty memory, and
// carries out a late start first.
func (w *world) restartWorker(wk *worker, down time.Duration, late call) error {
	w.mu.Lock()
	server := w.servers[wk.address]
	w.mu.Unlock()
	_ = server.Close()
	wk.crash()
	time.Sleep(down)
	wk.crash()
	l, err := net.Listen("tcp", wk.address)
	if err != nil {
		return err
	}
	// A lease is at most a second from the arrival of its request.
	late.DeadlineMs = wk.clock() + 1000
	w.rec.printf("%s is back, born %d, and carries out the start of %s run %d: %q", wk.id, wk.born, late.Task, late.Run, wk.start(late))
	w.serveOn(wk.address, l, wk)
	return nil
}

// announce sends the announcements of a worker.
func (w *world) announce(wk *worker, agent string) {
	for w.ctx.Err() == nil {
		wait := announceInterval
		call, cancel := context.WithTimeout(w.ctx, time.Second)
		status, err := hibiscusplatformstandin.Announce(call, w.client, agent, wk.id, wk.announcement())
		if err != nil || status != http.StatusOK {
			wait = 300 * time.Millisecond
		}
		cancel()
		select {
		case <-w.ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (w *world) processes() []*process {
	return append(append([]*process{}, w.entries...), w.agents...)
}

// watchMemory samples the memory of all processes, and restarts a process that has ended by itself.
func (w *world) watchMemory() {
	for w.ctx.Err() == nil {
		for _, p := range w.processes() {
			if mb := p.sample(); mb > p.memoryMB {
				w.rec.printf("%s has %d MB of %d: the machine kills it", p.name, mb, p.memoryMB)
				p.mu.Lock()
				p.over++
				p.mu.Unlock()
				p.kill()
				w.done.Go(func() { w.restart(p) })
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// restart starts a process again that was killed.
func (w *world) restart(p *process) {
	select {
	case <-w.ctx.Done():
	case <-time.After(300 * time.Millisecond):
		if err := p.start(); err != nil {
			w.rec.printf("%s is not restarted: %v", p.name, err)
		}
	}
}

// awaitReady waits until each entry serves a small job.
func (w *world) awaitReady() error {
	for i := range w.entries {
		until := time.Now().Add(15 * time.Second)
		for {
			status, state := w.post(i, newID(), jobBody(1, 500, 64, 20, "20ms"), 1500*time.Millisecond)
			if status == http.StatusOK && state == "completed" {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("entry %d serves no job", i+1)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	w.rec.printf("all entries serve jobs")
	return nil
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// jobBody returns a job of one step; spec begins with the run time.
func jobBody(count, cpu, memoryMB, estimateMS int, spec string) string {
	return fmt.Sprintf(`{"Spec":%q,"BestEffort":true,"Steps":[{"Count":%d,"Cpu":%d,"MemMb":%d,"EstimateMs":%d}]}`,
		spec, count, cpu, memoryMB, estimateMS)
}

// post sends a job to an entry; the status is zero when there was no answer.
func (w *world) post(entry int, id, body string, deadline time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(w.ctx, deadline)
	defer cancel()
	answer, err := hibiscusplatformstandin.Send(ctx, w.client, http.MethodPost, w.address(1, entry+1, 8161), jobPrefix+id, body, deadline)
	if err != nil {
		return 0, err.Error()
	}
	return answer.Status(), answer.State()
}

// close ends all processes and servers.
func (w *world) close() {
	w.cancel()
	var kills sync.WaitGroup
	for _, p := range w.processes() {
		kills.Go(p.kill)
	}
	kills.Wait()
	for _, s := range w.servers {
		_ = s.Close()
	}
	w.done.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs are in", w.dir)
	}
}
