package hibiscussoak

import (
	"io"
	"net"
	"sync"
	"time"
)

// A proxy stands between two processes and passes bytes on as its mode says. A mode holds for connections that are open and for
// new ones; connections that were cut or silenced stay so, as when something between two VMs has lost track of them.

//go:generate stringer -type=proxyMode,faultKind -linecomment -output=enum_string.go

// proxyMode is what a proxy does with bytes.
type proxyMode int

const (
	// modeForward hands bytes on.
	modeForward proxyMode = iota // pass
	// modeDelay hands them on after proxyDelay.
	modeDelay // delay
	// modeDropAll loses the bytes of both directions.
	modeDropAll // silence
	// modeDropToServer loses the bytes that go to the server.
	modeDropToServer // one_way
	// modeRefuse closes new connections.
	modeRefuse // refuse
)

const (
	// proxyDelay is far above a round trip between failure domains, and below the silence that ends a session.
	proxyDelay      = 120 * time.Millisecond
	proxyBufferSize = 32 << 10
)

// proxy passes the connections to one listener on to one server.
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
	// lost says that bytes to the server, or to both ends, are lost for good.
	dropping proxyMode
}

func newProxy(address, server string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, server: server, connections: map[*proxyConnection]bool{}}
	p.goroutines.Go(p.accept)
	return p, nil
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.goroutines.Go(func() { p.serve(client) })
	}
}

// serve joins a new connection with the server.
func (p *proxy) serve(client net.Conn) {
	defer client.Close()
	if p.currentMode() == modeRefuse {
		return
	}
	server, err := net.DialTimeout("tcp", p.server, time.Second)
	if err != nil {
		// Nobody listens: the client's connection is reset, as it would be without a proxy.
		reset(client)
		return
	}
	defer server.Close()
	l := &proxyConnection{client: client, server: server}
	p.mu.Lock()
	p.connections[l] = true
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.forward(l, server, client, true) })
	p.forward(l, client, server, false)
	copies.Wait()
	p.mu.Lock()
	delete(p.connections, l)
	p.mu.Unlock()
}

// pass hands the bytes of one direction on until one end closes; an end that closes or is reset takes the other with it.
func (p *proxy) forward(l *proxyConnection, to, from net.Conn, toServer bool) {
	buf := make([]byte, proxyBufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.delayOrDrop(l, toServer) {
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

// lose waits for delayed bytes, and says whether bytes of a direction are lost.
func (p *proxy) delayOrDrop(l *proxyConnection, toServer bool) bool {
	p.mu.Lock()
	if p.mode == modeDropAll || p.mode == modeDropToServer && l.dropping != modeDropAll {
		l.dropping = p.mode
	}
	lost := l.dropping == modeDropAll || l.dropping == modeDropToServer && toServer
	delayed := p.mode == modeDelay
	p.mu.Unlock()
	if delayed && !lost {
		time.Sleep(proxyDelay)
	}
	return lost
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// set changes the mode. Connections on which bytes were lost stay lost.
func (p *proxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
}

// resetAll resets all open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.connections {
		reset(l.client)
		reset(l.server)
	}
}

// reset closes a connection with a reset instead of an end of the stream.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// Without lingering the kernel sends a reset. An error means that the connection is closed already.
		if err := tcp.SetLinger(0); err != nil {
			return
		}
	}
	c.Close()
}

// close ends the listener and all connections.
func (p *proxy) close() {
	p.listener.Close()
	p.resetAll()
	p.goroutines.Wait()
}
