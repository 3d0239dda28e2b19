package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
)

// The range of the controllers' ports lies below the ports that the operating system chooses for
// outgoing connections: one of those could take the port of a controller that is being restarted.
const (
	firstPort       = 12_000
	lastPort        = 31_999
	maxPortAttempts = 1000
)

// freeAddrs returns n different loopback addresses that no process listens on.
func freeAddrs(n int) ([]string, error) {
	addrs := make([]string, 0, n)
	for range maxPortAttempts {
		if len(addrs) == n {
			return addrs, nil
		}
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+rand.IntN(lastPort-firstPort+1)))
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			continue // in use
		}
		defer func() { _ = listener.Close() }() // all stay open until the last is found, so that they differ
		addrs = append(addrs, addr)
	}
	return nil, fmt.Errorf("no free ports: %d of %d found from %d to %d", len(addrs), n, firstPort, lastPort)
}
