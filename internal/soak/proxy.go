package soak

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// copyBufferBytes is the size of the pieces in which a proxy passes data on.
const copyBufferBytes = 32 << 10

// linkMode is what a proxy does with the data of its link.
type linkMode int

const (
	passLink linkMode = iota
	holdLink          // data wait until the mode changes; connections opened meanwhile never deliver anything
	resetLink
	delayLink
	loseAnswers
)

var linkModes = map[FaultKind]linkMode{HoldLink: holdLink, ResetLink: resetLink, DelayLink: delayLink, LoseAnswers: loseAnswers}

// proxy passes TCP connections on to an address, and can disturb them. It is safe for concurrent
// use.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	active  []*disturbance // the last one has effect
	changed chan struct{}  // closed when the mode changes
	conns   map[net.Conn]struct{}
	closed  bool
	running sync.WaitGroup
}

// disturbance is a mode that a proxy has for some time.
type disturbance struct {
	mode  linkMode
	delay time.Duration // in delayLink
}

// newProxy returns a proxy on a free loopback port that passes connections on to target.
func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy for %s: %w", target, err)
	}
	p := &proxy{listener: listener, target: target, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	p.running.Go(p.serve)
	return p, nil
}

// addr returns the address at which the proxy accepts connections.
func (p *proxy) addr() string { return p.listener.Addr().String() }

// disturb begins a disturbance and returns the function that ends it. Of several at once, the one that
// began last has effect. delay applies to delayLink.
func (p *proxy) disturb(mode linkMode, delay time.Duration) (end func()) {
	d := &disturbance{mode, delay}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active = append(p.active, d)
	p.modeChangedLocked()
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.active = slices.DeleteFunc(p.active, func(other *disturbance) bool { return other == d })
		p.modeChangedLocked()
	}
}

func (p *proxy) modeChangedLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
	if mode, _ := p.modeLocked(); mode == resetLink {
		for conn := range p.conns {
			reset(conn)
		}
	}
}

func (p *proxy) modeLocked() (linkMode, time.Duration) {
	if len(p.active) == 0 {
		return passLink, 0
	}
	last := p.active[len(p.active)-1]
	return last.mode, last.delay
}

// close ends the proxy and its connections, and waits for its goroutines.
func (p *proxy) close() {
	p.disturb(resetLink, 0)
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.running.Wait()
}

// reset closes a connection so that its other end sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *proxy) current() (linkMode, time.Duration, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	mode, delay := p.modeLocked()
	return mode, delay, p.changed
}

// track registers a connection that a reset closes. It returns false if connections are reset now.
func (p *proxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if mode, _ := p.modeLocked(); p.closed || mode == resetLink {
		return false
	}
	p.conns[conn] = struct{}{}
	return true
}

func (p *proxy) untrack(conn net.Conn) {
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
	_ = conn.Close()
}

func (p *proxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		p.running.Go(func() { p.handle(conn) })
	}
}

// handle passes a connection on until both directions have ended.
func (p *proxy) handle(client net.Conn) {
	if !p.track(client) {
		reset(client)
		return
	}
	defer p.untrack(client)
	if mode, _, changed := p.current(); mode == holdLink {
		<-changed
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	if !p.track(server) {
		reset(server)
		return
	}
	defer p.untrack(server)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var directions sync.WaitGroup
	directions.Go(func() { p.pass(ctx, client, server, false) })
	directions.Go(func() { p.pass(ctx, server, client, true) })
	directions.Wait()
}

// pass copies data from one connection to the other, and then its end. isAnswer says that the data come
// from the server.
func (p *proxy) pass(ctx context.Context, from, to net.Conn, isAnswer bool) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.awaitDelivery(ctx, isAnswer) {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			p.awaitDelivery(ctx, isAnswer)
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// awaitDelivery waits until data may be delivered. It returns false if they are lost.
func (p *proxy) awaitDelivery(ctx context.Context, isAnswer bool) bool {
	for {
		mode, delay, changed := p.current()
		switch mode {
		case holdLink:
			<-changed
		case delayLink:
			select {
			case <-ctx.Done():
			case <-time.After(delay):
			}
			return true
		default:
			return mode != loseAnswers || !isAnswer
		}
	}
}
