//go:build review

package main

import (
	"net"
	"sync"
	"time"
)

// proxy passes connections on to an address. It can be cut: held packets are delivered in order
// afterwards, even of connections that were closed meanwhile; connections can also be reset.
type proxy struct {
	addr string
	to   string

	mu     sync.Mutex
	held   bool
	refuse bool
	freed  chan struct{} // closed when nothing is held
	conns  map[net.Conn]bool
}

func newProxy(to string) *proxy {
	lis := mustListen()
	p := &proxy{addr: lis.Addr().String(), to: to, conns: map[net.Conn]bool{}, freed: make(chan struct{})}
	close(p.freed)
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

// cut holds all packets, or delivers them.
func (p *proxy) cut(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on && !p.held {
		p.freed = make(chan struct{})
	}
	if !on && p.held {
		close(p.freed)
	}
	p.held = on
}

// reset refuses connections and resets the open ones, or accepts again.
func (p *proxy) reset(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = on
	if on {
		for conn := range p.conns {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}
}

func (p *proxy) wait() {
	p.mu.Lock()
	freed := p.freed
	p.mu.Unlock()
	<-freed
}

func (p *proxy) serve(in net.Conn) {
	p.mu.Lock()
	held, refuse := p.held, p.refuse
	p.conns[in] = true
	p.mu.Unlock()
	forget := func(conn net.Conn) {
		p.mu.Lock()
		delete(p.conns, conn)
		p.mu.Unlock()
		_ = conn.Close()
	}
	defer forget(in)
	if refuse {
		_ = in.(*net.TCPConn).SetLinger(0)
		return
	}
	if held {
		p.wait() // a connection attempt during a cut doesn't complete later
		return
	}
	out, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil {
		_ = in.(*net.TCPConn).SetLinger(0)
		return
	}
	p.mu.Lock()
	p.conns[out] = true
	p.mu.Unlock()
	defer forget(out)
	done := make(chan struct{}, 2)
	pipe := func(from, to net.Conn) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			p.wait()
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				_ = to.(*net.TCPConn).CloseWrite()
				return
			}
		}
	}
	go pipe(in, out)
	go pipe(out, in)
	<-done
	<-done
}
