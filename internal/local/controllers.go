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
	"github.com/wallrack/wallrack/internal/periodic"
	"github.com/wallrack/wallrack/internal/subprocess"
)

// restartDelay is the time between a controller's exit and its restart.
const restartDelay = time.Second

// Controller is a controller on this machine.
type Controller struct {
	Name         string
	Addr         string // address for users and workers
	SettingsFile string // path of its settings file
}

// PrepareControllers chooses names with the given prefix and addresses for n controllers, spreads
// them over the zones, and writes their settings files into dir, which it creates. endpoints
// returns the addresses of the services for controller i. No controller is started.
func PrepareControllers(dir, prefix string, n int, params config.Params, zones []string, endpoints func(i int) config.Endpoints) ([]Controller, error) {
	addrs, err := FreeAddrs(2 * n)
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("--dir: %w", err)
	}
	controllers := make([]Controller, n)
	for i := range controllers {
		name := fmt.Sprintf("%s-%d", prefix, i)
		controllers[i] = Controller{name, addrs[2*i], filepath.Join(dir, name+".toml")}
	}
	for i, c := range controllers {
		platform := config.Platform{Node: c.Name, Zone: zones[i%len(zones)], Listen: addrs[2*i], Mesh: addrs[2*i+1], Endpoints: endpoints(i), Params: params}
		for k, peer := range controllers {
			if k != i {
				platform.Peers = append(platform.Peers, config.Peer{Node: peer.Name, Zone: zones[k%len(zones)], Addr: addrs[2*k+1]})
			}
		}
		data, err := toml.Marshal(platform)
		if err != nil {
			return nil, fmt.Errorf("settings: %w", err)
		}
		if err := os.WriteFile(c.SettingsFile, data, 0o644); err != nil {
			return nil, fmt.Errorf("settings: %w", err)
		}
	}
	return controllers, nil
}

// FreeAddrs returns n different loopback addresses that no process listens on. They are not
// reserved: another process may take one before the caller uses it.
func FreeAddrs(n int) ([]string, error) {
	ports, err := subprocess.FreePorts(n)
	if err != nil {
		return nil, err
	}
	addrs := make([]string, len(ports))
	for i, port := range ports {
		addrs[i] = net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
	}
	return addrs, nil
}

// Supervise runs a controller until ctx ends, and returns when the controller has exited. If the
// controller exits unexpectedly, or a value arrives on restart, it is started again after
// restartDelay. For a requested restart it is shut down gracefully. restart may be nil.
func Supervise(ctx context.Context, log *slog.Logger, name string, restart <-chan struct{}, start func(context.Context) error) {
	for ctx.Err() == nil {
		running, stop := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() { done <- start(running) }()
		select {
		case err := <-done:
			if ctx.Err() == nil {
				log.Error("controller exited unexpectedly", "controller", name, "err", err)
			}
		case <-restart:
			stop()
			if err := <-done; err != nil {
				log.Debug("controller stopped for restart", "controller", name, "err", err)
			}
		}
		stop()
		periodic.Sleep(ctx, restartDelay)
	}
}
