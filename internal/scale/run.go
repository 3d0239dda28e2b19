package scale

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/local"
	"github.com/wallrack/wallrack/internal/standin"
	"github.com/wallrack/wallrack/internal/wire"
	"github.com/wallrack/wallrack/internal/worker"
)

const (
	machineType   = "hollow"
	fetchGBPerS   = 1.0
	cacheGB       = 100
	hireAtOnce    = 50 // machines in one request to the cloud
	valueKB       = 16
	failedShownIn = 30 * time.Second // a machine that died is listed as running for so long
	filledShare   = 0.99             // of the services, that is enough to go on
	readyWithin   = time.Minute
	endWithin     = time.Minute
)

var seconds = config.Seconds

// Run is a run of the site.
type Run struct {
	Settings *Settings
	Dir      string     // for settings and logs
	Start    local.Part // starts "wallrack ARGS"
	Log      *slog.Logger
	Progress func(phase string, running, starts int) // once a second; may be nil

	track       *tracker
	workers     *workers
	users       *users
	cloud       *standin.Cloud
	controllers []*controller
	phases      []*phase
	zones       []string
	hires       int
	writes      int64 // to the state service up to the last phase's end
	samples     []Sample
	random      *rand.Rand
}

// controller is a controller with what is measured of it.
type controller struct {
	local.Controller
	restart chan struct{}
	counts  standin.Counts
	bytes   atomic.Int64
	usage   usageTotals
}

// Do plays the run and returns what was measured, up to the error if there is one;
// its children have ended then. Without a result nothing was played.
func (r *Run) Do(ctx context.Context) (*Result, error) {
	s := r.Settings
	loadBefore := hostLoad()
	ctx, cancel := context.WithTimeout(ctx, r.longest())
	defer cancel()
	services, stopServices := context.WithCancel(context.Background())
	defer stopServices()
	r.random = rand.New(rand.NewPCG(1, 1)) // the same workers fail in every run
	r.track = newTracker(s.Teams, seconds(s.UrgentWithinS))
	g, gctx := errgroup.WithContext(ctx)
	front, err := r.prepare(services, g)
	if err != nil {
		r.workers.close()
		return nil, err
	}
	var running sync.WaitGroup
	controllersCtx, stopControllers := context.WithCancel(context.Background())
	defer stopControllers()
	args := []string{}
	if s.Operator != nil {
		file := filepath.Join(r.Dir, "operator.sexp")
		if err := os.WriteFile(file, s.Operator, 0o644); err != nil {
			return nil, fmt.Errorf("--dir: %w", err)
		}
		args = append(args, "--operator", file)
	}
	for _, c := range r.controllers {
		running.Add(1)
		go func() {
			defer running.Done()
			local.Keep(controllersCtx, r.Log, c.Name, c.restart, func(ctx context.Context) error {
				return r.Start(ctx, c.Name, append([]string{"--config", c.File}, args...))
			})
		}()
	}
	g.Go(func() error {
		defer func() {
			stopControllers()
			running.Wait()
			r.workers.close()
			stopServices()
		}()
		defer r.next("end", 0)
		return r.play(gctx, front)
	})
	err = g.Wait()
	return r.result(loadBefore), err
}

// longest bounds the run in time.
func (r *Run) longest() time.Duration {
	s := r.Settings
	cuts := s.RackS + s.ZoneS + s.RegionS + 3*s.SettleS
	return readyWithin + seconds(s.FillWithinS+s.SteadyS+s.PeakS+s.FailuresS+cuts+s.RestartEveryS*float64(s.Controllers)+s.SettleS*2+s.DrainS) + endWithin
}

