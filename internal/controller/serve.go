package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wallrack/wallrack/internal/connlimit"
	"github.com/wallrack/wallrack/internal/httpjson"
)

// reportPath is the path to which workers send their reports.
const reportPath = "/v1/report"

// shutdownTimeout bounds the wait for requests in flight when the process ends.
const shutdownTimeout = 2 * time.Second

func newServer(handler http.Handler, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: 10 * time.Second, ReadTimeout: 15 * time.Second,
		WriteTimeout: 15 * time.Second, IdleTimeout: 90 * time.Second, MaxHeaderBytes: 16 << 10,
		ConnContext: connlimit.ConnContext, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}

// registerOperatorPaths registers the HTTP paths for operators.
func (c *controller) registerOperatorPaths(mux *http.ServeMux) {
	c.alerts.Register(mux)
	mux.HandleFunc("GET /ops/stats", c.serveStats)
	c.machines = machineList{scheduler: c.scheduler, leaders: &c.links.Leaders, peers: &c.links.Caller}
	c.register(&c.machines)
	mux.HandleFunc("GET /ops/machines", c.machines.serve)
	c.linkReport = linkReport{
		store: c.store, links: &c.links.View, changes: &c.linkChanges, cancellations: c.cancellations, router: &c.workerRouter, unresponsive: &c.unresponsiveWorkers,
	}
	mux.HandleFunc("GET /ops/links", c.linkReport.serve)
}

func (c *controller) serveStats(w http.ResponseWriter, _ *http.Request) {
	stats := c.alerts.Stats()
	stats["counters"], stats["usage"] = c.scheduler.Counters(), c.meter.Read()
	stats["recovery"], stats["served"] = c.timeline.LastRecovery(), c.scheduler.Served()
	stats["refusals"] = c.submissions.Refusals()
	httpjson.Write(w, http.StatusOK, stats)
}

// start starts the loops that run until ctx ends.
func (c *controller) start(ctx context.Context, group *errgroup.Group) {
	if c.rollouts != nil {
		group.Go(func() error { return c.rollouts.Run(ctx) })
	}
	group.Go(c.serveHTTP)
	group.Go(func() error { return c.shutDownHTTP(ctx) })
	group.Go(func() error { return c.mesh.Serve(ctx, c.cfg.Mesh) })
	group.Go(func() error { return c.member.Run(ctx) })
	group.Go(func() error { return c.scheduler.Run(ctx) })
	group.Go(func() error { return c.catalog.Run(ctx, c.scheduler.LeadsAutoscaling) })
	group.Go(func() error { return c.autoscaler.Run(ctx) })
	group.Go(func() error { return c.submissions.Run(ctx) })
	group.Go(func() error { return c.alerts.Run(ctx) })
	group.Go(func() error { return c.meter.Run(ctx) })
	group.Go(func() error { return c.timeline.Run(ctx) })
	group.Go(func() error { return c.pinger.run(ctx) })
	group.Go(func() error { return c.linkMonitor.run(ctx) })
	group.Go(func() error { return c.cancellationExchange.run(ctx) })
	group.Go(func() error { return c.store.Run(ctx) })
	group.Go(func() error { return c.viewPublisher.run(ctx) })
	group.Go(func() error { return c.leaseAttestor.run(ctx) })
	group.Go(func() error { return c.expiringLeases.run(ctx) })
}

func (c *controller) serveHTTP() error {
	if err := c.server.Serve(c.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

func (c *controller) shutDownHTTP(ctx context.Context) error {
	<-ctx.Done()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return c.server.Shutdown(ctx)
}
