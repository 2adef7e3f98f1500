package hibiscusstandin

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// MemoryNetwork connects the processes of one test by in-memory pipes. There are three kinds of faults: those of connections
// (Silence, Cut, Disconnect, Block), those of a Host (Kill, Freeze), which affect all connections of one run of a process, and those
// between two of them (Hold). After Silence, Cut and Disconnect, new connections work.

// ErrRefused means that there is no listener on an address or that it is blocked.
var ErrRefused error = syscall.ECONNREFUSED

// MemoryNetwork is safe for concurrent use.
type MemoryNetwork struct {
	mu          sync.Mutex
	listeners   map[string]*memoryListener
	links       []*link
	blocked     map[string]bool
	held        map[hostPair]bool
	delay       time.Duration
	defaultHost *Host
}

// NewMemoryNetwork returns a network without listeners that delivers bytes after delay.
func NewMemoryNetwork(delay time.Duration) *MemoryNetwork {
	n := &MemoryNetwork{listeners: map[string]*memoryListener{}, blocked: map[string]bool{}, held: map[hostPair]bool{}, delay: delay}
	n.defaultHost = n.Host()
	return n
}

// Listen opens a listener of a process without faults.
func (n *MemoryNetwork) Listen(address string) (net.Listener, error) {
	return n.defaultHost.Listen(address)
}

// Dial opens a connection from a process without faults.
func (n *MemoryNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	return n.defaultHost.Dial(ctx, address)
}

// Host is the network of one run of a process; a restarted process gets a new Host.
type Host struct {
	network *MemoryNetwork
	dead    bool
	frozen  bool
	port    networkPort
}

// networkPort is the connection of a host to the network, with a bandwidth in each direction.
type networkPort struct {
	mu sync.Mutex
	// bytesPerSecond is the bandwidth, zero for no limit.
	bytesPerSecond int
	sendFree       time.Time
	receiveFree    time.Time
	received       int
}

// SetBandwidth limits what the host sends and receives, in bytes a second each.
func (h *Host) SetBandwidth(bytesPerSecond int) {
	h.port.mu.Lock()
	defer h.port.mu.Unlock()
	h.port.bytesPerSecond = bytesPerSecond
}

// BytesReceived returns how many bytes were sent to the host.
func (h *Host) BytesReceived() int {
	h.port.mu.Lock()
	defer h.port.mu.Unlock()
	return h.port.received
}

// transmit returns when n bytes that are ready at a time have passed the port, in the direction whose next free time is free.
func (p *networkPort) transmit(free *time.Time, ready time.Time, n int) time.Time {
	if p.bytesPerSecond == 0 {
		return ready
	}
	if free.After(ready) {
		ready = *free
	}
	*free = ready.Add(time.Duration(n) * time.Second / time.Duration(p.bytesPerSecond))
	return *free
}

// arrival returns when n bytes that one host sends now arrive at another.
func arrival(from, to *Host, n int, delay time.Duration) time.Time {
	from.port.mu.Lock()
	sent := from.port.transmit(&from.port.sendFree, time.Now(), n)
	from.port.mu.Unlock()
	to.port.mu.Lock()
	defer to.port.mu.Unlock()
	to.port.received += n
	return to.port.transmit(&to.port.receiveFree, sent.Add(delay), n)
}

// Host returns the network of a new process.
func (n *MemoryNetwork) Host() *Host { return &Host{network: n} }