// prepare brings the services up, rents the workers and writes the controllers'
// settings.
func (r *Run) prepare(ctx context.Context, g *errgroup.Group) (*local.Front, error) {
	s := r.Settings
	r.workers = &workers{settings: s, track: r.track, all: map[string]*hollow{}, bytes: map[string]*atomic.Int64{}, log: r.Log}
	state, err := standin.OpenState(nil, s.StateTxns, valueKB)
	if err != nil {
		return nil, err
	}
	for i := range s.Zones {
		r.zones = append(r.zones, fmt.Sprintf("zone-%02d", i))
	}
	r.cloud, err = standin.OpenCloud(nil, []wire.MachineType{{Name: machineType, CPUs: s.WorkerCPUs, MemoryGB: s.WorkerMemoryGB, CacheGB: cacheGB,
		FetchGBPerS: fetchGBPerS, Price: 1, SpotPrice: 1, BootS: s.BootS, Zones: r.zones}}, s.Workers, r.workers)
	if err != nil {
		return nil, err
	}
	r.cloud.PerZone = s.Workers / s.Zones
	serve := func(h http.Handler) (string, error) {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
		g.Go(func() error {
			if err := srv.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
		g.Go(func() error { <-ctx.Done(); return srv.Close() })
		return lis.Addr().String(), nil
	}
	cloudAddr, err := serve(standin.Metered(r.cloud.Handler(), seconds(s.CloudLatencyMs/1000), standin.NewBudget(s.CloudRPS, 1), &standin.Counts{}))
	if err != nil {
		return nil, err
	}
	g.Go(func() error { state.ExpireLeases(ctx); return nil })
	budget, stateHandler := standin.NewBudget(s.StateRPS, s.StateWriteRPS), state.Handler()
	stateAddrs := make([]string, s.Controllers)
	for i := range stateAddrs {
		c := &controller{restart: make(chan struct{})}
		r.controllers = append(r.controllers, c)
		if stateAddrs[i], err = serve(standin.Metered(stateHandler, seconds(s.StateLatencyMs/1000), budget, &c.counts)); err != nil {
			return nil, err
		}
	}
	params := config.Params{Zones: r.zones, Workers: config.Workers{ReportS: s.ReportS, LeaseS: s.LeaseS, CancelS: s.CancelS},
		State: config.State{RPS: s.StateRPS, WriteRPS: s.StateWriteRPS, ValueKB: valueKB, TxnOps: s.StateTxns},
		Cloud: config.Cloud{RPS: s.CloudRPS, ListLagS: s.CloudLagS}, Limits: config.Limits{CPU: s.ControllerCPU, RAMMB: s.ControllerMB, Sockets: s.ControllerSockets}}
	for _, t := range s.Teams {
		params.Teams = append(params.Teams, config.Team{Name: t.Name, CPUs: t.Guarantee, CPUsMax: t.Limit})
	}
	files, err := local.Controllers(filepath.Join(r.Dir, "controllers"), "scale", s.Controllers, params, r.zones, func(i int) config.Endpoints {
		return config.Endpoints{Cloud: cloudAddr, State: stateAddrs[i]}
	})
	if err != nil {
		return nil, err
	}
	for i, c := range r.controllers {
		c.Controller = files[i]
		r.workers.bytes[c.Users] = &c.bytes
		r.workers.controllers = append(r.workers.controllers, worker.Controller{Name: c.Name, Addr: c.Users})
	}
	front := local.NewFront(files, r.Dir)
	addr, err := serve(front)
	if err != nil {
		return nil, err
	}
	g.Go(func() error { front.Watch(ctx); return nil })
	r.users = &users{settings: s, track: r.track, client: client.New("http://" + addr)}
	if n := r.hire(); n != s.Workers {
		return nil, fmt.Errorf("%d workers of %d were rented", n, s.Workers)
	}
	return front, nil
}

// hire rents workers until the site has its size: those of an earlier day, and in the
// place of those that are gone. It returns how many came.
func (r *Run) hire() int {
	total := 0
	for _, z := range r.zones {
		for {
			r.hires++
			names, err := r.cloud.Provision(&wire.HireRequest{Name: fmt.Sprintf("scale-run-%d", r.hires), Type: machineType, Zone: z, Number: hireAtOnce})
			total += len(names)
			if err != nil { // the zone is full
				break
			}
		}
	}
	return total
}

// play goes through the phases.
func (r *Run) play(ctx context.Context, front *local.Front) error {
	s := r.Settings
	ready, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	if !front.Await(ready) {
		return errors.New("no controller took jobs in time")
	}
	ctx, stop := context.WithCancel(ctx)
	var sampling sync.WaitGroup
	sampling.Add(1)
	go func() { defer sampling.Done(); r.sample(ctx) }()
	defer func() {
		stop()
		sampling.Wait()
		r.users.sent.Wait()
	}()
	r.users.fill(ctx)
	if err := r.filled(ctx); err != nil {
		return err
	}
	r.phase(ctx, "steady", s.SteadyStarts, seconds(s.SteadyS), nil)
	r.phase(ctx, "peak", s.PeakStarts, seconds(s.PeakS), nil)
	if s.PeakS > 0 {
		r.phase(ctx, "after the peak", s.SteadyStarts, seconds(s.SettleS), nil)
	}
	r.phase(ctx, "failures", s.SteadyStarts, seconds(s.FailuresS), r.failures)
	for _, c := range []struct {
		name  string
		s     float64
		zones []string
		most  int
	}{
		{"rack cut", s.RackS, r.zones[:1], s.RackWorkers},
		{"zone cut", s.ZoneS, r.zones[:1], s.Workers},
		{"region cut", s.RegionS, r.zones[s.Zones-s.Zones/s.Regions:], s.Workers},
	} {
		if c.s == 0 {
			continue
		}
		names := r.someWorkers(c.zones, c.most)
		r.phase(ctx, c.name, s.SteadyStarts, seconds(c.s), func(context.Context) {
			r.track.lose(c.name, names)
			r.workers.cut(names, true)
		})
		r.workers.cut(names, false)
		r.track.found(names)
		r.hire()
		r.phase(ctx, "after the "+c.name, s.SteadyStarts, seconds(s.SettleS), nil)
	}
	r.phase(ctx, "rolling restart", s.SteadyStarts, seconds(s.RestartEveryS*float64(s.Controllers)), r.restarts)
	r.drain(ctx)
	return ctx.Err()
}

// filled waits until what runs all the time runs.
func (r *Run) filled(ctx context.Context) error {
	end := time.Now().Add(seconds(r.Settings.FillWithinS))
	for {
		on, _ := r.track.running()
		if float64(on) >= filledShare*float64(r.Settings.services()) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("fill-within-s: %d of %d tasks run after %v s", on, r.Settings.services(), r.Settings.FillWithinS)
		}
		if !wait(ctx, 100*time.Millisecond) {
			return ctx.Err()
		}
	}
}

// phase plays a load for so long, with something that happens meanwhile.
func (r *Run) phase(ctx context.Context, name string, starts float64, length time.Duration, meanwhile func(context.Context)) {
	if length <= 0 || ctx.Err() != nil {
		return
	}
	r.next(name, starts)
	var events sync.WaitGroup
	if meanwhile != nil {
		events.Add(1)
		go func() { defer events.Done(); meanwhile(ctx) }()
	}
	r.users.load(ctx, starts, length)
	events.Wait()
}

// next begins a phase, with so many starts a second asked for.
func (r *Run) next(name string, asked float64) {
	ended := r.track.next(name, asked)
	r.phases = append(r.phases, ended)
	writes := int64(0)
	for _, c := range r.controllers {
		writes += c.counts.Writes.Load()
	}
	ended.writes, r.writes = writes-r.writes, writes
}

// drain waits, without new jobs, until all tasks of arrays are completed.
func (r *Run) drain(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	r.next("drain", 0)
	end := time.Now().Add(seconds(r.Settings.DrainS))
	for time.Now().Before(end) && wait(ctx, 100*time.Millisecond) {
		if _, unfinished := r.track.running(); unfinished == 0 {
			break
		}
	}
}

// someWorkers picks the oldest workers of zones.
func (r *Run) someWorkers(zones []string, most int) map[string]bool {
	all := r.workers.pick(func(h *hollow) bool { return slices.Contains(zones, h.zone) })
	names := slices.Sorted(maps.Keys(all))
	for _, n := range names[min(most, len(names)):] {
		delete(all, n)
	}
	return all
}

// failures plays an ordinary day's at its pace: some machines die, and are listed as
// running for a while; others are restarted or replaced, which the cloud shows, and
// come back as new ones.
func (r *Run) failures(ctx context.Context) {
	s := r.Settings
	perS := (s.FailADay + s.RestartADay) * s.Pace / (24 * 3600)
	if perS <= 0 {
		return
	}
	began := time.Now()
	for n := 1; ; n++ {
		at := began.Add(seconds(float64(n) / perS))
		if at.Sub(began) >= seconds(s.FailuresS) || !wait(ctx, time.Until(at)) {
			return
		}
		name := r.anyWorker()
		died := r.random.Float64() < s.FailADay/(s.FailADay+s.RestartADay)
		event := "machine restarted or replaced"
		if died {
			event = "machine died"
		}
		r.track.lose(event, map[string]bool{name: true})
		r.workers.End(name)
		if died {
			time.AfterFunc(failedShownIn, func() { r.cloud.Failed(name) })
		} else {
			r.cloud.Failed(name)
			r.hire()
		}
	}
}

func (r *Run) anyWorker() string {
	names := slices.Sorted(maps.Keys(r.someWorkers(r.zones, r.Settings.Workers)))
	if len(names) == 0 {
		return ""
	}
	return names[r.random.IntN(len(names))]
}

// restarts restarts each controller in turn.
func (r *Run) restarts(ctx context.Context) {
	for _, c := range r.controllers {
		select {
		case c.restart <- struct{}{}:
		case <-ctx.Done():
			return
		}
		if !wait(ctx, seconds(r.Settings.RestartEveryS)) {
			return
		}
	}
}
