package hibiscussoak

import (
	"io"
	"net"
	"sync"
	"time"
)

//go:generate stringer -type=proxyMode,faultKind -linecomment -output=enum_string.go

// proxyMode determines what a proxy does with bytes and new connections.
type proxyMode int

const (
	// modeForward forwards bytes.
	modeForward proxyMode = iota // pass
	// modeDelay forwards bytes after proxyDelay.
	modeDelay // delay
	// modeDropAll drops the bytes of both directions.
	modeDropAll // silence
	// modeDropToServer drops the bytes sent to the server.
	modeDropToServer // one_way
	// modeRefuse closes new connections.
	modeRefuse // refuse
)

const (
	// proxyDelay is far above a round trip between failure domains, and below the time without traffic that ends a session.
	proxyDelay      = 120 * time.Millisecond
	proxyBufferSize = 32 << 10
)

// proxy forwards the connections of one listener to one server. Its mode applies to open and new connections. A connection that
// has dropped bytes keeps dropping them, like one whose state was lost by a device between two VMs.
type proxy struct {
	listener    net.Listener
	server      string
	mu          sync.Mutex
	mode        proxyMode
	connections map[*proxyConnection]bool
	goroutines  sync.WaitGroup
}

// proxyConnection is one connection through a proxy.
type proxyConnection struct {
	client net.Conn
	server net.Conn
	// dropping is modeDropToServer or modeDropAll once the connection drops bytes, which is permanent.
	dropping proxyMode
}

func newProxy(address, server string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, server: server, connections: map[*proxyConnection]bool{}}
	p.goroutines.Go(func() { p.accept(l) })
	return p, nil
}

func (p *proxy) accept(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		p.goroutines.Go(func() { p.serve(client) })
	}
}

// serve connects a new client connection to the server.
func (p *proxy) serve(client net.Conn) {
	defer client.Close()
	if p.currentMode() == modeRefuse {
		return
	}
	server, err := net.DialTimeout("tcp", p.server, time.Second)
	if err != nil {
		// No listener: the client's connection is reset, as it would be without a proxy.
		reset(client)
		return
	}
	defer server.Close()
	c := &proxyConnection{client: client, server: server}
	p.mu.Lock()
	p.connections[c] = true
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.forward(c, server, client, true) })
	p.forward(c, client, server, false)
	copies.Wait()
	p.mu.Lock()
	delete(p.connections, c)
	p.mu.Unlock()
}

// forward copies the bytes of one direction until one end is closed or reset, and then does the same to the other.
func (p *proxy) forward(c *proxyConnection, to, from net.Conn, toServer bool) {
	buf := make([]byte, proxyBufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.delayOrDrop(c, toServer) {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if err != io.EOF {
				reset(to)
			}
			break
		}
	}
	to.Close()
	from.Close()
}

// delayOrDrop waits if bytes are to be delayed, and reports whether the bytes of a direction are to be dropped.
func (p *proxy) delayOrDrop(c *proxyConnection, toServer bool) bool {
	p.mu.Lock()
	if p.mode == modeDropAll || p.mode == modeDropToServer && c.dropping != modeDropAll {
		c.dropping = p.mode
	}
	drop := c.dropping == modeDropAll || c.dropping == modeDropToServer && toServer
	delay := p.mode == modeDelay
	p.mu.Unlock()
	if delay && !drop {
		time.Sleep(proxyDelay)
	}
	return drop
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// setMode changes the mode. Connections that have dropped bytes keep dropping them.
func (p *proxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
}

// dropFrom drops the bytes of the connections that a process has open, and resets them after a time.
func (p *proxy) dropFrom(q *process, duration time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		if address, ok := c.client.RemoteAddr().(*net.TCPAddr); ok && q.owns(address) {
			c.dropping = modeDropAll
			time.AfterFunc(duration, func() {
				reset(c.client)
				reset(c.server)
			})
		}
	}
}

// closeListener resets all open connections and refuses new ones until reopen.
func (p *proxy) closeListener() {
	p.listener.Close()
	p.resetAll()
}

// reopen listens again at the address of the proxy.
func (p *proxy) reopen() error {
	l, err := net.Listen("tcp", p.listener.Addr().String())
	if err == nil {
		p.listener = l
		p.goroutines.Go(func() { p.accept(l) })
	}
	return err
}

// resetAll resets all open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		reset(c.client)
		reset(c.server)
	}
}

// reset closes a connection with a TCP reset instead of a FIN.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// With a linger time of zero the kernel sends a reset. An error means that the connection is already closed.
		if err := tcp.SetLinger(0); err != nil {
			return
		}
	}
	c.Close()
}

// close closes the listener and all connections and waits for the goroutines.
func (p *proxy) close() {
	p.listener.Close()
	p.resetAll()
	p.goroutines.Wait()
}
