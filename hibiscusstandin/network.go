package hibiscusstandin

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// MemoryNetwork joins processes in one test by pipes in memory. Faults come in two kinds: those of connections (Silence,
// Cut, Block), after which new connections work, and those of a Host (Kill, Freeze), which is all that one run of a process
// has open.

// ErrRefused says that nobody listens on an address.
var ErrRefused = errors.New("connection refused")

// MemoryNetwork is safe for concurrent use.
type MemoryNetwork struct {
	mu          sync.Mutex
	listeners   map[string]*memoryListener
	links       []*link
	blocked     map[string]bool
	delay       time.Duration
	defaultHost *Host
}

// NewMemoryNetwork returns a network without listeners whose bytes arrive after delay.
func NewMemoryNetwork(delay time.Duration) *MemoryNetwork {
	n := &MemoryNetwork{listeners: map[string]*memoryListener{}, blocked: map[string]bool{}, delay: delay}
	n.defaultHost = n.Host()
	return n
}

// Listen opens a listener of a process that has no faults.
func (n *MemoryNetwork) Listen(address string) (net.Listener, error) {
	return n.defaultHost.Listen(address)
}

// Dial opens a connection of a process that has no faults.
func (n *MemoryNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	return n.defaultHost.Dial(ctx, address)
}

// Host is the network as one run of one process sees it; a replacement of the process gets its own.
type Host struct {
	network *MemoryNetwork
	dead    bool
	frozen  bool
}

// Host returns the view of a process that starts now.
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

// Dial opens a connection to an address; a refusal is a *net.OpError of a dial, like that of the system.
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

// Kill ends a process hard as the others see it: its connections are cut with what is in them, and it opens no new ones.
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

// Freeze holds back everything that the process sends and receives, like a pause of the process, until frozen is false;
// nothing is lost.
func (h *Host) Freeze(frozen bool) {
	n := h.network
	n.mu.Lock()
	h.frozen = frozen
	n.mu.Unlock()
	n.each(func(k *link) bool { return k.dialer == h || k.listener == h }, func(k *link) { k.updatePaused() })
}

// Silence drops all bytes of the open connections to an address, from now on and for good, in the given directions; the
// connections stay open.
func (n *MemoryNetwork) Silence(address string, toListener, toDialer bool) {
	n.eachTo(address, func(k *link) {
		k.toListener.silent.Store(k.toListener.silent.Load() || toListener)
		k.toDialer.silent.Store(k.toDialer.silent.Load() || toDialer)
	})
}

// Cut closes the open connections to an address; what is in them is lost.
func (n *MemoryNetwork) Cut(address string) { n.eachTo(address, func(k *link) { k.cut() }) }

// Disconnect cuts the open connections between two processes.
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

func (n *MemoryNetwork) each(chosen func(*link) bool, f func(*link)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	kept := n.links[:0]
	for _, k := range n.links {
		if chosen(k) {
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
