//go:build review3

package main

import (
	"bytes"
	"context"
	"encoding/json"
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
	"sync/atomic"
	"time"

	"hibiscusrouter/platform/hibiscusplatformstandin"
)

const (
	host        = "one.example"
	prefix      = "/checks/"
	entryMemory = 284
	agentMemory = 152
)

// campaign is one run of a case.
type campaign struct {
	dir     string
	record  *os.File
	began   time.Time
	octet   int
	store   *hibiscusplatformstandin.Store
	entries []*process
	agents  []*process
	workers []*worker
	seeds   []string

	mu   sync.Mutex
	runs []*run
	// cutOff is the entry that is cut off from all machines but its clients, nil for none.
	cutOff atomic.Pointer[process]
	// proxied means that the sessions of entries and their connections to the store go through proxies.
	proxied bool
	// closing means that no process may be started any more.
	closing bool
}

// process is a process of the project that the case has started.
type process struct {
	c       *campaign
	name    string
	role    string
	address string
	memory  int
	number  int
	cmd     *exec.Cmd
	done    chan struct{}
	// expected is set before the case ends the process.
	expected bool
	// exits counts the ends that the case has not caused.
	exits int
}

func newCampaign(recordPath string) (*campaign, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	c := &campaign{dir: dir, record: record, began: time.Now(), store: hibiscusplatformstandin.NewStore()}
	for range 50 {
		c.octet = 20 + rand.IntN(200)
		l, err := net.Listen("tcp", c.at(9, 1, 8169))
		if err == nil {
			go func() { _ = http.Serve(l, c.store) }()
			return c, nil
		}
	}
	return nil, fmt.Errorf("no free addresses")
}

func (c *campaign) at(group, number, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", c.octet, group, number, port)
}

func (c *campaign) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteLocked(format, args...)
}

