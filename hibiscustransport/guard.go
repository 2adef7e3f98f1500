package hibiscustransport

import (
	"log/slog"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscusstate"
)

// The limits of a process's HTTP listeners. A Guard counts connections and the bytes of heads and bodies before net/http allocates for
// them, closes what is over a limit, and measures the times of a request itself, because the limits change while the process runs.

const (
	// defaultMemory is the memory from which the limits are derived when the settings have none.
	defaultMemory = 512 << 20
	// connectionBytes is the memory of a connection without its request: two goroutines, two buffers and its records.
	connectionBytes = 20 << 10
	// headLineBytes is the memory of a line of a head, apart from its bytes: 60 heads of 140,000 short lines took 1.1 GB.
	headLineBytes = 128
	// bodyFactor is the memory of a body in relation to its bytes, while it is read into a growing buffer and decoded.
	bodyFactor = 3
	// minBodyBudget admits one body of 8 MiB, the largest of the product, into the part of the budget for large charges.
	minBodyBudget = 4 * bodyFactor * (8 << 20) / 3
	// minConnections bounds the derived connections of a listener from below.
	minConnections = 64
	// evictionSample is how many connections are compared to find one that can be closed for a new one.
	evictionSample = 32
	// ordinaryTime is the time in which an ordinary client sends its request.
	ordinaryTime  = time.Second
	sweepInterval = 500 * time.Millisecond
	// timeoutMargin is added to the limits of times, so that a client just inside them is served.
	timeoutMargin = time.Second
	// headMargin is added to the limit of heads: clients may count only the header lines.
	headMargin = 4096
	// maxDepartureWait bounds the wait for an evicted connection, whose handler may still answer it.
	maxDepartureWait = 100 * time.Millisecond
	// answerTimeout bounds the time in which a client reads nothing of an answer.
	answerTimeout = 30 * time.Second
	// closingTimeout bounds the times of bodies and of answers that are not read while the server stops; the users' processes are killed
	// 6 s after they were asked to stop, and an entry accepts requests for 2.5 s of these.
	closingTimeout = 2 * time.Second
	// writePart is the largest part of an answer that is written at once. The time in which a client reads nothing is counted from the
	// last part.
	writePart = 16 << 10
	// limitLogInterval is the time between two log lines of a listener about one limit.
	limitLogInterval = time.Second
)

// defaultRequestLimits apply where the configuration has none; a body is bounded by its handler.
var defaultRequestLimits = hibiscusstate.NewRequestLimits(16_384, math.MaxInt32, headerTimeout, idleTimeout)

// Capacity is what the listeners of a process may hold.
type Capacity struct {
	connections int
	headBytes   int64
	bodyBytes   int64
	perAddress  int
}

// NewCapacity returns the capacity of a process with this memory in bytes, zero for a default.
func NewCapacity(memory int64) Capacity {
	if memory == 0 {
		memory = defaultMemory
	}
	c := Capacity{
		connections: max(int(memory/7/connectionBytes), minConnections), headBytes: memory / 12, bodyBytes: max(memory/5, minBodyBudget),
	}
	var files syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files) == nil {
		c.connections = int(min(uint64(c.connections), files.Cur/2))
	}
	return c
}

// WithConnections returns the capacity with the connections of the largest listener, and of one client address to a listener; zero
// leaves the derived value, which for an address is no limit.
func (c Capacity) WithConnections(connections, perAddress int) Capacity {
	if connections > 0 {
		c.connections = connections
	}
	c.perAddress = perAddress
	return c
}

// WithBytes returns the capacity with the memory for heads and for bodies; zero leaves the derived value.
func (c Capacity) WithBytes(heads, bodies int64) Capacity {
	if heads > 0 {
		c.headBytes = heads
	}
	if bodies > 0 {
		c.bodyBytes = bodies
	}
	return c
}

// Guards are the guards of all listeners of a process, which share its memory.
type Guards struct {
	capacity Capacity
	heads    *budget
	bodies   *budget
	log      *slog.Logger
	mu       sync.Mutex
	guards   []*Guard
}

