package autoscaler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/wallrack/wallrack/internal/periodic"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// errNotLeading means that another controller may lead the autoscaler by now.
var errNotLeading = errors.New("no longer leads the autoscaler")

// provisionExpires is the maximum time from the planning of a provision to its first request to the
// cloud. A record may be written minutes late without its writer learning of it, and a later leader
// that reads the record can't tell whether the cloud received the request. It does not send such an
// old request, because most of the work that needed the machines is done by then. If the cloud did
// receive it, the machines appear in the cloud's list. The duration covers a failover after the
// leader's lease expires.
const provisionExpires = 30 * time.Second

// repeatDelay is the pause before a provision without an answer may be repeated.
const repeatDelay = time.Second

// provision is a request for machines whose outcome is unknown. While sending is set, only the
// goroutine of scaleOut that handles the provision writes the other fields.
type provision struct {
	req           wire.ProvisionRequest
	plannedAt     time.Time
	sending       bool // a goroutine of scaleOut handles it; guarded by Autoscaler.mu
	maybeRecorded bool // a write of its record had an unknown outcome
	recorded      bool // the record is written
	requested     bool // the cloud may have received the request
}

// expired reports whether a provision is too old for its first request to the cloud. Requests that
// were sent before may still be repeated.
func expired(planned, now time.Time) bool { return now.Sub(planned) > provisionExpires }

// maxInFlight returns how many provisions may be without an outcome. More would only queue for
// the cloud's rate limit, and the plan would count on machines that were not requested yet.
func (a *Autoscaler) maxInFlight() int { return max(2, int(2*a.cfg.Params.Cloud.RPS)) }

// newProvision adds a provision of n machines and sets its field sending.
func (a *Autoscaler) newProvision(o offer, n int, now time.Time) *provision {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastSeq++
	// No two leaders share a fencing token, so names are unique.
	name := fmt.Sprintf("r-%d-%d", a.member.FencingToken(), a.lastSeq)
	p := &provision{req: wire.ProvisionRequest{Name: name, Type: o.Type, Zone: o.Zone, Spot: o.Spot, Number: n}, plannedAt: now, sending: true}
	a.provisions[name] = p
	return p
}

// readiness is the result of prepare: how to proceed with a provision.
type readiness int

const (
	ready readiness = iota // request it from the cloud
	retry                  // not known yet whether it is recorded; try again
	drop                   // it must not be requested
)

// String returns the name of the readiness.
func (r readiness) String() string {
	switch r {
	case ready:
		return "ready"
	case retry:
		return "retry"
	default:
		return "drop"
	}
}

// prepare ensures that a provision is recorded before it is requested from the cloud, and
// returns whether it may still be requested.
func (a *Autoscaler) prepare(ctx context.Context, p *provision) readiness {
	if !p.recorded {
		err := a.writeRecord(ctx, p)
		var conflict *statestore.ConflictError
		p.maybeRecorded = p.maybeRecorded || errors.Is(err, statestore.ErrUnknown)
		switch {
		case err == nil:
			p.recorded = true
		case p.maybeRecorded && !errors.As(err, &conflict) && !errors.Is(err, errNotLeading) && !expired(p.plannedAt, time.Now()):
			a.log.Info("provision may be recorded, retrying", "provision", p.req.Name, "err", err)
			return retry
		default:
			// Nothing was provisioned, and the name is not used again.
			a.log.Info("provision not recorded", "provision", p.req.Name, "err", err)
			return drop
		}
	}
	if !p.requested && (expired(p.plannedAt, time.Now()) || !a.scheduler.Ready()) {
		// If this process was paused, a successor may have provisioned for the same work.
		a.log.Info("provision not requested: expired or no longer leading", "provision", p.req.Name)
		return drop
	}
	p.requested = true
	return ready
}

// scaleOut records a provision and requests it from the cloud. Without an answer the provision
// remains, and a later step repeats it under its name.
func (a *Autoscaler) scaleOut(ctx context.Context, p *provision) {
	decided := false
	defer func() {
		a.mu.Lock()
		p.sending = false
		if decided && a.provisions[p.req.Name] == p {
			delete(a.provisions, p.req.Name)
		}
		a.mu.Unlock()
	}()
	if r := a.prepare(ctx, p); r != ready {
		decided = r == drop
		return
	}
	names, err := a.cloud.provision(ctx, p.req)
	o := offer{p.req.Type, p.req.Zone, p.req.Spot}
	switch {
	case err == nil:
		a.log.Info("scaled out", "provision", p.req.Name, "type", o.Type, "zone", o.Zone, "spot", o.Spot, "machines", len(names), "requested", p.req.Number)
		a.provisionAnswered(p, o, names)
		decided = true
	case errors.Is(err, errNoCapacity):
		a.log.Info("no capacity", "type", o.Type, "zone", o.Zone, "spot", o.Spot)
		a.provisionRefused(p, o)
		decided = true
	case errors.Is(err, errRejected):
		a.log.Error("provision refused", "provision", p.req.Name, "err", err)
		a.provisionRefused(p, o)
		decided = true
	default:
		a.log.Info("provision unanswered", "provision", p.req.Name, "err", err)
		periodic.Sleep(ctx, repeatDelay)
	}
}

// provisionAnswered adds the machines that the cloud provisioned.
func (a *Autoscaler) provisionAnswered(p *provision, o offer, names []string) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	record := p.record()
	record.AnsweredMs, record.Machines = now.UnixMilli(), names
	a.addAnsweredLocked(record, now)
	if len(names) < p.req.Number {
		a.recordRefusal(o)
	} else {
		delete(a.refusals, o)
	}
}

// provisionRefused records that the cloud refused a provision, and has its record deleted.
func (a *Autoscaler) provisionRefused(p *provision, o offer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordRefusal(o)
	a.dropRecordLocked(p.req.Name)
}

// mayScaleOut reports whether a new leader may scale out: it has received the first list that it
// requested, which contains the machines of provisions whose records are deleted, or has waited
// firstListTimeout for it. Called with mu held.
func (a *Autoscaler) mayScaleOut(now time.Time) bool {
	return a.newestListAt.After(a.leadingSince) || now.Sub(a.leadingSince) > firstListTimeout
}
