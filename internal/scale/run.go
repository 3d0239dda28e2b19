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
	filledShare  = 0.99 // of the services, that is enough to go on
	readyTimeout = time.Minute
	endTimeout   = time.Minute
	pollInterval = 100 * time.Millisecond // of what a phase waits for
)

var seconds = config.Seconds

// Run is a run of the site. Do may be called once.
type Run struct {
	Settings *Settings
	Dir      string          // for settings and logs
	Start    local.StartPart // starts "wallrack ARGS"
	Log      *slog.Logger
	Progress func(phase string, running, starts int) // once a second; may be nil

	track       *tracker
	workers     *workers
	users       *users
	cloud       *standin.Cloud
	controllers []*controller
	phases      []*phase // that have ended
	zones       []string
	provisions  int   // requests to the cloud
	writes      int64 // to the state service up to the last phase's end
	samples     []Sample
	random      *rand.Rand
}

// controller is a controller with what is measured of it.
type controller struct {
	local.Controller
	restart chan struct{}
	counts  standin.Counts
	bytes   atomic.Int64 // of reports and their responses
	usage   usageTotals
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
	controllers := r.keepControllers(controllersCtx, args)
	group.Go(func() error {
		defer func() {
			stopControllers()
			controllers.Wait()
			r.workers.close()
			stopServices()
		}()
		defer r.next("end", 0)
		return r.play(groupCtx, front)
	})
	err = group.Wait()
	return r.result(loadBefore), err
}

// timeout bounds the run in time.
func (r *Run) timeout() time.Duration {
	s := r.Settings
	cuts := s.RackS + s.ZoneS + s.RegionS + 3*s.SettleS
	return readyTimeout + seconds(s.FillWithinS+s.SteadyS+s.PeakS+s.FailuresS+cuts+s.RestartEveryS*float64(s.Controllers)+s.SettleS*2+s.DrainS) + endTimeout
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

// keepControllers runs the controllers until ctx ends; the group is done when they have
// ended.
func (r *Run) keepControllers(ctx context.Context, args []string) *sync.WaitGroup {
	var group sync.WaitGroup
	for _, c := range r.controllers {
		group.Go(func() {
			local.Keep(ctx, r.Log, c.Name, c.restart, func(ctx context.Context) error {
				return r.Start(ctx, c.Name, append([]string{"--config", c.File}, args...))
			})
		})
	}
	return &group
}

// play goes through the phases.
func (r *Run) play(ctx context.Context, front *local.Front) error {
	s := r.Settings
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if !front.Await(ready) {
		return errors.New("no controller took jobs in time")
	}
	ctx, stop := context.WithCancel(ctx)
	var sampling sync.WaitGroup
	sampling.Go(func() { r.sample(ctx) })
	defer func() {
		stop()
		sampling.Wait()
		r.users.sent.Wait()
	}()
	r.users.fill(ctx)
	if err := r.awaitFilled(ctx); err != nil {
		return err
	}
	r.phase(ctx, "steady", s.SteadyStarts, seconds(s.SteadyS), nil)
	r.phase(ctx, "peak", s.PeakStarts, seconds(s.PeakS), nil)
	if s.PeakS > 0 {
		r.phase(ctx, "after the peak", s.SteadyStarts, seconds(s.SettleS), nil)
	}
	r.phase(ctx, "failures", s.SteadyStarts, seconds(s.FailuresS), r.failures)
	r.cuts(ctx)
	r.phase(ctx, "rolling restart", s.SteadyStarts, seconds(s.RestartEveryS*float64(s.Controllers)), r.restarts)
	r.drain(ctx)
	return ctx.Err()
}

// awaitFilled waits until the services run, but for a small share.
func (r *Run) awaitFilled(ctx context.Context) error {
	deadline := time.Now().Add(seconds(r.Settings.FillWithinS))
	for {
		running, _ := r.track.running()
		if float64(running) >= filledShare*float64(r.Settings.services()) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("fill-within-s: %d of %d tasks run after %v s", running, r.Settings.services(), r.Settings.FillWithinS)
		}
		if !wait(ctx, pollInterval) {
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
		events.Go(func() { meanwhile(ctx) })
	}
	r.users.load(ctx, starts, length)
	events.Wait()
}

// next begins a phase, with so many starts a second requested.
func (r *Run) next(name string, requested float64) {
	ended := r.track.next(name, requested)
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
	deadline := time.Now().Add(seconds(r.Settings.DrainS))
	for time.Now().Before(deadline) && wait(ctx, pollInterval) {
		if _, unfinished := r.track.running(); unfinished == 0 {
			break
		}
	}
}
