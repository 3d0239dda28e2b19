package soak

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/goccy/go-json"
	"github.com/pelletier/go-toml/v2"
	"golang.org/x/sync/errgroup"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/hollow"
	"github.com/wallrack/wallrack/internal/local"
	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/standin"
	"github.com/wallrack/wallrack/internal/wire"
	"github.com/wallrack/wallrack/internal/worker"
)

// The settings of the site. Times are shorter than in production, so that a run takes a minute.
const (
	reportInterval = 500 * time.Millisecond
	workerLease    = 6 * time.Second
	cancelLimit    = 16 * time.Second
	workerCPUs     = 4
	machineType    = "soak"
	stateRPS       = 80 // of the smallest site with five controllers
	stateWriteRPS  = 100
	stateTxnOps    = 48
	stateValueKB   = 16
	cloudRPS       = 10
	socketLimit    = 150 // of a controller: two of three can't hold the connections of manyWorkers
	memoryLimitMB  = 300 // of a controller
)

var zones = []string{"a", "b"}

// site is a site with its controllers, their services and workers. All links pass through proxies.
type site struct {
	state       *standin.State
	stateRoutes http.Handler
	gates       []*gate // by controller
	late        *lateReports
	repeater    *repeater    // nil: no call is repeated
	relays      []*peerRelay // by controller; none without a repeater
	workers     *hollow.Workers
	processes   []*process         // by controller
	names       []string           // of the controllers
	links       map[Link][]proxies // by controller
	userAddrs   []string           // of the controllers
	balancer    *loadBalancer      // nil: there is none
}

// proxies are the proxies of one link of a controller.
type proxies []*proxy

