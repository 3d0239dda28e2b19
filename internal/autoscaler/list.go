package autoscaler

import (
	"context"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// listShare is the seconds between lists, for each request a second that the
// cloud allows and each page: lists take a fifth of the budget.
const listShare = 5

// refresh reads the cloud's list, which lags and may be older than the last.
func (f *Autoscaler) refresh(ctx context.Context) { f.refreshAt(ctx, time.Now()) }

func (f *Autoscaler) refreshAt(ctx context.Context, asked time.Time) {
	list, err := f.cloud.list(ctx)
	if err != nil {
		f.log.Info("no machine list", "err", err)
		return
	}
	f.mu.Lock()
	f.pages = 1 + len(list)/listPage
	f.listedAt = later(f.listedAt, asked)
	failed := map[string]string{}
	for _, l := range list {
		if f.sending[l.Name] {
			continue
		}
		b := f.instances[l.Name]
		if b == nil {
			b = &instance{name: l.Name, known: asked, hired: asked.Add(-seconds(l.AgeS))}
			f.instances[l.Name] = b
		}
		b.offer, b.listed, b.stage = offer{l.Type, l.Zone, l.Spot}, later(b.listed, asked), l.Stage
		if l.Stage == wire.MachineFailed {
			failed[l.Name] = "failed"
		}
	}
	endpoints := map[string]string{}
	for _, l := range list {
		if l.Stage == wire.MachineRunning && !f.sending[l.Name] && l.Endpoint != "" {
			endpoints[l.Name] = l.Endpoint
		}
	}
	f.mu.Unlock()
	if len(failed) > 0 {
		f.scaleIn(ctx, failed)
	}
	f.dispatcher.PollReports(ctx, endpoints, seconds(1.5*f.cfg.Params.Workers.ReportS))
}

// listMargin is added to the most that a list may lag, for the way of the request.
const listMargin = 5 * time.Second

// mostLag is the most that a list lags behind: at times twice what it mostly does.
func (f *Autoscaler) mostLag() time.Duration { return seconds(2 * f.cfg.Params.Cloud.ListLagS) }

// listLag is how much older a list may be than the request for it.
func (f *Autoscaler) listLag() time.Duration { return f.mostLag() + listMargin }

// vanished reports whether a machine that existed at a time is gone by the cloud's list: a
// list that shows a later time lacks it. Such a machine may be silent for other reasons by
// all that controllers know, as when it fell silent together with one of them, and what was
// placed on it would wait for a lease and more. To return it makes sure.
func (f *Autoscaler) vanished(name string, existed time.Time) bool {
	if f.sending[name] || f.listedAt.Sub(existed) <= f.listLag() {
		return false
	}
	b := f.instances[name]
	return b == nil || b.listed.Before(f.listedAt) && f.listedAt.Sub(b.known) > f.listLag()
}

// sortOut forgets machines that the cloud took and returns those that never
// came up, are faulty or idle.
func (f *Autoscaler) sortOut(now time.Time, back map[string]string) {
	lag := f.listLag()
	for name, b := range f.instances {
		t, _ := f.catalog.Type(b.offer.Type)
		switch {
		case f.sending[name]:
		case !b.draining.IsZero() && b.load != nil && b.load.Places == 0 && now.Sub(b.draining) > planEvery:
			back[name] = "idle"
		case b.heard.IsZero() && now.Sub(later(b.hired, b.known)) > seconds(3*t.BootS+25) && now.Sub(b.hired) > seconds(3*t.BootS+25):
			back[name] = "did not come up"
		case b.heard.IsZero() && now.Sub(b.listed) > takenAfter && now.Sub(b.known) > lag+takenAfter:
			delete(f.instances, name)
		case b.load != nil && b.load.Faulty && b.load.Places == 0:
			back[name] = "faulty"
		}
	}
}
