package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/wallrack/wallrack/internal/httpjson"
)

// shutdownTimeout is for requests under way when the process is to end.
const shutdownTimeout = 2 * time.Second

func newServer(handler http.Handler, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: 10 * time.Second, ReadTimeout: 15 * time.Second,
		WriteTimeout: 15 * time.Second, IdleTimeout: 90 * time.Second, MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}

// serveOperators adds what operators read.
func (c *controller) serveOperators(mux *http.ServeMux) {
	c.alerts.Register(mux)
	mux.HandleFunc("GET /ops/stats", c.serveStats)
	machines := &machineList{scheduler: c.scheduler, leaders: c.leaders, peers: c.peers}
	c.register(machines)
	mux.HandleFunc("GET /ops/machines", machines.serve)
	report := &linkReport{
		store: c.store, links: c.links, changes: c.linkChanges, cancellations: c.cancellations, router: c.router, unresponsive: c.unresponsive,
	}
	mux.HandleFunc("GET /ops/links", report.serve)
}

func (c *controller) serveStats(w http.ResponseWriter, _ *http.Request) {
	stats := c.alerts.Stats()
	stats["counters"], stats["usage"] = c.scheduler.Counters(), c.meter.Read()
	stats["recovery"], stats["served"] = c.times.Last(), c.scheduler.Served()
	httpjson.Write(w, http.StatusOK, stats)
}

// loops are what runs until the process ends, in the order of their start.
func (c *controller) loops() []func(context.Context) error {
	var loops []func(context.Context) error
	if c.rollouts != nil {
		loops = append(loops, c.rollouts.Run)
	}
	return append(loops,
		c.serveHTTP, c.shutDownHTTP, c.serveMesh,
		c.member.Run, c.scheduler.Run, c.runCatalog, c.autoscaler.Run, c.alerts.Run, c.meter.Run, c.times.Run,
		c.pinger.run, c.linkMonitor.run, c.exchange.run, c.store.Run, c.views.run, c.attestor.run, c.expiring.run)
}

func (c *controller) serveHTTP(context.Context) error {
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

func (c *controller) serveMesh(ctx context.Context) error { return c.mesh.Serve(ctx, c.cfg.Mesh) }

func (c *controller) runCatalog(ctx context.Context) error {
	return c.catalog.Run(ctx, c.scheduler.LeadsAutoscaling)
}