// NewGuards returns the guards of a process.
func NewGuards(capacity Capacity, log *slog.Logger) *Guards {
	return &Guards{capacity: capacity, heads: newBudget(capacity.headBytes), bodies: newBudget(capacity.bodyBytes), log: log}
}

// Callers guards the listener for callers; limits returns the operator's limits, false to keep the last ones.
func (g *Guards) Callers(l net.Listener, limits func() (hibiscusstate.RequestLimits, bool)) net.Listener {
	return g.add(l, "callers", g.capacity.connections, 0, limits)
}

// Workers guards the listener for the endpoint of an agent.
func (g *Guards) Workers(l net.Listener) net.Listener {
	return g.add(l, "workers", max(g.capacity.connections/4, minConnections), 0, nil)
}

// Operators guards a listener for readiness, metrics or administration. It may use a quarter of each budget more than other listeners,
// so that operators are answered when callers have used the budgets up.
func (g *Guards) Operators(l net.Listener, name string) net.Listener {
	return g.add(l, name, max(g.capacity.connections/4, minConnections), 4, nil)
}

func (g *Guards) add(
	l net.Listener, name string, connections int, reserve int64, limits func() (hibiscusstate.RequestLimits, bool),
) net.Listener {
	guard := &Guard{
		Listener: l, guards: g, name: name, maxConnections: connections, limits: limits, start: time.Now(),
		connections: map[*guardedConn]struct{}{}, addresses: map[string]int{}, headLimit: g.heads.size, bodyLimit: g.bodies.size,
	}
	if reserve > 0 {
		guard.headLimit += g.heads.size / reserve
		guard.bodyLimit += g.bodies.size / reserve
	}
	guard.departed = make(chan struct{}, 1)
	guard.current.Store(&defaultRequestLimits)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.guards = append(g.guards, guard)
	return guard
}

// Counters returns how often each limit was applied, by listener and limit.
func (g *Guards) Counters() map[string]map[string]uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	counters := map[string]map[string]uint64{}
	for _, guard := range g.guards {
		counts := map[string]uint64{}
		for r := LimitConnections; r <= LimitAnswerTime; r++ {
			counts[r.String()] = guard.counts[r].Load()
		}
		counters[guard.name] = counts
	}
	return counters
}

// Guard is a listener with limits for its connections and their requests.
type Guard struct {
	net.Listener
	guards         *Guards
	name           string
	maxConnections int
	headLimit      int64
	bodyLimit      int64
	limits         func() (hibiscusstate.RequestLimits, bool)
	current        atomic.Pointer[hibiscusstate.RequestLimits]
	start          time.Time
	counts         [LimitAnswerTime + 1]atomic.Uint64
	logged         [LimitAnswerTime + 1]atomic.Int64
	unlogged       [LimitAnswerTime + 1]atomic.Uint64
	mu             sync.Mutex
	connections    map[*guardedConn]struct{}
	addresses      map[string]int
	sweeping       bool
	closing        bool
	// departing is the number of evicted connections that are not closed yet, and departed has a value after one was closed.
	departing int
	departed  chan struct{}
}

// now returns the time since the start of the guard.
func (g *Guard) now() time.Duration { return time.Since(g.start) }

// Accept returns the next connection that the limits admit, and refuses the others.
func (g *Guard) Accept() (net.Conn, error) {
	for {
		g.awaitDepartures()
		conn, err := g.Listener.Accept()
		if err != nil {
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				g.makeRoom(LimitDescriptors)
			}
			return nil, err
		}
		c := newGuardedConn(g, conn)
		reason := g.admit(c)
		if reason == limitNone {
			return c, nil
		}
		g.count(reason, c.address, 0)
		if conn.SetWriteDeadline(time.Now().Add(time.Millisecond)) == nil {
			// The client of a refused connection may have closed it.
			_, _ = conn.Write([]byte(reason.refusal()))
		}
		conn.Close()
	}
}