// disturb begins a disturbance of all of them and returns the function that ends it.
func (p proxies) disturb(mode linkMode, delay time.Duration) (end func()) {
	ends := make([]func(), len(p))
	for i, proxy := range p {
		ends[i] = proxy.disturb(mode, delay)
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// newSite starts the services, which run until ctx ends, and prepares the controllers, which it does not
// start. dir is for their settings and logs.
func newSite(ctx context.Context, group *errgroup.Group, schedule *Schedule, exe, dir string, tasks *tasks) (*site, error) {
	s := &site{late: &lateReports{}, links: map[Link][]proxies{}}
	workerOptions := hollow.Options{
		ReportInterval: reportInterval, Lease: workerLease, Tasks: tasks, Log: slog.New(slog.DiscardHandler), WrapTransport: s.late.wrap,
	}
	if schedule.Repeats.enabled() {
		s.repeater = newRepeater()
		workerOptions.SessionDir, workerOptions.WrapHandler = filepath.Join(dir, "workers"), s.repeater.wrapHandler
		workerOptions.WrapTransport = func(base *http.Transport) http.RoundTripper { return s.repeater.wrapTransport(s.late.wrap(base)) }
	}
	s.workers = hollow.New(workerOptions)
	state, err := standin.OpenState(nil, stateTxnOps, stateValueKB)
	if err != nil {
		return nil, err
	}
	s.state, s.stateRoutes = state, state.Handler()
	group.Go(func() error { state.ExpireLeases(ctx); return nil })
	if err := s.recordEnded(endedJobIDs(schedule.EndedJobs)); err != nil {
		return nil, err
	}
	cloudAddr, err := s.serveCloud(ctx, group, schedule.Workers, tasks)
	if err != nil {
		return nil, err
	}
	if err := s.prepareControllers(ctx, group, schedule, cloudAddr, exe, dir); err != nil {
		s.close()
		return nil, err
	}
	if schedule.LoadBalancer {
		if s.balancer, err = newLoadBalancer(ctx, s.userAddrs); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

// balancerAddr returns the address of the load balancer, or "" if there is none.
func (s *site) balancerAddr() string {
	if s.balancer == nil {
		return ""
	}
	return s.balancer.addr()
}

func (s *site) serveCloud(ctx context.Context, group *errgroup.Group, machines int, tasks *tasks) (string, error) {
	types := []wire.MachineType{{
		Name: machineType, CPUs: workerCPUs, MemoryGB: 4 * workerCPUs, CacheGB: 100, FetchGBPerS: 100, Price: 1, SpotPrice: 1, BootS: 0.5, Zones: zones,
	}}
	cloud, err := standin.OpenCloud(nil, types, machines, &zoneRecorder{s.workers, tasks})
	if err != nil {
		return "", err
	}
	return local.ServeOnLoopback(ctx, group, standin.Metered(cloud.Handler(), 0, standin.NewRateLimits(cloudRPS, 1), &standin.RequestCounts{}))
}

// zoneRecorder records the zones of the workers that it launches.
type zoneRecorder struct {
	*hollow.Workers
	tasks *tasks
}

// Launch implements standin.Launcher.
func (z *zoneRecorder) Launch(m wire.ListedMachine, t wire.MachineType) (string, error) {
	z.tasks.setZone(m.Name, m.Zone)
	return z.Workers.Launch(m, t)
}

// prepareControllers writes the settings of the controllers, and puts proxies on their links.
func (s *site) prepareControllers(ctx context.Context, group *errgroup.Group, schedule *Schedule, cloudAddr, exe, dir string) error {
	addrs, err := local.FreeAddrs(2 * schedule.Controllers)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("--dir: %w", err)
	}
	limits := standin.NewRateLimits(stateRPS, stateWriteRPS)
	var reportTo []worker.Controller
	for i := range schedule.Controllers {
		name := fmt.Sprintf("soak-%d", i)
		s.names = append(s.names, name)
		gate := newGate(standin.Metered(s.stateRoutes, 0, limits, &standin.RequestCounts{}))
		s.gates = append(s.gates, gate)
		stateAddr, err := local.ServeOnLoopback(ctx, group, gate)
		if err != nil {
			return err
		}
		if s.repeater != nil {
			gate.repeatRequests(s.repeater)
		}
		for link, target := range map[Link]string{UserLink: addrs[2*i], WorkerLink: addrs[2*i], StateLink: stateAddr} {
			proxy, err := newProxy(target)
			if err != nil {
				return err
			}
			s.links[link] = append(s.links[link], proxies{proxy})
		}
		s.userAddrs = append(s.userAddrs, s.links[UserLink][i][0].addr())
		reportTo = append(reportTo, worker.Controller{Name: name, Addr: s.links[WorkerLink][i][0].addr()})
	}
	s.late.controllers = reportTo
	s.workers.SetControllers(reportTo)
	return s.writeSettings(addrs, cloudAddr, exe, dir)
}

// writeSettings writes the settings file of each controller. addrs are their addresses for clients and
// peers, alternately.
func (s *site) writeSettings(addrs []string, cloudAddr, exe, dir string) error {
	peerAddrs, err := s.peerAddrs(addrs)
	if err != nil {
		return err
	}
	s.links[PeerLink] = make([]proxies, len(s.names))
	for i, name := range s.names {
		platform := config.Platform{
			Node: name, Zone: zones[i%len(zones)], Listen: addrs[2*i], Mesh: addrs[2*i+1], Params: siteParams(),
			Endpoints: config.Endpoints{Cloud: cloudAddr, State: s.links[StateLink][i][0].addr()},
		}
		for k, peer := range s.names {
			if k == i {
				continue
			}
			proxy, err := newProxy(peerAddrs[k])
			if err != nil {
				return err
			}
			s.links[PeerLink][i] = append(s.links[PeerLink][i], proxy)
			s.links[PeerLink][k] = append(s.links[PeerLink][k], proxy)
			platform.Peers = append(platform.Peers, config.Peer{Node: peer, Zone: zones[k%len(zones)], Addr: proxy.addr()})
		}
		data, err := toml.Marshal(platform)
		if err != nil {
			return fmt.Errorf("settings: %w", err)
		}
		file := filepath.Join(dir, name+".toml")
		if err := os.WriteFile(file, data, 0o644); err != nil {
			return fmt.Errorf("settings: %w", err)
		}
		s.processes = append(s.processes, &process{exe: exe, args: []string{"--config", file}, logFile: filepath.Join(dir, name+".log")})
	}
	return nil
}

// peerAddrs returns the addresses at which calls of peers reach the controllers, given the controllers'
// addresses for clients and peers, alternately: those of relays if calls are repeated.
func (s *site) peerAddrs(addrs []string) ([]string, error) {
	peerAddrs := make([]string, len(s.names))
	for i := range s.names {
		peerAddrs[i] = addrs[2*i+1]
		if s.repeater == nil {
			continue
		}
		relay, err := newPeerRelay(peerAddrs[i], s.repeater)
		if err != nil {
			return nil, err
		}
		s.relays = append(s.relays, relay)
		peerAddrs[i] = relay.addr
	}
	return peerAddrs, nil
}

func siteParams() config.Params {
	params := config.Params{
		Zones:   zones,
		Workers: config.Workers{ReportS: reportInterval.Seconds(), LeaseS: workerLease.Seconds(), CancelS: cancelLimit.Seconds()},
		State:   config.State{RPS: stateRPS, WriteRPS: stateWriteRPS, ValueKB: stateValueKB, TxnOps: stateTxnOps},
		Cloud:   config.Cloud{RPS: cloudRPS, ListLagS: 0.5},
		Limits:  config.Limits{CPU: 1, RAMMB: memoryLimitMB, Sockets: socketLimit},
	}
	for name, limit := range teams {
		params.Teams = append(params.Teams, config.Team{Name: name, CPUs: limit / 2, CPUsMax: limit})
	}
	return params
}

// leader returns the index of the controller that leads the first shard by the state service, or 0 if
// none does.
func (s *site) leader() int {
	answer := httptest.NewRecorder()
	s.stateRoutes.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/store/"+new(membership.Member).ShardKey(0), nil))
	var item wire.Item
	var record struct {
		Node string `json:"node"`
	}
	if json.Unmarshal(answer.Body.Bytes(), &item) != nil || json.Unmarshal(item.Value, &record) != nil {
		return 0
	}
	for i, name := range s.names {
		if name == record.Node {
			return i
		}
	}
	return 0
}

// close ends the processes, then the workers and proxies. All may have been closed before.
func (s *site) close() {
	var closing sync.WaitGroup
	for _, process := range s.processes {
		closing.Go(process.kill)
	}
	closing.Wait()
	if s.balancer != nil {
		s.balancer.close()
	}
	s.repeater.close()
	s.workers.Close()
	s.late.close()
	for _, byController := range s.links {
		for _, link := range byController {
			for _, proxy := range link {
				closing.Go(proxy.close)
			}
		}
	}
	closing.Wait()
	for _, relay := range s.relays {
		relay.close()
	}
	for _, gate := range s.gates {
		gate.close()
	}
}
