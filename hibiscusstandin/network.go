package hibiscusstandin

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// MemoryNetwork joins processes in one test by pipes in memory, whose bytes can be held back in either direction while
// both ends stay open, or whose connections can be cut. Connections made after a fault work.

// ErrRefused says that nobody listens on an address.
var ErrRefused = errors.New("connection refused")

// MemoryNetwork is safe for concurrent use.
type MemoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	links     []*link
	blocked   map[string]bool
	delay     time.Duration
}

// NewMemoryNetwork returns a network without listeners whose bytes arrive after delay.
func NewMemoryNetwork(delay time.Duration) *MemoryNetwork {
	return &MemoryNetwork{listeners: map[string]*memoryListener{}, blocked: map[string]bool{}, delay: delay}
}

// Listen opens a listener on an address.
func (n *MemoryNetwork) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, errors.Newf("address %s is in use", address)
	}
	l := &memoryListener{network: n, address: memoryAddress(address), accept: make(chan net.Conn, 64), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial opens a connection to an address; a refusal is a *net.OpError of a dial, like that of the system.
func (n *MemoryNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	if l == nil || n.blocked[address] {
		n.mu.Unlock()
		return nil, &net.OpError{Op: "dial", Net: "memory", Addr: memoryAddress(address), Err: ErrRefused}
	}
	k := &link{address: address}
	dialerEnd, listenerEnd := k.open(memoryAddress(address), n.delay)
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

// Silence holds back all bytes of the open connections to an address, from now on and for good, in the given directions;
// the connections stay open.
func (n *MemoryNetwork) Silence(address string, toListener, toDialer bool) {
	n.each(address, func(k *link) {
		k.up.silent.Store(k.up.silent.Load() || toListener)
		k.down.silent.Store(k.down.silent.Load() || toDialer)
	})
}

// Cut closes the open connections to an address.
func (n *MemoryNetwork) Cut(address string) {
	n.each(address, func(k *link) { k.cut() })
}

// Block refuses new connections to an address, or allows them again.
func (n *MemoryNetwork) Block(address string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[address] = blocked
}

func (n *MemoryNetwork) each(address string, f func(*link)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	kept := n.links[:0]
	for _, k := range n.links {
		if k.address == address {
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
	network *MemoryNetwork
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
		l.network.mu.Lock()
		delete(l.network.listeners, string(l.address))
		l.network.mu.Unlock()
	})
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return l.address }
