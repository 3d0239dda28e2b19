package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/periodic"
)

const (
	dialTimeout     = 500 * time.Millisecond
	maxDialAttempts = 3               // on different controllers, for each connection
	maxDialFailures = 3               // in a row, after which a controller is passed over
	passOverTime    = 3 * time.Second // for which it is
)

// loadBalancer passes users' connections on to healthy controllers, by the operators' protocol. It never
// looks into requests. It is safe for concurrent use.
type loadBalancer struct {
	listener net.Listener
	probes   *http.Client

	mu      sync.Mutex
	nodes   []*balancedNode
	closed  bool
	running sync.WaitGroup
}

// balancedNode is a controller behind a load balancer.
type balancedNode struct {
	addr           string
	health         nodeHealth
	dialFailures   int // in a row
	passedOverTill time.Time
	conns          map[net.Conn]struct{} // to the controller
}

// newLoadBalancer returns a load balancer on a free loopback port that checks the controllers' health
// until it is closed or ctx ends.
func newLoadBalancer(ctx context.Context, addrs []string) (*loadBalancer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("load balancer: %w", err)
	}
	b := &loadBalancer{
		listener: listener,
		probes:   &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for _, addr := range addrs {
		b.nodes = append(b.nodes, &balancedNode{addr: addr, conns: map[net.Conn]struct{}{}})
	}
	ctx, stop := context.WithCancel(ctx)
	for _, node := range b.nodes {
		b.running.Go(func() { b.checkHealth(ctx, node) })
	}
	b.running.Go(func() {
		defer stop()
		b.serve()
	})
	return b, nil
}

func (b *loadBalancer) addr() string { return b.listener.Addr().String() }

// close ends the load balancer and its connections, and waits for its goroutines.
func (b *loadBalancer) close() {
	b.mu.Lock()
	b.closed = true
	for _, node := range b.nodes {
		node.resetConns()
	}
	b.mu.Unlock()
	_ = b.listener.Close()
	b.running.Wait()
}

// checkHealth probes a controller until ctx ends.
func (b *loadBalancer) checkHealth(ctx context.Context, node *balancedNode) {
	for periodic.Sleep(ctx, probeInterval) {
		healthy := b.probe(ctx, node.addr)
		b.mu.Lock()
		now := time.Now()
		node.health.record(healthy, now)
		if !node.health.healthy && now.Sub(node.health.changedAt) >= resetAfterUnhealthy {
			node.resetConns()
		}
		b.mu.Unlock()
	}
}

func (b *loadBalancer) probe(ctx context.Context, addr string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/up", nil)
	if err != nil {
		return false
	}
	response, err := b.probes.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (n *balancedNode) resetConns() {
	for conn := range n.conns {
		reset(conn)
	}
}

func (b *loadBalancer) serve() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		b.running.Go(func() { b.handle(conn) })
	}
}

// handle passes a user's connection on to a controller, or resets it if none accepts it.
func (b *loadBalancer) handle(user net.Conn) {
	defer reset(user)
	node, controller := b.connect()
	if controller == nil {
		return
	}
	defer b.untrack(node, controller)
	var copying sync.WaitGroup
	copying.Go(func() {
		_, _ = io.Copy(controller, user) // ends with either connection
		reset(controller)
	})
	_, _ = io.Copy(user, controller)
	reset(user)
	copying.Wait()
}

// connect connects to a healthy controller, the one with the fewest connections first.
func (b *loadBalancer) connect() (*balancedNode, net.Conn) {
	tried := map[*balancedNode]bool{}
	for range maxDialAttempts {
		node := b.pick(tried)
		if node == nil {
			return nil, nil
		}
		tried[node] = true
		conn, err := net.DialTimeout("tcp", node.addr, dialTimeout)
		if b.recordDial(node, conn, err) {
			return node, conn
		}
	}
	return nil, nil
}

// pick returns the healthy controller with the fewest connections for its share among those not tried.
func (b *loadBalancer) pick(tried map[*balancedNode]bool) *balancedNode {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *balancedNode
	least := 0.0
	now := time.Now()
	for _, node := range b.nodes {
		share := node.health.share(now)
		if share == 0 || tried[node] || now.Before(node.passedOverTill) {
			continue
		}
		if load := float64(len(node.conns)+1) / share; best == nil || load < least {
			best, least = node, load
		}
	}
	return best
}

// recordDial records the outcome of a connection attempt, and reports whether the connection may be used.
func (b *loadBalancer) recordDial(node *balancedNode, conn net.Conn, err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		if node.dialFailures++; node.dialFailures >= maxDialFailures {
			node.dialFailures, node.passedOverTill = 0, time.Now().Add(passOverTime)
		}
		return false
	}
	node.dialFailures = 0
	if b.closed {
		reset(conn)
		return false
	}
	node.conns[conn] = struct{}{}
	return true
}

func (b *loadBalancer) untrack(node *balancedNode, conn net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(node.conns, conn)
	_ = conn.Close()
}