// Listen opens a listener on an address.
func (h *Host) Listen(address string) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, errors.Newf("address %s is in use", address)
	}
	l := &memoryListener{host: h, address: memoryAddress(address), accept: make(chan net.Conn, 64), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial opens a connection to an address; a refused connection gives a *net.OpError of a dial, as with package net.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	n := h.network
	n.mu.Lock()
	l := n.listeners[address]
	if l == nil || n.blocked[address] || h.dead || l.host.dead {
		n.mu.Unlock()
		return nil, &net.OpError{Op: "dial", Net: "memory", Addr: memoryAddress(address), Err: ErrRefused}
	}
	k := &link{address: address, dialer: h, listener: l.host}
	dialerEnd, listenerEnd := k.open(memoryAddress(address), n.delay)
	k.updatePaused()
	n.links = append(n.links, k)
	n.mu.Unlock()
	select {
	case l.accept <- listenerEnd:
		return dialerEnd, nil
	case <-l.done:
	case <-ctx.Done():
	}
	return nil, &net.OpError{Op: "dial", Net: "memory", Addr: memoryAddress(address), Err: ErrRefused}
}

// Kill simulates the crash of a process: its connections are cut with the bytes in flight, and it opens no new ones.
func (h *Host) Kill() {
	n := h.network
	n.mu.Lock()
	h.dead = true
	for address, l := range n.listeners {
		if l.host == h {
			delete(n.listeners, address)
		}
	}
	n.mu.Unlock()
	n.each(func(k *link) bool { return k.dialer == h || k.listener == h }, func(k *link) { k.cut() })
}

// Freeze delays everything that the process sends and receives, like a pause of the process, until it is called with frozen false;
// nothing is lost.
func (h *Host) Freeze(frozen bool) {
	n := h.network
	n.mu.Lock()
	h.frozen = frozen
	n.mu.Unlock()
	n.each(func(k *link) bool { return k.dialer == h || k.listener == h }, func(k *link) { k.updatePaused() })
}

// hostPair is two processes; each pair is held in both orders.
type hostPair struct{ a, b *Host }

// Hold delays everything between two processes, like a partition that heals, until it is called with held false; nothing is lost.
func (n *MemoryNetwork) Hold(a, b *Host, held bool) {
	n.mu.Lock()
	n.held[hostPair{a, b}], n.held[hostPair{b, a}] = held, held
	n.mu.Unlock()
	n.each(func(k *link) bool {
		return k.dialer == a && k.listener == b || k.dialer == b && k.listener == a
	}, func(k *link) { k.updatePaused() })
}

// Silence permanently drops all bytes of the open connections to an address in the given directions; the connections stay open.
func (n *MemoryNetwork) Silence(address string, toListener, toDialer bool) {
	n.eachTo(address, func(k *link) {
		k.toListener.silent.Store(k.toListener.silent.Load() || toListener)
		k.toDialer.silent.Store(k.toDialer.silent.Load() || toDialer)
	})
}

// Cut closes the open connections to an address; the bytes in flight are lost.
func (n *MemoryNetwork) Cut(address string) { n.eachTo(address, func(k *link) { k.cut() }) }

// Disconnect closes the open connections between two processes; the bytes in flight are lost.
func (n *MemoryNetwork) Disconnect(a, b *Host) {
	n.each(func(k *link) bool {
		return k.dialer == a && k.listener == b || k.dialer == b && k.listener == a
	}, func(k *link) { k.cut() })
}

// Block refuses new connections to an address, or allows them again.
func (n *MemoryNetwork) Block(address string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[address] = blocked
}

func (n *MemoryNetwork) eachTo(address string, f func(*link)) {
	n.each(func(k *link) bool { return k.address == address }, f)
}

func (n *MemoryNetwork) each(match func(*link) bool, f func(*link)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	kept := n.links[:0]
	for _, k := range n.links {
		if match(k) {
			f(k)
		}
		if !k.closed() {
			kept = append(kept, k)
		}
	}
	n.links = kept
}

type memoryAddress string

// Network implements net.Addr.
func (a memoryAddress) Network() string { return "memory" }

// String implements net.Addr.
func (a memoryAddress) String() string { return string(a) }

type memoryListener struct {
	host    *Host
	address memoryAddress
	accept  chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.done)
		n := l.host.network
		n.mu.Lock()
		if n.listeners[string(l.address)] == l {
			delete(n.listeners, string(l.address))
		}
		n.mu.Unlock()
	})
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return l.address }
