// Package local runs a whole site on one machine: controllers, workers that run real processes,
// and local replacements for the state service, the cloud and the load balancer, which
// communicate by the same protocols over loopback only.
//
// Controllers and workers are child processes started by the caller; the services run in this
// process. The site's data are stored in one directory and loaded by the next run; tasks end with
// the run. There is no access control, no encryption and no isolation between tasks.
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

// The only team, zone and machine type of a local site.
const (
	Team = "default"
	Zone = "local"
	Type = "local"
)

const (
	maxMachineDirs    = 200 // machines whose directories, with their task output, are retained
	readHeaderTimeout = 10 * time.Second
)

// StartFunc runs the child process "wallrack ARGS" and returns when it has exited. When ctx ends
// it shuts the process down gracefully. name is used for logging.
type StartFunc func(ctx context.Context, name string, args []string) error

// Site is the configuration of a local site.
type Site struct {
	Dir         string    // for data, settings and logs
	Listen      string    // loopback address for users
	Controllers int       // number of controllers
	Machines    int       // maximum number of machines at a time
	CPUs        float64   // per machine
	MemoryGB    float64   // per machine
	SlotsFile   string    // file with the slot entries of the roll-out settings, without the enclosing list; empty: none
	Start       StartFunc // runs "wallrack ARGS"
	Log         *slog.Logger
}

// Check returns the first error in the configuration, prefixed with the name of the flag, or nil.
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

// Run runs the site until ctx ends. It then stops all processes and services and returns nil. It
// returns an error if the configuration is invalid or a service can't start or fails. ready is
// called once, with the URL for users, when jobs will be accepted.
func (s *Site) Run(ctx context.Context, ready func(url string)) error {
	if err := s.Check(); err != nil {
		return err
	}
	db, err := s.openDatabase()
	if err != nil {
		return err
	}
	defer func() { _ = db.Close() }() // every change was committed
	if err := s.cleanUpMachines(); err != nil {
		return err
	}
	userListener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("--listen: %w", err)
	}
	defer func() { _ = userListener.Close() }() // usually closed already
	serviceListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer func() { _ = serviceListener.Close() }() // usually closed already
	services, err := s.prepare(db, serviceListener.Addr().String())
	if err != nil {
		return err
	}
	return services.run(ctx, userListener, serviceListener, ready)
}

// openDatabase opens the site's database. It fails if another run has the database open.
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

// cleanUpMachines kills orphaned processes of an earlier run, and removes the directories of all
// but the newest maxMachineDirs machines.
func (s *Site) cleanUpMachines() error {
	dirs, err := filepath.Glob(filepath.Join(s.Dir, "machines", "*"))
	if err != nil {
		return fmt.Errorf("--dir: %w", err)
	}
	slices.Sort(dirs) // machine names ascend in the order of creation
	for i, dir := range dirs {
		if err := worker.KillOrphanedProcesses(dir, s.Log); err != nil {
			return fmt.Errorf("--dir: %w", err)
		}
		if i < len(dirs)-maxMachineDirs {
			if err := os.RemoveAll(dir); err != nil {
				return fmt.Errorf("--dir: %w", err)
			}
		}
	}
	return nil
}

// services are the parts of a site that run in this process.
type services struct {
	site         *Site
	controllers  []Controller
	state        *standin.State
	cloud        *standin.Cloud
	workers      *workers
	descriptions http.Handler
	loadBalancer *LoadBalancer
}

// prepare opens the services with their stored data and writes the controllers' settings.
// serviceAddr is the address of the services.
func (s *Site) prepare(db *bbolt.DB, serviceAddr string) (*services, error) {
	state, err := standin.OpenState(db, txnOps, valueKB)
	if err != nil {
		return nil, err
	}
	controllers, err := PrepareControllers(s.controllersDir(), "local", s.Controllers, s.controllerParams(), []string{Zone}, func(int) config.Endpoints {
		return config.Endpoints{Cloud: serviceAddr, State: serviceAddr}
	})
	if err != nil {
		return nil, err
	}
	if err := s.writeSettings(serviceAddr); err != nil {
		return nil, err
	}
	w := &workers{site: s, controllers: controllers, descriptions: "http://" + serviceAddr, running: map[string]*runningWorker{}}
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

// handler serves the state service, the cloud and the task descriptions on one address.
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

// run runs the services, the controllers and the workers that the cloud provisions, until ctx
// ends. It then stops the workers, the controllers and the services, in this order, because each
// depends on the next.
func (s *services) run(ctx context.Context, userListener, serviceListener net.Listener, ready func(url string)) error {
	servicesCtx, stopServices := context.WithCancel(context.WithoutCancel(ctx))
	controllersCtx, stopControllers := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServices()
	defer stopControllers()
	s.loadBalancer.mux.Handle("/descriptions/", s.descriptions)
	group, groupCtx := errgroup.WithContext(ctx)
	Serve(servicesCtx, group, serviceListener, s.handler())
	Serve(servicesCtx, group, userListener, s.loadBalancer.mux)
	group.Go(func() error { s.state.ExpireLeases(servicesCtx); return nil })
	group.Go(func() error { s.loadBalancer.RunProbes(servicesCtx); return nil })
	controllers := s.superviseControllers(controllersCtx)
	group.Go(func() error {
		if s.loadBalancer.AwaitReady(groupCtx) {
			s.site.Log.Info("ready", "users", userListener.Addr().String())
			ready("http://" + userListener.Addr().String())
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

// superviseControllers runs the controllers until ctx ends. The returned group is done when all
// have exited.
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

// Serve serves a listener in goroutines of group until ctx ends. Requests still in progress are
// aborted.
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

// ServeOnLoopback serves on a loopback address, in goroutines of group, until ctx ends. It returns the
// address.
func ServeOnLoopback(ctx context.Context, group *errgroup.Group, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("no free port: %w", err)
	}
	Serve(ctx, group, listener, handler)
	return listener.Addr().String(), nil
}