func (c *campaign) noteLocked(format string, args ...any) {
	fmt.Fprintf(c.record, "%8.3f  %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
}

func (c *campaign) addRun(r *run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs = append(c.runs, r)
	c.noteLocked("%s starts %s run %d", r.worker, r.task, r.number)
}

func (c *campaign) endRun(r *run, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.endedAt, r.how = time.Now(), how
	c.noteLocked("%s: %s run %d ended: %s", r.worker, r.task, r.number, how)
}

// started returns the runs of a job that began after a time.
func (c *campaign) started(id string, after time.Time) []*run {
	c.mu.Lock()
	defer c.mu.Unlock()
	var runs []*run
	for _, r := range c.runs {
		if r.startedAt.After(after) && strings.HasPrefix(r.task, id) {
			runs = append(runs, r)
		}
	}
	return runs
}

// configure writes a version of the operator's configuration with the given queues.
func (c *campaign) configure(version int, routes ...string) {
	c.store.Put("op", "config", fmt.Sprintf(`{"Version":%d,"Routes":[%s],"Services":[{"Name":%q,"HealthPath":"/healthz","MaxConnections":64,`+
		`"Protocol":"h1","Tls":false,"AdmissionControl":false,"Spare":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,`+
		`"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`, version, strings.Join(routes, ","), serviceName))
	c.note("configuration %d with %d queues is stored", version, len(routes))
}

// deploy starts the store's configuration, the workers, the agents and the entries.
func (c *campaign) deploy(ctx context.Context, entries, agents int) error {
	c.configure(1, checksRoute)
	for i := range min(entries, 3) {
		c.seeds = append(c.seeds, c.sessionAddress(i+1))
	}
	for i := range agents {
		w := newWorker(c, i+1, c.at(3, i+1, 8165), c.at(2, i+1, 8166))
		if err := w.serve(); err != nil {
			return err
		}
		c.workers = append(c.workers, w)
		c.agents = append(c.agents, &process{
			c: c, name: fmt.Sprintf("agent-%d", i+1), role: "agent", address: fmt.Sprintf("127.%d.2.%d", c.octet, i+1), memory: agentMemory,
		})
	}
	for i := range entries {
		c.entries = append(c.entries, &process{
			c: c, name: fmt.Sprintf("entry-%d", i+1), role: "entry", address: fmt.Sprintf("127.%d.1.%d", c.octet, i+1), memory: entryMemory,
			number: i + 1,
		})
		if !c.proxied {
			continue
		}
		err := c.addProxy(c.sessionAddress(i+1), c.at(1, i+1, 8166), c.entries[i])
		if err == nil {
			err = c.addProxy(c.at(9, 10+i+1, 8169), c.at(9, 1, 8169), c.entries[i])
		}
		if err != nil {
			return err
		}
	}
	for _, p := range append(append([]*process{}, c.entries...), c.agents...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, w := range c.workers {
		go w.beats(ctx, client)
	}
	return c.awaitReady(ctx, 10*time.Second)
}

// sessionAddress returns the address at which other processes reach the sessions of an entry.
func (c *campaign) sessionAddress(number int) string {
	if c.proxied {
		return c.at(12, number, 8166)
	}
	return c.at(1, number, 8166)
}

// awaitReady waits until all entries report that they are ready.
func (c *campaign) awaitReady(ctx context.Context, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, e := range c.entries {
		for !e.ready(ctx) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(time.Second)
	c.note("all entries are ready")
	return nil
}

func (p *process) ready(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(call, http.MethodGet, "http://"+p.address+":8167/readyz", nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// settings returns the settings as the templates of the deploy file give them.
func (p *process) settings() string {
	seeds, _ := json.Marshal(p.c.seeds)
	store := p.c.at(9, 1, 8169)
	if p.c.proxied && p.role == "entry" {
		store = p.c.at(9, 10+p.number, 8169)
	}
	common := fmt.Sprintf("platform_address: %q\nfailure_domain: \"a\"\nshared_key: \"sessions of one deployment\"\nseed_entries: %s\n"+
		"memory_mb: %d\nstop_grace_s: 6\n", store, seeds, p.memory)
	if p.role == "agent" {
		return fmt.Sprintf("endpoint_address: \"%s:8166\"\nmetrics_address: \"%s:7721\"\n", p.address, p.address) + common
	}
	return fmt.Sprintf("caller_address: \"%s:8161\"\nready_address: \"%s:8167\"\nsession_address: \"%s:8166\"\nmetrics_address: \"%s:7720\"\n",
		p.address, p.address, p.address, p.address) + common + "drain_ms: 2500\nfar_factor: 1.5\n" +
		fmt.Sprintf("advertised_address: %q\n", p.c.sessionAddress(p.number))
}

func (p *process) start() error {
	path := filepath.Join(p.c.dir, p.name+".yaml")
	if err := os.WriteFile(path, []byte(p.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.c.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/hibiscusrouter", p.role, "--platform", "--settings", path)
	cmd.Stdout, cmd.Stderr = log, log
	done := make(chan struct{})
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	if p.c.closing {
		return fmt.Errorf("the case has ended")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.done, p.expected = cmd, done, false
	p.c.noteLocked("%s started", p.name)
	go func() {
		err := cmd.Wait()
		log.Close()
		p.c.mu.Lock()
		if !p.expected {
			p.exits++
			p.c.noteLocked("%s ended by itself: %v", p.name, err)
		}
		p.c.mu.Unlock()
		close(done)
	}()
	return nil
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.c.mu.Lock()
	p.expected = true
	cmd, done := p.cmd, p.done
	p.c.noteLocked("%s is killed", p.name)
	p.c.mu.Unlock()
	_ = cmd.Process.Kill()
	<-done
}

// close ends everything that the campaign has started.
func (c *campaign) close() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	for _, p := range append(append([]*process{}, c.entries...), c.agents...) {
		if p.cmd != nil {
			p.kill()
		}
	}
	for _, w := range c.workers {
		if w.server != nil {
			_ = w.server.Close()
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs in", c.dir)
	}
	_ = c.record.Close()
}

// client is one caller with a connection of its own.
type client struct {
	c    *campaign
	name string
	http *http.Client
}

func (c *campaign) newClient(name string) *client {
	return &client{c: c, name: name, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}}
}

// answer is what a client got: status 0 stands for no answer.
type answer struct {
	status int
	state  string
	at     time.Time
}

// send makes one request; the client waits for deadline at most.
func (k *client) send(method string, to *process, id, body string, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+to.address+":8161"+prefix+id, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{at: time.Now()}
	}
	r.Host, r.GetBody = host, nil
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	k.c.note("%s sends %s %s to %s", k.name, method, id, to.name)
	response, err := k.http.Do(r)
	if err != nil {
		k.c.note("%s gets no answer to %s %s from %s: %v", k.name, method, id, to.name, err)
		return answer{at: time.Now()}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		k.c.note("%s gets part of an answer to %s %s from %s: %v", k.name, method, id, to.name, err)
		return answer{at: time.Now()}
	}
	var state struct{ State string }
	_ = json.Unmarshal(raw, &state)
	k.c.note("%s gets %d %s for %s %s from %s", k.name, response.StatusCode, state.State, method, id, to.name)
	return answer{status: response.StatusCode, state: state.State, at: time.Now()}
}

// job returns the body of a job that needn't be kept.
func job(count, cpu, memory int, estimate, spec string) string {
	return fmt.Sprintf(`{"Spec":%q,"BestEffort":true,"Steps":[{"Count":%d,"Cpu":%d,"MemMb":%d,"EstimateMs":%s}]}`, spec, count, cpu, memory,
		estimate)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// atWork returns how many tasks of a job run.
func (c *campaign) atWork(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.runs {
		if strings.HasPrefix(r.task, id) && r.endedAt.IsZero() {
			n++
		}
	}
	return n
}

// startsOn returns how many runs began on a worker after a time.
func (c *campaign) startsOn(worker string, after time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.runs {
		if r.worker == worker && r.startedAt.After(after) {
			n++
		}
	}
	return n
}

// overlaps counts the pairs of runs of one task that were at work at the same time.
func (c *campaign) overlaps() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	byTask := map[string][]*run{}
	n, longest := 0, time.Duration(0)
	for _, r := range c.runs {
		for _, other := range byTask[r.task] {
			if other.endedAt.IsZero() || other.endedAt.After(r.startedAt) {
				end := other.endedAt
				if end.IsZero() || !r.endedAt.IsZero() && r.endedAt.Before(end) {
					end = r.endedAt
				}
				longest = max(longest, end.Sub(r.startedAt))
				if n++; n <= 5 {
					c.noteLocked("two runs at once: %s run %d on %s from %.3f, run %d on %s from %.3f", r.task, other.number, other.worker,
						other.startedAt.Sub(c.began).Seconds(), r.number, r.worker, r.startedAt.Sub(c.began).Seconds())
				}
			}
		}
		byTask[r.task] = append(byTask[r.task], r)
	}
	c.noteLocked("%d pairs of runs of one task at once, for %v at most", n, longest)
	return n
}
