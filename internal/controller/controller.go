// Package controller assembles a controller of the parts in the other packages, joins them
// with those of its peers over the mesh, and runs them.
//
// Each file holds a part with one duty: an adapter by which a part of another package reaches
// the rest of the process or the peers, or a loop that nobody else runs, with its state. The
// parts are made by assemble, whole and in an order in which each finds what it needs; only the
// dispatcher is filled in later, see localDispatcher. The package decides nothing about jobs
// and workers; it holds no setting and reads no file.
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

// bytesPerMB are those of a megabyte as the settings count it.
const bytesPerMB = 1 << 20

const (
	// memoryTargetShare is the part of the memory limit that the runtime aims to stay below;
	// the rest is the program itself and what the runtime does not count.
	memoryTargetShare = 0.7

	// memoryPressureShare is the part of the memory limit from which on no new jobs are taken:
	// the collector has not been able to stay within memoryShare.
	memoryPressureShare = 0.85

	// gcPercent trades memory, of which there is enough below the limit, for
	// processor time, of which there is not.
	gcPercent = 500
)

// Options are a controller's settings.
type Options struct {
	Platform *config.Platform
	Operator *config.Operator
	Rollouts *rollout.Settings  // nil: there are no roll-outs
	Slurm    *slurmapi.Settings // nil: Slurm-style clients and accounting are off
	Version  string             // for the log
	Log      *slog.Logger
}

// Run runs a controller until ctx ends, and then returns nil; else it returns the error of the
// part that failed first, wrapped with what it was doing. It sets limits of the whole process:
// a controller has a share of one core, and of the memory what the settings say.
func Run(ctx context.Context, o Options) error {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(o.Platform.Params.Limits.RAMMB * memoryTargetShare * bytesPerMB))

	group, ctx := errgroup.WithContext(ctx)
	c, err := assemble(ctx, o)
	if err != nil {
		return err
	}
	defer c.mesh.Close()
	c.start(ctx, group)
	o.Log.Info("started", "version", o.Version)
	err = group.Wait()
	c.dispatcher.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
