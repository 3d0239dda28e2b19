package scale

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/hollow"
	"github.com/wallrack/wallrack/internal/local"
	"github.com/wallrack/wallrack/internal/periodic"
	"github.com/wallrack/wallrack/internal/standin"
)

const (
	minFilledShare        = 0.99 // share of the service tasks that must run before the phases begin
	readyTimeout          = time.Minute
	shutdownTimeout       = time.Minute
	conditionPollInterval = 100 * time.Millisecond // of the conditions that a phase waits for
)

var seconds = config.Seconds

// Run is one run of the site. Do may be called only once.
type Run struct {
	Settings *Settings
	Dir      string          // for settings and logs
	Start    local.StartFunc // runs "wallrack ARGS"
	Log      *slog.Logger
	Progress func(phase string, running, starts int) // called once a second; may be nil

	track          *tracker
	workers        *hollow.Workers
	users          *users
	cloud          *standin.Cloud
	controllers    []*controller
	phases         []*phase // completed phases
	zones          []string
	provisionCount int   // number of requests to the cloud
	writesBefore   int64 // writes to the state service before the current phase
	samples        []Sample
	random         *rand.Rand
}

// controller is a controller with its measurements.
type controller struct {
	local.Controller
	restart     chan struct{}
	counts      standin.RequestCounts
	reportBytes atomic.Int64 // of reports and their responses
	usage       usageTotals
}

// Do executes the run and returns its measurements. After an error it also returns the
// measurements up to that point, or nil if the site could not be prepared. When Do returns, all
// child processes have exited.
func (r *Run) Do(ctx context.Context) (*Result, error) {
	loadBefore := hostLoad()
	ctx, cancel := context.WithTimeout(ctx, r.timeout())
	defer cancel()
	// Controllers and workers use the services until they have exited, so ctx must not stop them.
	servicesCtx, stopServices := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServices()
	r.random = rand.New(rand.NewPCG(1, 1)) // fixed seed: the same workers fail in every run
	r.track = newTracker(r.Settings.Teams, seconds(r.Settings.UrgentWithinS))
	group, groupCtx := errgroup.WithContext(ctx)
	loadBalancer, err := r.prepare(servicesCtx, group)
	if err != nil {
		r.workers.Close()
		return nil, err
	}
	args, err := r.operatorArgs()
	if err != nil {
		r.workers.Close()
		return nil, err
	}
	controllersCtx, stopControllers := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControllers()
	controllers := r.superviseControllers(controllersCtx, args)
	group.Go(func() error {
		defer func() {
			stopControllers()
			controllers.Wait()
			r.workers.Close()
			stopServices()
		}()
		defer r.beginPhase("end", 0)
		return r.runPhases(groupCtx, loadBalancer)
	})
	err = group.Wait()
	return r.result(loadBefore), err
}

// timeout returns the maximum duration of the run.
func (r *Run) timeout() time.Duration {
	s := r.Settings
	cuts := s.RackCutS + s.ZoneCutS + s.RegionCutS + 3*s.SettleS
	return readyTimeout + seconds(s.FillWithinS+s.SteadyS+s.PeakS+s.FailuresS+cuts+s.RestartEveryS*float64(s.Controllers)+s.SettleS*2+s.DrainS) + shutdownTimeout
}

// operatorArgs writes the operator's settings file and returns the arguments that name it.
func (r *Run) operatorArgs() ([]string, error) {
	if r.Settings.Operator == nil {
		return nil, nil
	}
	file := filepath.Join(r.Dir, "operator.sexp")
	if err := os.WriteFile(file, r.Settings.Operator, 0o644); err != nil {
		return nil, fmt.Errorf("--dir: %w", err)
	}
	return []string{"--operator", file}, nil
}

// superviseControllers runs the controllers until ctx ends. The returned group is done when all
// have exited.
func (r *Run) superviseControllers(ctx context.Context, args []string) *sync.WaitGroup {
	var group sync.WaitGroup
	for _, c := range r.controllers {
		group.Go(func() {
			local.Supervise(ctx, r.Log, c.Name, c.restart, func(ctx context.Context) error {
				return r.Start(ctx, c.Name, append([]string{"--config", c.SettingsFile}, args...))
			})
		})
	}
	return &group
}

// runPhases runs all phases in order.
func (r *Run) runPhases(ctx context.Context, loadBalancer *local.LoadBalancer) error {
	s := r.Settings
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if !loadBalancer.AwaitReady(ready) {
		return errors.New("no controller took jobs in time")
	}
	ctx, stop := context.WithCancel(ctx)
	var sampling sync.WaitGroup
	sampling.Go(func() { r.collectSamples(ctx) })
	defer func() {
		stop()
		sampling.Wait()
		r.users.followers.Wait()
	}()
	r.users.submitServices(ctx)
	if err := r.awaitFilled(ctx); err != nil {
		return err
	}
	r.runPhase(ctx, "steady", s.SteadyStarts, seconds(s.SteadyS), nil)
	r.runPhase(ctx, "peak", s.PeakStarts, seconds(s.PeakS), nil)
	if s.PeakS > 0 {
		r.runPhase(ctx, "after the peak", s.SteadyStarts, seconds(s.SettleS), nil)
	}
	r.runPhase(ctx, "failures", s.SteadyStarts, seconds(s.FailuresS), r.injectFailures)
	r.runPartitions(ctx)
	r.runPhase(ctx, "rolling restart", s.SteadyStarts, seconds(s.RestartEveryS*float64(s.Controllers)), r.restartControllers)
	r.drain(ctx)
	return ctx.Err()
}

// awaitFilled waits until a share of at least minFilledShare of the service tasks runs. It fails if
// this takes longer than Settings.FillWithinS.
func (r *Run) awaitFilled(ctx context.Context) error {
	deadline := time.Now().Add(seconds(r.Settings.FillWithinS))
	for {
		running, _ := r.track.taskCounts()
		if float64(running) >= minFilledShare*float64(r.Settings.serviceTasks()) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("fill-within-s: %d of %d tasks run after %v s", running, r.Settings.serviceTasks(), r.Settings.FillWithinS)
		}
		if !periodic.Sleep(ctx, conditionPollInterval) {
			return ctx.Err()
		}
	}
}

// runPhase begins a phase and submits jobs for the given duration. If inject is not nil, runPhase
// runs it in the meantime and waits until it returns.
func (r *Run) runPhase(ctx context.Context, name string, startsPerS float64, duration time.Duration, inject func(context.Context)) {
	if duration <= 0 || ctx.Err() != nil {
		return
	}
	r.beginPhase(name, startsPerS)
	var events sync.WaitGroup
	if inject != nil {
		events.Go(func() { inject(ctx) })
	}
	r.users.submitAtRate(ctx, startsPerS, duration)
	events.Wait()
}

// beginPhase ends the current phase and begins another. requested is the requested rate of task
// starts per second.
func (r *Run) beginPhase(name string, requested float64) {
	ended := r.track.beginPhase(name, requested)
	r.phases = append(r.phases, ended)
	writes := int64(0)
	for _, c := range r.controllers {
		writes += c.counts.Writes.Load()
	}
	ended.writes, r.writesBefore = writes-r.writesBefore, writes
}

// drain waits until all tasks of job arrays are completed, but at most Settings.DrainS. No new jobs
// are submitted.
func (r *Run) drain(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	r.beginPhase("drain", 0)
	deadline := time.Now().Add(seconds(r.Settings.DrainS))
	for time.Now().Before(deadline) && periodic.Sleep(ctx, conditionPollInterval) {
		if _, unfinished := r.track.taskCounts(); unfinished == 0 {
			break
		}
	}
}
