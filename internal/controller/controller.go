// Package controller assembles a controller from the components in the other packages, connects
// it to its peers over the mesh, and runs it.
//
// Each file holds one component: an adapter that connects a component of another package to the
// rest of the process or to the peers, or a loop that belongs to no other package, with its
// state. assemble creates the components in the order of their dependencies; only the dispatcher
// is set later, see localDispatcher. The package makes no decisions about jobs and workers,
// defines no settings and reads no files.
package controller

import (
	"context"
	"errors"
	"log/slog"
	"runtime"
	"runtime/debug"

	"golang.org/x/sync/errgroup"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/rollout"
	"github.com/wallrack/wallrack/internal/slurmapi"
)

// bytesPerMB is the size of a megabyte in the settings.
const bytesPerMB = 1 << 20

const (
	// memoryPressureShare is the part of the memory limit above which no new jobs are accepted:
	// the garbage collector has then failed to stay below its target.
	memoryPressureShare = 0.85

	// gcPercent saves processor time, which is scarce, at the cost of memory, of which there is
	// enough below the limit.
	gcPercent = 500
)

// Options are a controller's settings.
type Options struct {
	Platform *config.Platform
	Operator *config.Operator
	Rollouts *rollout.Settings  // nil if roll-outs are off
	Slurm    *slurmapi.Settings // nil if Slurm-style clients and accounting are off
	Version  string             // for the log
	Log      *slog.Logger
}

// Run runs a controller until ctx ends, and then returns nil; otherwise it returns the wrapped
// error of the component that failed first. It limits the Go runtime of the whole process to
// one processor and to memoryTargetShare of the memory limit in the settings.
func Run(ctx context.Context, o Options) error {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	target := memoryTarget{limitBytes: o.Platform.Params.Limits.RAMMB * bytesPerMB, share: memoryTargetShare}
	target.set()

	group, ctx := errgroup.WithContext(ctx)
	c, err := assemble(ctx, o)
	if err != nil {
		return err
	}
	defer c.mesh.Close()
	c.start(ctx, group)
	group.Go(func() error { return target.run(ctx) })
	o.Log.Info("started", "version", o.Version)
	err = group.Wait()
	c.dispatcher.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
