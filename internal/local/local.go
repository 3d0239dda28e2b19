// Package local runs a whole site on one machine: controllers, workers that run
// real processes, and stand-ins for state service, cloud and load balancer, all
// spoken to by the protocol, on loopback only.
package local

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
	"golang.org/x/sync/errgroup"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/rollout"
	"github.com/wallrack/wallrack/internal/standin"
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/wire"
	"github.com/wallrack/wallrack/internal/worker"
)

// Team is the team of a local site, Zone its only zone, Type its machine type.
const (
	Team = "default"
	Zone = "local"
	Type = "local"
)

const (
	reportS  = 1.0
	leaseS   = 10.0
	cancelS  = 30.0
	stateRPS = 2000.0
	txnOps   = 48
	valueKB  = 16.0
)

// Part starts a part of the site and returns when it has ended. It ends the part
// in order when ctx ends.
type Part func(ctx context.Context, name string, args []string) error

// Site says what to run.
type Site struct {
	Dir         string  // keeps jobs, settings and logs
	Listen      string  // loopback address for users
	Controllers int     // how many
	Machines    int     // most machines up at once
	CPUs        float64 // of a machine
	MemoryGB    float64 // of a machine
	Slots       string  // file with slots of roll-outs, entries alone; may be empty
	Start       Part    // starts "wallrack ARGS"
	Log         *slog.Logger
}

