//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// gate is the link of one machine. While it is closed, bytes and new connections through it are held up, as behind a partition.
type gate struct {
	mu     sync.Mutex
	open   chan struct{}
	closed bool
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.closed, g.open = true, make(chan struct{})
	}
}

func (g *gate) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		g.closed = false
		close(g.open)
	}
}

// wait returns when the gate is open.
func (g *gate) wait() {
	for {
		g.mu.Lock()
		open, closed := g.open, g.closed
		g.mu.Unlock()
		if !closed {
			return
		}
		<-open
	}
}

// proxy forwards the connections of one listener to one server, through the gates of the server's and of the client's machine.
type proxy struct {
	listener net.Listener
	server   string
	gate     *gate
	// clientGate returns the gate of the process that owns the client's end, nil for none.
	clientGate func(port int) *gate
}

func newProxy(address, server string, g *gate, clientGate func(port int) *gate) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, server: server, gate: g, clientGate: clientGate}
	go p.serve()
	return p, nil
}

func (p *proxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

func (p *proxy) forward(client net.Conn) {
	gates := []*gate{p.gate}
	if p.clientGate != nil {
		if g := p.clientGate(client.RemoteAddr().(*net.TCPAddr).Port); g != nil {
			gates = append(gates, g)
		}
	}
	wait := func() {
		for _, g := range gates {
			g.wait()
		}
	}
	wait()
	server, err := net.Dial("tcp", p.server)
	if err != nil {
		// The server's port has no listener.
		client.(*net.TCPConn).SetLinger(0)
		client.Close()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { pipe(server, client, wait) })
	both.Go(func() { pipe(client, server, wait) })
	both.Wait()
	client.Close()
	server.Close()
}

// pipe forwards the bytes of one direction, and then the end or the reset of the connection.
func pipe(to, from net.Conn, wait func()) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		wait()
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				from.(*net.TCPConn).SetLinger(0)
				from.Close()
				return
			}
		}
		switch {
		case err == io.EOF:
			// The end follows the bytes after a round trip.
			time.Sleep(clientRoundTrip)
			to.(*net.TCPConn).CloseWrite()
			return
		case err != nil:
			to.(*net.TCPConn).SetLinger(0)
			to.Close()
			return
		}
	}
}

// ownerOf reports whether a process owns the local end of a loopback connection with this port.
func ownsPort(pid, port int) bool {
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return false
	}
	inodes := map[string]bool{}
	suffix := fmt.Sprintf(":%04X", port)
	for _, line := range strings.Split(string(raw), "\n") {
		if f := strings.Fields(line); len(f) > 9 && strings.HasSuffix(f[1], suffix) {
			inodes["socket:["+f[9]+"]"] = true
		}
	}
	fds, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return false
	}
	for _, fd := range fds {
		if target, err := os.Readlink(fd); err == nil && inodes[target] {
			return true
		}
	}
	return false
}
