package main

import (
	"context"
	"time"

	"github.com/wallrack/wallrack/internal/handover"
	"github.com/wallrack/wallrack/internal/machine"
)

// listen hands the jobs over to a controller that hears the workers when this
// one does not any more.
func (n *node) listen(ctx context.Context) error {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	var w handover.Watch
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		if len(n.member.Own()) == 0 {
			w.Look(time.Now(), false, 0, 0, nil)
			continue
		}
		heard, machines := n.holder.Arrivals()
		expected := float64(machines) / n.cfg.Params.Workers.ReportS * machine.ArrivalWindow.Seconds()
		var peers []handover.Peer
		for _, p := range n.reachable() {
			peers = append(peers, handover.Peer{Name: p.Node, Reports: p.Reports, Fit: p.StoreOK && p.Held})
		}
		to := w.Look(time.Now(), true, heard, expected, peers)
		if to == "" {
			continue
		}
		n.log.Info("workers are not heard here: handing over", "to", to, "heard", heard, "expected", expected)
		if err := n.member.HandOver(ctx, to); err != nil {
			n.log.Info("handing over failed", "err", err)
		}
	}
}