// SetDeadline sets the time limit of Accept, where the listener has one. A server that stops ends Accept by it, as it does by Close.
func (g *Guard) SetDeadline(t time.Time) error {
	l, ok := g.Listener.(deadliner)
	if !ok {
		return errors.ErrUnsupported
	}
	g.markClosing()
	return l.SetDeadline(t)
}

// Close implements net.Listener. From then on, clients that do not end their requests or read their answers are not waited for.
func (g *Guard) Close() error {
	g.markClosing()
	return g.Listener.Close()
}

func (g *Guard) markClosing() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closing = true
}

// awaitDepartures waits while many evicted connections are still open, so that a crowd that connects faster than connections are closed
// does not take all descriptors.
func (g *Guard) awaitDepartures() {
	for {
		g.mu.Lock()
		departing := g.departing
		g.mu.Unlock()
		if departing <= g.maxConnections/8 {
			return
		}
		select {
		case <-g.departed:
		case <-time.After(maxDepartureWait):
			return
		}
	}
}

// admit records a connection, or returns the limit that refuses it.
func (g *Guard) admit(c *guardedConn) LimitReason {
	g.mu.Lock()
	defer g.mu.Unlock()
	if most := g.guards.capacity.perAddress; most > 0 && g.addresses[c.address] >= most {
		return LimitAddress
	}
	if len(g.connections) >= g.maxConnections && !g.evictOne(LimitConnections) {
		return LimitConnections
	}
	g.connections[c] = struct{}{}
	g.addresses[c.address]++
	if !g.sweeping {
		g.sweeping = true
		time.AfterFunc(sweepInterval, g.sweep)
	}
	return limitNone
}

// makeRoom closes a connection that is not being answered.
func (g *Guard) makeRoom(reason LimitReason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.evictOne(reason)
}

// evictOne closes the connection of a sample that has been without a whole request for longest, and takes it out of the count. A
// connection that never had a request goes before one that had.
func (g *Guard) evictOne(reason LimitReason) bool {
	var worst *guardedConn
	var worstScore time.Duration
	now, seen := g.now(), 0
	for c := range g.connections {
		if score := c.evictionScore(now); score > worstScore {
			worst, worstScore = c, score
		}
		if seen++; seen == evictionSample {
			break
		}
	}
	if worst == nil || !worst.evict(reason) {
		return false
	}
	g.removeLocked(worst)
	worst.departing = true
	g.departing++
	return true
}

func (g *Guard) remove(c *guardedConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeLocked(c)
	if c.departing {
		c.departing = false
		g.departing--
		select {
		case g.departed <- struct{}{}:
		default:
		}
	}
}

func (g *Guard) removeLocked(c *guardedConn) {
	if _, ok := g.connections[c]; !ok {
		return
	}
	delete(g.connections, c)
	if g.addresses[c.address]--; g.addresses[c.address] == 0 {
		delete(g.addresses, c.address)
	}
}

// sweep applies the limits of time to all connections, and repeats itself while there are any.
func (g *Guard) sweep() {
	if g.limits != nil {
		if limits, ok := g.limits(); ok {
			limits = limits.Or(defaultRequestLimits)
			g.current.Store(&limits)
		}
	}
	limits, now := *g.current.Load(), g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.connections {
		c.applyTimes(limits, now, g.closing)
	}
	if len(g.connections) == 0 {
		g.sweeping = false
		return
	}
	time.AfterFunc(sweepInterval, g.sweep)
}

// count counts a refusal, and logs it at most once in limitLogInterval for each limit, with the number since the last line.
func (g *Guard) count(reason LimitReason, address string, bytes int64) {
	g.counts[reason].Add(1)
	g.unlogged[reason].Add(1)
	now := int64(g.now()) + 1
	last := g.logged[reason].Load()
	if last != 0 && now-last < int64(limitLogInterval) || !g.logged[reason].CompareAndSwap(last, now) {
		return
	}
	g.guards.log.Warn("limits: clients refused", "listener", g.name, "limit", reason.String(), "count", g.unlogged[reason].Swap(0),
		"last_address", address, "last_bytes", bytes, "head_memory", g.guards.heads.used.Load(), "body_memory", g.guards.bodies.used.Load())
}