// Check says what is wrong with a site.
func (s *Site) Check() error {
	switch {
	case s.Dir == "":
		return errors.New("--dir: a directory is needed")
	case s.Controllers < 1 || s.Controllers > 9:
		return errors.New("--controllers: must be 1 to 9")
	case s.Machines < 1 || s.Machines > 200:
		return errors.New("--machines: must be 1 to 200")
	case !(s.CPUs > 0) || !(s.MemoryGB > 0):
		return errors.New("--cpus, --memory-gb: must be above 0")
	}
	host, _, err := net.SplitHostPort(s.Listen)
	if err != nil {
		return fmt.Errorf("--listen: %w", err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("--listen: %s is not a loopback address: a local site has no rights and no encryption", host)
	}
	return nil
}

// Run runs the site until ctx ends. ready is called once, with the users'
// address, when a job is sure to be taken.
func (s *Site) Run(ctx context.Context, ready func(url string)) error {
	if err := s.Check(); err != nil {
		return err
	}
	if err := os.MkdirAll(s.Dir, 0o755); err != nil {
		return fmt.Errorf("--dir: %w", err)
	}
	db, err := bbolt.Open(filepath.Join(s.Dir, "site.db"), 0o644, &bbolt.Options{Timeout: time.Second})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return fmt.Errorf("--dir: %s is in use by another site", s.Dir)
	}
	if err != nil {
		return fmt.Errorf("--dir: %w", err)
	}
	defer db.Close()
	if err := s.clear(); err != nil {
		return err
	}
	users, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("--listen: %w", err)
	}
	defer users.Close()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer inner.Close()
	state, err := standin.OpenState(db, txnOps, valueKB)
	if err != nil {
		return err
	}
	// Parts end before what they need: workers, controllers, then the services.
	svcCtx, stopServices := context.WithCancel(context.Background())
	ctlCtx, stopControllers := context.WithCancel(context.Background())
	defer stopServices()
	defer stopControllers()
	nodes, err := Controllers(filepath.Join(s.Dir, "controllers"), "local", s.Controllers, s.params(), []string{Zone}, func(int) config.Endpoints {
		return config.Endpoints{Cloud: inner.Addr().String(), State: inner.Addr().String()}
	})
	if err != nil {
		return err
	}
	if err := s.rollouts(inner.Addr().String()); err != nil {
		return err
	}
	if err := os.WriteFile(s.slurmFile(), []byte(slurmSettings), 0o644); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	m := &machines{site: s, nodes: nodes, descriptions: "http://" + inner.Addr().String(), running: map[string]*running{}}
	cloud, err := standin.OpenCloud(db, []wire.MachineType{{Name: Type, CPUs: s.CPUs, MemoryGB: s.MemoryGB, CacheGB: 100, FetchGBPerS: 10,
		Price: 1, SpotPrice: 1, BootS: 0.1, Zones: []string{Zone}}}, s.Machines, m)
	if err != nil {
		return err
	}
	m.failed = cloud.Failed
	front := NewFront(nodes, s.Dir)
	mux := http.NewServeMux()
	stateService, cloudService := state.Handler(), cloud.Handler()
	for _, path := range []string{"/store", "/store/", "/txn", "/grants", "/grants/", "/follow"} {
		mux.Handle(path, stateService)
	}
	for _, path := range []string{"/machine_types", "/hosts", "/hosts/"} {
		mux.Handle(path, cloudService)
	}
	descriptions := taskspec.Handler(standin.Descriptions{DB: db})
	mux.Handle("/descriptions/", descriptions)
	front.mux.Handle("/descriptions/", descriptions)

	g, gctx := errgroup.WithContext(ctx)
	serve := func(lis net.Listener, h http.Handler) {
		srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
		g.Go(func() error {
			if err := srv.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
		g.Go(func() error {
			<-svcCtx.Done()
			return srv.Close()
		})
	}
	serve(inner, mux)
	serve(users, front.mux)
	g.Go(func() error { state.ExpireLeases(svcCtx); return nil })
	g.Go(func() error { front.Watch(svcCtx); return nil })
	var controllers sync.WaitGroup
	for _, n := range nodes {
		controllers.Add(1)
		go func() {
			defer controllers.Done()
			Keep(ctlCtx, s.Log, n.Name, nil, func(ctx context.Context) error {
				return s.Start(ctx, n.Name, []string{"--config", n.File, "--rollouts", s.rolloutsFile(), "--slurm", s.slurmFile()})
			})
		}()
	}
	g.Go(func() error {
		if front.Await(gctx) {
			s.Log.Info("ready", "users", users.Addr().String())
			ready("http://" + users.Addr().String())
		}
		return nil
	})
	g.Go(func() error {
		<-gctx.Done()
		m.close()
		stopControllers()
		controllers.Wait()
		stopServices()
		return nil
	})
	if err := g.Wait(); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

// keepMachines is how many machines' files, with what their tasks wrote, are kept.
const keepMachines = 200

// clear ends what an earlier run that was killed left behind, and drops the files
// of the oldest machines.
func (s *Site) clear() error {
	dirs, err := filepath.Glob(filepath.Join(s.Dir, "machines", "*"))
	if err != nil {
		return fmt.Errorf("--dir: %w", err)
	}
	slices.Sort(dirs) // names are given in order
	for i, d := range dirs {
		worker.EndLeftovers(d, s.Log)
		if i < len(dirs)-keepMachines {
			if err := os.RemoveAll(d); err != nil {
				return fmt.Errorf("--dir: %w", err)
			}
		}
	}
	return nil
}

// params are the figures that the platform hands over.
func (s *Site) params() config.Params {
	return config.Params{Zones: []string{Zone}, Teams: []config.Team{{Name: Team}},
		Workers: config.Workers{ReportS: reportS, LeaseS: leaseS, CancelS: cancelS},
		State:   config.State{RPS: stateRPS, WriteRPS: stateRPS, ValueKB: valueKB, TxnOps: txnOps},
		Cloud:   config.Cloud{RPS: 50, ListLagS: 0.5}, Limits: config.Limits{CPU: 1, RAMMB: 512, Sockets: 4096}}
}

// slurmSettings are those of Slurm-style clients: as wallctl submit has it where
// nothing is said.
const slurmSettings = `(slurm (cluster "local") (accounting on) (listings-per-s 50) (partition "adhoc") (account "` + Team + `"))` + "\n"

func (s *Site) slurmFile() string { return filepath.Join(s.Dir, "controllers", "slurm.sexp") }

func (s *Site) rolloutsFile() string { return filepath.Join(s.Dir, "controllers", "rollouts.sexp") }

// rollouts writes the settings of roll-outs: the site's description service, and
// what the operators' own file says of slots.
func (s *Site) rollouts(inner string) error {
	slots := ""
	if s.Slots != "" {
		data, err := os.ReadFile(s.Slots)
		if err != nil {
			return fmt.Errorf("--slots: %w", err)
		}
		slots = string(data)
	}
	text := fmt.Sprintf("(rollouts\n  (descriptions \"http://%s\")\n%s)\n", inner, slots)
	if _, err := rollout.ParseSettings([]byte(text)); err != nil {
		return fmt.Errorf("--slots: %s: %w", s.Slots, err)
	}
	if err := os.WriteFile(s.rolloutsFile(), []byte(text), 0o644); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// machines is the cloud's launcher: a worker process each.
type machines struct {
	site         *Site
	nodes        []Controller
	descriptions string
	failed       func(name string)

	mu      sync.Mutex
	running map[string]*running
	closed  bool
}

type running struct {
	stop context.CancelFunc
	done chan struct{}
}

// Launch implements standin.Launcher.
func (m *machines) Launch(l wire.ListedMachine, t wire.MachineType) (string, error) {
	ports, err := FreeAddrs(1)
	if err != nil {
		return "", err
	}
	args := []string{"worker", "--name", l.Name, "--listen", ports[0], "--type", l.Type, "--zone", l.Zone,
		"--cpus", fmt.Sprint(t.CPUs), "--memory-gb", fmt.Sprint(t.MemoryGB), "--descriptions", m.descriptions,
		"--report-s", fmt.Sprint(reportS), "--lease-s", fmt.Sprint(leaseS), "--dir", filepath.Join(m.site.Dir, "machines", l.Name)}
	for _, n := range m.nodes {
		args = append(args, "--controller", n.Name+"="+n.Users)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &running{stop, make(chan struct{})}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		stop()
		return "", errors.New("the site is ending")
	}
	m.running[l.Name] = r
	go func() {
		defer close(r.done)
		err := m.site.Start(ctx, l.Name, args)
		if ctx.Err() == nil {
			m.site.Log.Error("a worker ended by itself", "machine", l.Name, "err", err)
			m.failed(l.Name)
		}
	}()
	return ports[0], nil
}

// End implements standin.Launcher.
func (m *machines) End(name string) {
	m.mu.Lock()
	r := m.running[name]
	delete(m.running, name)
	m.mu.Unlock()
	if r != nil {
		r.stop()
		<-r.done
	}
}

func (m *machines) close() {
	m.mu.Lock()
	m.closed = true
	all := m.running
	m.running = map[string]*running{}
	m.mu.Unlock()
	for _, r := range all {
		r.stop()
	}
	for _, r := range all {
		<-r.done
	}
}
