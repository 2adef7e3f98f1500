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
	// modePass hands bytes on.
	modePass proxyMode = iota // pass
	// modeDelay hands them on after proxyDelay.
	modeDelay // delay
	// modeSilence loses the bytes of both directions.
	modeSilence // silence
	// modeOneWay loses the bytes that go to the server.
	modeOneWay // one_way
	// modeRefuse closes new connections.
	modeRefuse // refuse
)

const (
	// proxyDelay is far above a round trip between failure domains, and below the silence that ends a session.
	proxyDelay = 120 * time.Millisecond
	proxyBuf   = 32 << 10
)

// proxy passes the connections to one listener on to one server.
type proxy struct {
	listener net.Listener
	server   string
	mu       sync.Mutex
	mode     proxyMode
	links    map[*proxyLink]bool
	duties   sync.WaitGroup
}

// proxyLink is one connection through a proxy.
type proxyLink struct {
	client net.Conn
	server net.Conn
	// lost says that bytes to the server, or to both ends, are lost for good.
	lost proxyMode
}

func newProxy(address, server string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, server: server, links: map[*proxyLink]bool{}}
	p.duties.Go(p.accept)
	return p, nil
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.duties.Go(func() { p.serve(client) })
	}
}

// serve joins a new connection with the server.
func (p *proxy) serve(client net.Conn) {
	defer client.Close()
	if p.now() == modeRefuse {
		return
	}
	server, err := net.DialTimeout("tcp", p.server, time.Second)
	if err != nil {
		// Nobody listens: the client's connection is reset, as it would be without a proxy.
		reset(client)
		return
	}
	defer server.Close()
	l := &proxyLink{client: client, server: server}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.pass(l, server, client, true) })
	p.pass(l, client, server, false)
	copies.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// pass hands the bytes of one direction on until one end closes; an end that closes or is reset takes the other with it.
func (p *proxy) pass(l *proxyLink, to, from net.Conn, toServer bool) {
	buf := make([]byte, proxyBuf)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.lose(l, toServer) {
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
func (p *proxy) lose(l *proxyLink, toServer bool) bool {
	p.mu.Lock()
	if p.mode == modeSilence || p.mode == modeOneWay && l.lost != modeSilence {
		l.lost = p.mode
	}
	lost := l.lost == modeSilence || l.lost == modeOneWay && toServer
	delayed := p.mode == modeDelay
	p.mu.Unlock()
	if delayed && !lost {
		time.Sleep(proxyDelay)
	}
	return lost
}

func (p *proxy) now() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// set changes the mode. Connections on which bytes were lost stay lost.
func (p *proxy) set(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
}

// resetAll resets all open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
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
	p.duties.Wait()
}
