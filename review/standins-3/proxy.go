//go:build review3

package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// proxy forwards the connections to one address. While an entry is cut off, it holds all bytes of that entry's connections and delivers
// them afterwards, as a silent partition does; connections that are opened meanwhile stay silent.
type proxy struct {
	c      *campaign
	target string
	// to is the entry behind the proxy, or the one that alone uses it.
	to *process
}

func (c *campaign) addProxy(address, target string, to *process) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	p := &proxy{c: c, target: target, to: to}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return nil
}

func (p *proxy) serve(from net.Conn) {
	defer from.Close()
	dialer := p.c.ownerOf(from)
	if p.isCut(dialer) {
		// The opening packet is lost; the client gives up.
		_, _ = io.Copy(io.Discard, from)
		return
	}
	to, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer to.Close()
	done := make(chan struct{}, 2)
	pump := func(dst, src net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := src.Read(buffer)
			p.hold(dialer)
			if n > 0 {
				if _, err := dst.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go pump(to, from)
	go pump(from, to)
	<-done
}

// hold waits while an end of the connection is cut off.
func (p *proxy) hold(dialer *process) {
	for p.isCut(dialer) {
		time.Sleep(5 * time.Millisecond)
	}
}

func (p *proxy) isCut(dialer *process) bool {
	cut := p.c.cutOff.Load()
	return cut != nil && (cut == p.to || cut == dialer)
}

// ownerOf returns the entry that has opened a connection, nil for another process.
func (c *campaign) ownerOf(conn net.Conn) *process {
	address, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return nil
	}
	table, _ := os.ReadFile("/proc/self/net/tcp")
	port := fmt.Sprintf(":%04X", address.Port)
	sockets := map[string]bool{}
	for line := range strings.Lines(string(table)) {
		if f := strings.Fields(line); len(f) > 9 && strings.HasSuffix(f[1], port) {
			sockets["socket:["+f[9]+"]"] = true
		}
	}
	for _, e := range c.entries {
		if e.cmd == nil {
			continue
		}
		descriptors, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", e.cmd.Process.Pid))
		for _, path := range descriptors {
			if target, err := os.Readlink(path); err == nil && sockets[target] {
				return e
			}
		}
	}
	return nil
}
