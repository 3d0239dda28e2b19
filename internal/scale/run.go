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
	"github.com/wallrack/wallrack/internal/local"
	"github.com/wallrack/wallrack/internal/standin"
)

const (
	minFilledShare        = 0.99 // of the services, that is enough to go on
	readyTimeout          = time.Minute
	shutdownTimeout       = time.Minute
	conditionPollInterval = 100 * time.Millisecond // of what a phase waits for
)

var seconds = config.Seconds

// Run is a run of the site. Do may be called once.
type Run struct {
	Settings *Settings
	Dir      string          // for settings and logs
	Start    local.StartFunc // starts "wallrack ARGS"
	Log      *slog.Logger
	Progress func(phase string, running, starts int) // once a second; may be nil

	track          *tracker
	workers        *workers
	users          *users
	cloud          *standin.Cloud
	controllers    []*controller
	phases         []*phase // that have ended
	zones          []string
	provisionCount int   // requests to the cloud
	writesBefore   int64 // to the state service up to the last phase's end
	samples        []Sample
	random         *rand.Rand
}

// controller is a controller with what is measured of it.
type controller struct {
	local.Controller
	restart     chan struct{}
	counts      standin.RequestCounts
	reportBytes atomic.Int64 // of reports and their responses
	usage       usageTotals
}

// Do plays the run and returns what was measured, up to the error if there is one;
// its children have ended then. Without a result nothing was played.
func (r *Run) Do(ctx context.Context) (*Result, error) {
	loadBefore := hostLoad()
	ctx, cancel := context.WithTimeout(ctx, r.timeout())
	defer cancel()
	// What the run needs ends after it, not with ctx.
	servicesCtx, stopServices := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServices()
	r.random = rand.New(rand.NewPCG(1, 1)) // the same workers fail in every run
	r.track = newTracker(r.Settings.Teams, seconds(r.Settings.UrgentWithinS))
	group, groupCtx := errgroup.WithContext(ctx)
	front, err := r.prepare(servicesCtx, group)
	if err != nil {
		r.workers.close()
		return nil, err
	}
	args, err := r.operatorArgs()
	if err != nil {
		r.workers.close()
		return nil, err
	}
	controllersCtx, stopControllers := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControllers()
	controllers := r.superviseControllers(controllersCtx, args)
	group.Go(func() error {
		defer func() {
			stopControllers()
			controllers.Wait()
			r.workers.close()
			stopServices()
		}()
		defer r.beginPhase("end", 0)
		return r.runPhases(groupCtx, front)
	})
	err = group.Wait()
	return r.result(loadBefore), err
}

// timeout bounds the run in time.
func (r *Run) timeout() time.Duration {
	s := r.Settings
	cuts := s.RackCutS + s.ZoneCutS + s.RegionCutS + 3*s.SettleS
	return readyTimeout + seconds(s.FillWithinS+s.SteadyS+s.PeakS+s.FailuresS+cuts+s.RestartEveryS*float64(s.Controllers)+s.SettleS*2+s.DrainS) + shutdownTimeout
}

// operatorArgs writes the operator's settings and returns the arguments that name them.
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

// superviseControllers runs the controllers until ctx ends; the group is done when they have
// ended.
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

// runPhases goes through the phases.
func (r *Run) runPhases(ctx context.Context, front *local.LoadBalancer) error {
	s := r.Settings
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if !front.AwaitReady(ready) {
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

// awaitFilled waits until the services run, but for a small share.
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
		if !sleep(ctx, conditionPollInterval) {
			return ctx.Err()
		}
	}
}

// runPhase plays a load for so long, with something that happens meanwhile.
func (r *Run) runPhase(ctx context.Context, name string, starts float64, length time.Duration, meanwhile func(context.Context)) {
	if length <= 0 || ctx.Err() != nil {
		return
	}
	r.beginPhase(name, starts)
	var events sync.WaitGroup
	if meanwhile != nil {
		events.Go(func() { meanwhile(ctx) })
	}
	r.users.submitAtRate(ctx, starts, length)
	events.Wait()
}

// beginPhase begins a phase, with so many starts a second requested.
func (r *Run) beginPhase(name string, requested float64) {
	ended := r.track.beginPhase(name, requested)
	r.phases = append(r.phases, ended)
	writes := int64(0)
	for _, c := range r.controllers {
		writes += c.counts.Writes.Load()
	}
	ended.writes, r.writesBefore = writes-r.writesBefore, writes
}

// drain waits, without new jobs, until all tasks of arrays are completed.
func (r *Run) drain(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	r.beginPhase("drain", 0)
	deadline := time.Now().Add(seconds(r.Settings.DrainS))
	for time.Now().Before(deadline) && sleep(ctx, conditionPollInterval) {
		if _, unfinished := r.track.taskCounts(); unfinished == 0 {
			break
		}
	}
}
