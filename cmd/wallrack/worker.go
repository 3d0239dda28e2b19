package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/worker"
)

// workerSettings are a worker's flags.
type workerSettings struct {
	id              worker.Identity
	listen, dir     string
	descriptions    string
	controllers     []string // NAME=HOST:PORT
	reportS, leaseS float64
	maxLogKB        int
}

// check validates the flags and returns the controllers in them.
func (s *workerSettings) check() ([]worker.Controller, error) {
	for _, required := range []struct{ flag, value string }{
		{"--name", s.id.Name}, {"--listen", s.listen}, {"--type", s.id.Type}, {"--zone", s.id.Zone}, {"--dir", s.dir}, {"--descriptions", s.descriptions},
	} {
		if required.value == "" {
			return nil, fmt.Errorf("%s: missing", required.flag)
		}
	}
	if !(s.reportS > 0) || !(s.leaseS > s.reportS) {
		return nil, errors.New("--report-s, --lease-s: the lease must be longer than the interval of reports")
	}
	if !(s.id.Size.CPUs > 0) {
		return nil, errors.New("--cpus: must be above 0")
	}
	if len(s.controllers) == 0 {
		return nil, errors.New("--controller: at least one is needed")
	}
	out := make([]worker.Controller, 0, len(s.controllers))
	for _, flag := range s.controllers {
		name, addr, ok := strings.Cut(flag, "=")
		if _, _, err := net.SplitHostPort(addr); !ok || err != nil {
			return nil, fmt.Errorf("--controller: %q is not NAME=HOST:PORT", flag)
		}
		out = append(out, worker.Controller{Name: name, Addr: addr})
	}
	return out, nil
}

// workerCommand returns the command that runs a worker.
func workerCommand() *cobra.Command {
	var s workerSettings
	c := &cobra.Command{
		Use:   "worker",
		Short: "Run a machine's worker: it runs tasks as processes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log, err := logger()
			if err != nil {
				return err
			}
			return runWorker(cmd.Context(), s, log.With("worker", s.id.Name))
		},
	}
	f := c.Flags()
	f.StringVar(&s.id.Name, "name", "", "the machine's name")
	f.StringVar(&s.listen, "listen", "", "address for direct orders")
	f.StringVar(&s.id.Type, "type", "", "machine type")
	f.StringVar(&s.id.Zone, "zone", "", "zone")
	f.BoolVar(&s.id.Spot, "spot", false, "a spot machine")
	f.Float64Var(&s.id.Size.CPUs, "cpus", 0, "CPUs that tasks may take")
	f.Float64Var(&s.id.Size.GPUs, "gpus", 0, "GPUs that tasks may take")
	f.Float64Var(&s.id.Size.MemoryGB, "memory-gb", 0, "memory that tasks may take, in GB")
	f.StringVar(&s.dir, "dir", "", "directory for the tasks' files")
	f.StringVar(&s.descriptions, "descriptions", "", "base URL of the description service")
	f.StringArrayVar(&s.controllers, "controller", nil, "a controller, NAME=HOST:PORT; may be repeated")
	f.Float64Var(&s.reportS, "report-s", 3, "seconds between reports")
	f.Float64Var(&s.leaseS, "lease-s", 44, "seconds without an answer after which all tasks end")
	f.IntVar(&s.maxLogKB, "max-log-kb", 1024, "output kept of each of a task's streams, in KB")
	return c
}

// runWorker runs a worker until ctx ends, and then returns nil, or until the worker fails. All its tasks
// have ended when it returns.
func runWorker(ctx context.Context, s workerSettings, log *slog.Logger) error {
	controllers, err := s.check()
	if err != nil {
		return err
	}
	lis, err := net.Listen("tcp", s.listen)
	if err != nil {
		return fmt.Errorf("--listen: %w", err)
	}
	procs, err := worker.NewProcesses(s.dir, int64(s.maxLogKB)<<10, log)
	if err != nil {
		_ = lis.Close()
		return err
	}
	procs.WorkerName = s.id.Name
	defer procs.Close()
	if s.id.Sessions, err = worker.OpenSessionFile(s.dir); err != nil {
		_ = lis.Close()
		return fmt.Errorf("--dir: %w", err)
	}
	s.id.Endpoint, s.id.Lease = lis.Addr().String(), config.Seconds(s.leaseS)
	agent := &worker.Agent{Processes: procs, Controllers: controllers, ReportInterval: config.Seconds(s.reportS), Log: log}
	agent.State = worker.New(s.id, taskspec.NewClient(s.descriptions), procs, agent.ReportSoon, log)
	defer agent.State.Close()
	srv := &http.Server{Handler: agent.Handler(), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 90 * time.Second}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := srv.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error { <-ctx.Done(); return srv.Close() })
	g.Go(func() error { return agent.Run(ctx) })
	log.Info("worker started", "cpus", s.id.Size.CPUs, "endpoint", s.id.Endpoint)
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}
