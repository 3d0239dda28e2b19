package autoscaler

import (
	"context"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

const (
	// Lists use 1/listRateDivisor of the requests that the rate limit allows: the interval in
	// seconds is listRateDivisor × pages of a list / requests per second.
	listRateDivisor          = 5
	minListIntervalS         = 3
	pollAfterReportIntervals = 1.5 // report intervals without a heartbeat after which a listed worker is polled
	// listRequestMargin is added to the maximum lag of a list, for the duration of the request.
	listRequestMargin = 5 * time.Second
	// A machine's first heartbeat must arrive within bootFactor times its type's boot time
	// plus bootMarginS.
	bootFactor  = 3
	bootMarginS = 25
)

// listInterval returns the time between two requests for the cloud's list.
func (a *Autoscaler) listInterval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return seconds(max(minListIntervalS, listRateDivisor*float64(max(1, a.listPages))/a.cfg.Params.Cloud.RPS))
}

// refresh reads the cloud's list, deletes failed machines and polls workers without heartbeats. The
// list lags, and may show an earlier state than the previous list.
func (a *Autoscaler) refresh(ctx context.Context) { a.refreshAt(ctx, time.Now()) }

func (a *Autoscaler) refreshAt(ctx context.Context, requested time.Time) {
	list, err := a.cloud.listMachines(ctx)
	if err != nil {
		a.log.Info("reading machine list failed", "err", err)
		return
	}
	failed, endpoints := a.applyList(list, requested)
	if len(failed) > 0 {
		a.scaleIn(ctx, failed)
	}
	a.dispatcher.PollReports(ctx, endpoints, seconds(pollAfterReportIntervals*a.cfg.Params.Workers.ReportS))
}

// applyList updates the instances from a list. It returns the failed machines with the reason
// for their deletion, and the endpoints of the running ones.
func (a *Autoscaler) applyList(list []wire.ListedMachine, requested time.Time) (failed, endpoints map[string]string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listPages = 1 + len(list)/listPage
	a.newestListAt = later(a.newestListAt, requested)
	failed, endpoints = map[string]string{}, map[string]string{}
	for _, machine := range list {
		if a.isDeleting(machine.Name) {
			continue
		}
		inst := a.instances[machine.Name]
		if inst == nil {
			inst = &instance{name: machine.Name, discoveredAt: requested, provisionedAt: requested.Add(-seconds(machine.AgeS))}
			a.instances[machine.Name] = inst
		}
		inst.offer, inst.listedAt, inst.stage = offer{machine.Type, machine.Zone, machine.Spot}, later(inst.listedAt, requested), machine.Stage
		if machine.Stage == wire.MachineFailed {
			failed[machine.Name] = "failed"
		}
		if machine.Stage == wire.MachineRunning && machine.Endpoint != "" {
			endpoints[machine.Name] = machine.Endpoint
		}
	}
	return failed, endpoints
}

// maxListLag returns the maximum lag of a list, which is twice the usual one.
func (a *Autoscaler) maxListLag() time.Duration { return seconds(2 * a.cfg.Params.Cloud.ListLagS) }

// maxListAge returns the maximum time by which the state in a list precedes the request for the list.
func (a *Autoscaler) maxListAge() time.Duration { return a.maxListLag() + listRequestMargin }

// vanished reports whether a machine that existed at the given time is missing from the newest
// list, and that list is certain to show a later state. Controllers can't tell such a machine from
// one that is unresponsive for another reason, such as an outage that also hit a controller, and
// would wait for its lease to expire before they restart its tasks. Deleting the machine makes
// certain that its tasks have ended. Called with mu held.
func (a *Autoscaler) vanished(name string, existed time.Time) bool {
	if a.isDeleting(name) || a.newestListAt.Sub(existed) <= a.maxListAge() {
		return false
	}
	inst := a.instances[name]
	return inst == nil || inst.listedAt.Before(a.newestListAt) && a.newestListAt.Sub(inst.discoveredAt) > a.maxListAge()
}

// collectUnwanted forgets machines that the cloud no longer lists, and adds to unwanted the machines
// that never came up, are faulty, or are idle and drained. Called with mu held.
func (a *Autoscaler) collectUnwanted(now time.Time, unwanted map[string]string) {
	for name, inst := range a.instances {
		if a.isDeleting(name) {
			continue
		}
		switch {
		case !inst.drainingSince.IsZero() && inst.empty() && now.Sub(inst.drainingSince) > planInterval:
			unwanted[name] = "idle"
		case a.bootFailed(inst, now):
			unwanted[name] = "did not come up"
		case inst.lastHeartbeat.IsZero() && now.Sub(inst.listedAt) > forgetAfter && now.Sub(inst.discoveredAt) > a.maxListAge()+forgetAfter:
			delete(a.instances, name)
		case inst.empty() && inst.load.Faulty:
			unwanted[name] = "faulty"
		}
	}
}

// bootFailed reports whether a machine without a heartbeat exceeds the time to boot. The time
// counts from discoveredAt if that is later than provisionedAt, which may be by the clock of
// another controller.
func (a *Autoscaler) bootFailed(inst *instance, now time.Time) bool {
	t, _ := a.catalog.Type(inst.offer.Type) // the boot time of an unknown type is 0
	return inst.lastHeartbeat.IsZero() && now.Sub(later(inst.provisionedAt, inst.discoveredAt)) > seconds(bootFactor*t.BootS+bootMarginS)
}
