// Package local runs a whole site on one machine: controllers, workers that run
// real processes, and stand-ins for state service, cloud and load balancer, all
// by their protocols, on loopback only.
//
// Controllers and workers are child processes that the caller starts; the services run in
// this process. What the site holds is in one directory, and is there again at the next
// run; tasks end with the run. There are no access rights, no encryption, and no
// isolation between tasks.
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
	maxMachineDirs    = 200 // machines whose files, with what their tasks wrote, are kept
	readHeaderTimeout = 10 * time.Second
)

// StartFunc starts a part of the site, "wallrack ARGS", and returns when it has ended. When ctx
// ends it ends the part in order. name is for logs.
type StartFunc func(ctx context.Context, name string, args []string) error

// Site is what to run.
type Site struct {
	Dir         string    // keeps jobs, settings and logs
	Listen      string    // loopback address for users
	Controllers int       // how many
	Machines    int       // most machines up at once
	CPUs        float64   // of a machine
	MemoryGB    float64   // of a machine
	SlotsFile   string    // file with slots of roll-outs, entries alone; may be empty
	Start       StartFunc // starts "wallrack ARGS"
	Log         *slog.Logger
}

// Check returns what is wrong with a site, beginning with the flag that sets it.
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

// Run runs the site until ctx ends; all its parts have ended then, and it returns nil.
// ready is called once, with the users' address, when a job is sure to be accepted.
func (s *Site) Run(ctx context.Context, ready func(url string)) error {
	if err := s.Check(); err != nil {
		return err
	}
	db, err := s.openDatabase()
	if err != nil {
		return err
	}
	defer func() { _ = db.Close() }() // each change was made durable
	if err := s.removeOldMachines(); err != nil {
		return err
	}
	users, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("--listen: %w", err)
	}
	defer func() { _ = users.Close() }() // mostly closed already
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer func() { _ = inner.Close() }() // mostly closed already
	services, err := s.prepare(db, inner.Addr().String())
	if err != nil {
		return err
	}
	return services.run(ctx, users, inner, ready)
}

// openDatabase opens the site's database, which only one run can have open.
func (s *Site) openDatabase() (*bbolt.DB, error) {
	if err := os.MkdirAll(s.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("--dir: %w", err)
	}
	db, err := bbolt.Open(filepath.Join(s.Dir, "site.db"), 0o644, &bbolt.Options{Timeout: time.Second})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, fmt.Errorf("--dir: %s is in use by another site", s.Dir)
	}
	if err != nil {
		return nil, fmt.Errorf("--dir: %w", err)
	}
	return db, nil
}

// removeOldMachines ends what an earlier run that was killed left behind, and drops the files
// of the oldest machines.
func (s *Site) removeOldMachines() error {
	dirs, err := filepath.Glob(filepath.Join(s.Dir, "machines", "*"))
	if err != nil {
		return fmt.Errorf("--dir: %w", err)
	}
	slices.Sort(dirs) // names are given in order
	for i, dir := range dirs {
		worker.KillOrphanedProcesses(dir, s.Log)
		if i < len(dirs)-maxMachineDirs {
			if err := os.RemoveAll(dir); err != nil {
				return fmt.Errorf("--dir: %w", err)
			}
		}
	}
	return nil
}

// services are what a run has in this process.
type services struct {
	site         *Site
	controllers  []Controller
	state        *standin.State
	cloud        *standin.Cloud
	workers      *workers
	descriptions http.Handler
	loadBalancer *LoadBalancer
}

// prepare opens the services on their records and writes the controllers' settings.
// inner is the services' address.
func (s *Site) prepare(db *bbolt.DB, inner string) (*services, error) {
	state, err := standin.OpenState(db, txnOps, valueKB)
	if err != nil {
		return nil, err
	}
	controllers, err := PrepareControllers(s.controllersDir(), "local", s.Controllers, s.controllerParams(), []string{Zone}, func(int) config.Endpoints {
		return config.Endpoints{Cloud: inner, State: inner}
	})
	if err != nil {
		return nil, err
	}
	if err := s.writeSettings(inner); err != nil {
		return nil, err
	}
	w := &workers{site: s, controllers: controllers, descriptions: "http://" + inner, running: map[string]*runningWorker{}}
	types := []wire.MachineType{{
		Name: Type, CPUs: s.CPUs, MemoryGB: s.MemoryGB, CacheGB: 100, FetchGBPerS: 10,
		Price: 1, SpotPrice: 1, BootS: 0.1, Zones: []string{Zone},
	}}
	cloud, err := standin.OpenCloud(db, types, s.Machines, w)
	if err != nil {
		return nil, err
	}
	w.markFailed = cloud.MarkFailed
	return &services{
		site: s, controllers: controllers, state: state, cloud: cloud, workers: w,
		descriptions: taskspec.Handler(standin.DescriptionStore{DB: db}), loadBalancer: NewLoadBalancer(controllers, s.Dir),
	}, nil
}

// handler serves state service, cloud and descriptions at one address.
func (s *services) handler() http.Handler {
	mux := http.NewServeMux()
	state, cloud := s.state.Handler(), s.cloud.Handler()
	for _, path := range []string{"/store", "/store/", "/txn", "/grants", "/grants/", "/follow"} {
		mux.Handle(path, state)
	}
	for _, path := range []string{"/machine_types", "/hosts", "/hosts/"} {
		mux.Handle(path, cloud)
	}
	mux.Handle("/descriptions/", s.descriptions)
	return mux
}

// run runs the services, the controllers and, as the cloud provisions them, the workers
// until ctx ends. Parts end before what they need: workers, controllers, then the
// services.
func (s *services) run(ctx context.Context, users, inner net.Listener, ready func(url string)) error {
	servicesCtx, stopServices := context.WithCancel(context.WithoutCancel(ctx))
	controllersCtx, stopControllers := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServices()
	defer stopControllers()
	s.loadBalancer.mux.Handle("/descriptions/", s.descriptions)
	group, groupCtx := errgroup.WithContext(ctx)
	Serve(servicesCtx, group, inner, s.handler())
	Serve(servicesCtx, group, users, s.loadBalancer.mux)
	group.Go(func() error { s.state.ExpireLeases(servicesCtx); return nil })
	group.Go(func() error { s.loadBalancer.RunProbes(servicesCtx); return nil })
	controllers := s.superviseControllers(controllersCtx)
	group.Go(func() error {
		if s.loadBalancer.AwaitReady(groupCtx) {
			s.site.Log.Info("ready", "users", users.Addr().String())
			ready("http://" + users.Addr().String())
		}
		return nil
	})
	group.Go(func() error {
		<-groupCtx.Done()
		s.workers.close()
		stopControllers()
		controllers.Wait()
		stopServices()
		return nil
	})
	if err := group.Wait(); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

// superviseControllers runs the controllers until ctx ends; the group is done when they have
// ended.
func (s *services) superviseControllers(ctx context.Context) *sync.WaitGroup {
	var group sync.WaitGroup
	for _, c := range s.controllers {
		args := []string{"--config", c.SettingsFile, "--rollouts", s.site.rolloutsFile(), "--slurm", s.site.slurmFile()}
		group.Go(func() {
			Supervise(ctx, s.site.Log, c.Name, nil, func(ctx context.Context) error { return s.site.Start(ctx, c.Name, args) })
		})
	}
	return &group
}

// Serve serves a listener until ctx ends, in goroutines of a group; requests that are being
// served then are cut off.
func Serve(ctx context.Context, group *errgroup.Group, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
}
