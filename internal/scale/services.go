package scale

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/hollow"
	"github.com/wallrack/wallrack/internal/local"
	"github.com/wallrack/wallrack/internal/standin"
	"github.com/wallrack/wallrack/internal/wire"
	"github.com/wallrack/wallrack/internal/worker"
)

const (
	machineType  = "hollow"
	fetchGBPerS  = 1.0
	cacheGB      = 100
	maxProvision = 50 // machines per request to the cloud
	valueKB      = 16
)

// prepare starts the services, which run until ctx ends, provisions the workers and writes the
// controllers' settings. It sets r.workers even if it fails.
func (r *Run) prepare(ctx context.Context, group *errgroup.Group) (*local.LoadBalancer, error) {
	s := r.Settings
	reportBytes := map[string]*atomic.Int64{} // of reports and their responses, by controller address
	r.workers = hollow.New(hollow.Options{
		ReportInterval: seconds(s.ReportS), Lease: seconds(s.LeaseS), FetchTime: seconds(s.FetchS), Tasks: r.track, Log: r.Log,
		WrapTransport: func(base *http.Transport) http.RoundTripper { return &countingTransport{base, reportBytes} },
	})
	state, err := standin.OpenState(nil, s.StateTxnOps, valueKB)
	if err != nil {
		return nil, err
	}
	if err := r.openCloud(); err != nil {
		return nil, err
	}
	cloud := standin.Metered(r.cloud.Handler(), seconds(s.CloudLatencyMs/1000), standin.NewRateLimits(s.CloudRPS, 1), &standin.RequestCounts{})
	cloudAddr, err := local.ServeOnLoopback(ctx, group, cloud)
	if err != nil {
		return nil, err
	}
	group.Go(func() error { state.ExpireLeases(ctx); return nil })
	stateAddrs, err := r.serveState(ctx, group, state)
	if err != nil {
		return nil, err
	}
	files, err := local.PrepareControllers(filepath.Join(r.Dir, "controllers"), "scale", s.Controllers, r.controllerParams(), r.zones, func(i int) config.Endpoints {
		return config.Endpoints{Cloud: cloudAddr, State: stateAddrs[i]}
	})
	if err != nil {
		return nil, err
	}
	var controllers []worker.Controller
	for i, c := range r.controllers {
		c.Controller = files[i]
		reportBytes[c.Addr] = &c.reportBytes
		controllers = append(controllers, worker.Controller{Name: c.Name, Addr: c.Addr})
	}
	r.workers.SetControllers(controllers)
	loadBalancer := local.NewLoadBalancer(files, r.Dir)
	addr, err := local.ServeOnLoopback(ctx, group, loadBalancer)
	if err != nil {
		return nil, err
	}
	group.Go(func() error { loadBalancer.RunProbes(ctx); return nil })
	r.users = &users{settings: s, track: r.track, client: client.New("http://" + addr)}
	if n := r.provisionWorkers(); n != s.Workers {
		return nil, fmt.Errorf("%d workers of %d were rented", n, s.Workers)
	}
	return loadBalancer, nil
}

// openCloud chooses the names of the zones, and opens a cloud with an equal share of the workers
// in each zone.
func (r *Run) openCloud() (err error) {
	s := r.Settings
	for i := range s.Zones {
		r.zones = append(r.zones, fmt.Sprintf("zone-%02d", i))
	}
	types := []wire.MachineType{{
		Name: machineType, CPUs: s.WorkerCPUs, MemoryGB: s.WorkerMemoryGB, CacheGB: cacheGB,
		FetchGBPerS: fetchGBPerS, Price: 1, SpotPrice: 1, BootS: s.BootS, Zones: r.zones,
	}}
	if r.cloud, err = standin.OpenCloud(nil, types, s.Workers, r.workers); err != nil {
		return err
	}
	r.cloud.MaxPerZone = s.Workers / s.Zones
	return nil
}

// serveState serves the state service on a separate address for each controller, so that the
// requests of each controller are counted separately. The controllers share the rate limits.
func (r *Run) serveState(ctx context.Context, group *errgroup.Group, state *standin.State) ([]string, error) {
	s := r.Settings
	limits, handler := standin.NewRateLimits(s.StateRPS, s.StateWriteRPS), state.Handler()
	addrs := make([]string, s.Controllers)
	for i := range addrs {
		c := &controller{restart: make(chan struct{})}
		r.controllers = append(r.controllers, c)
		addr, err := local.ServeOnLoopback(ctx, group, standin.Metered(handler, seconds(s.StateLatencyMs/1000), limits, &c.counts))
		if err != nil {
			return nil, err
		}
		addrs[i] = addr
	}
	return addrs, nil
}

// controllerParams returns the controllers' parameters.
func (r *Run) controllerParams() config.Params {
	s := r.Settings
	params := config.Params{
		Zones: r.zones, Workers: config.Workers{ReportS: s.ReportS, LeaseS: s.LeaseS, CancelS: s.CancelS},
		State:  config.State{RPS: s.StateRPS, WriteRPS: s.StateWriteRPS, ValueKB: valueKB, TxnOps: s.StateTxnOps},
		Cloud:  config.Cloud{RPS: s.CloudRPS, ListLagS: s.CloudLagS},
		Limits: config.Limits{CPU: s.ControllerCPU, RAMMB: s.ControllerMB, Sockets: s.ControllerSockets},
	}
	for _, team := range s.Teams {
		params.Teams = append(params.Teams, config.Team{Name: team.Name, CPUs: team.Guarantee, CPUsMax: team.Limit})
	}
	return params
}

// provisionWorkers provisions workers until every zone is full, and returns the number of new
// workers. It is called at the start of the run and to replace workers that were deleted or
// have failed.
func (r *Run) provisionWorkers() int {
	total := 0
	for _, zone := range r.zones {
		for {
			r.provisionCount++
			names, err := r.cloud.Provision(&wire.ProvisionRequest{Name: fmt.Sprintf("scale-run-%d", r.provisionCount), Type: machineType, Zone: zone, Number: maxProvision})
			total += len(names)
			if err != nil { // the zone is full
				break
			}
		}
	}
	return total
}
