package local

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/subprocess"
)

// backAfter passes before a controller that ended is started again.
const backAfter = time.Second

// Controller is a controller of a site on this machine.
type Controller struct {
	Name  string
	Users string // its address for users and workers
	File  string // its settings
}

// Controllers chooses addresses for n controllers, spread over the zones, and writes
// their settings into dir. endpoints are the services' addresses for each of them.
func Controllers(dir, prefix string, n int, params config.Params, zones []string, endpoints func(i int) config.Endpoints) ([]Controller, error) {
	ports, err := FreeAddrs(2 * n)
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("--dir: %w", err)
	}
	out := make([]Controller, n)
	for i := range out {
		name := fmt.Sprintf("%s-%d", prefix, i)
		out[i] = Controller{name, ports[2*i], filepath.Join(dir, name+".toml")}
	}
	for i, c := range out {
		p := config.Platform{Node: c.Name, Zone: zones[i%len(zones)], Listen: ports[2*i], Mesh: ports[2*i+1], Endpoints: endpoints(i), Params: params}
		for k, o := range out {
			if k != i {
				p.Peers = append(p.Peers, config.Peer{Node: o.Name, Zone: zones[k%len(zones)], Addr: ports[2*k+1]})
			}
		}
		data, err := toml.Marshal(p)
		if err != nil {
			return nil, fmt.Errorf("settings: %w", err)
		}
		if err := os.WriteFile(c.File, data, 0o644); err != nil {
			return nil, fmt.Errorf("settings: %w", err)
		}
	}
	return out, nil
}

// FreeAddrs finds loopback addresses that nobody listens on now.
func FreeAddrs(n int) ([]string, error) {
	ports, err := subprocess.FreePorts(n)
	out := make([]string, len(ports))
	for i, p := range ports {
		out[i] = net.JoinHostPort("127.0.0.1", strconv.Itoa(p))
	}
	return out, err
}

// Keep runs a controller until ctx ends, again whenever it ends by itself or a
// restart is asked for, which ends it in order.
func Keep(ctx context.Context, log *slog.Logger, name string, restart <-chan struct{}, start func(context.Context) error) {
	for ctx.Err() == nil {
		running, stop := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() { done <- start(running) }()
		select {
		case err := <-done:
			if ctx.Err() == nil {
				log.Error("a controller ended by itself", "name", name, "err", err)
			}
		case <-restart:
			stop()
			<-done
		}
		stop()
		select {
		case <-ctx.Done():
		case <-time.After(backAfter):
		}
	}
}
