package scheduler

import (
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/wire"
)

// GrantLocal decides whether a task may start now. One place of a task is
// granted at a time; quota, place and kind are checked against everything
// that may still be on.
func (o *Scheduler) GrantLocal(r dispatch.GrantRequest) dispatch.GrantReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.grant(r)
}

// GrantAll decides a holder's gathered requests at once.
func (o *Scheduler) GrantAll(requests []dispatch.GrantRequest) []dispatch.GrantReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	replies := make([]dispatch.GrantReply, len(requests))
	for i, r := range requests {
		replies[i] = o.grant(r)
	}
	return replies
}

func (o *Scheduler) grant(r dispatch.GrantRequest) dispatch.GrantReply {
	no, drop := dispatch.GrantReply{}, dispatch.GrantReply{Drop: true}
	if o.member.LeaseRemaining() < 200*time.Millisecond || len(o.loaded) == 0 {
		return no
	}
	uid, n, err := wire.ParseTask(r.Task)
	if err != nil {
		return drop
	}
	j := o.jobs[uid]
	if j == nil {
		return dispatch.GrantReply{Drop: len(o.loaded) == o.op.Shards}
	}
	if !o.owns(j) {
		return no
	}
	var p *Placement
	for _, x := range j.Placements[n] {
		if x.Worker.Name == r.Machine && x.Attempt == r.Attempt {
			p = x
		} else if x.MayRun() || x.Exited {
			o.stats.Refused++
			return no // settled later, or dropped by unqueue
		}
	}
	if p == nil {
		return drop
	}
	m := p.Worker
	switch {
	case j.Cancelled || p.Chunk.IsDone(n):
		return drop
	case !p.Exited && p.Session > 0 && r.Session > p.Session && (p.State == PlacementRecorded || p.State == PlacementGranted):
		// Its worker has lost whatever it was granted in the session before, in which it
		// may have run: see granted.
		o.detach(p)
		return drop
	case o.Cancellations != nil && o.Cancellations.IsCancelled(uid):
		return no // recorded by another; the record is on its way here
	case p.State == PlacementRecording || p.State == PlacementUnconfirmed || p.State == PlacementReported || !p.LastHaltAt.IsZero():
		return no
	case m.Gone || m.View.Draining || !o.allowed(j, m):
		return no
	case (!m.UnresponsiveSince.IsZero() || !o.fitsLease(j, m)) && p.State != PlacementGranted:
		return no
	case j.Constraints != nil && !o.termsAllow(j, n):
		return no
	}
	o.count(p, -1)
	if !o.within(j, m) || !o.underLimit(j) {
		o.count(p, 1)
		o.stats.Refused++
		return no
	}
	if p.State != PlacementGranted { // else the start is repeated
		p.State, p.GrantedAt, p.MinToken = PlacementGranted, time.Now(), r.Token
		o.stats.Granted++
	}
	p.MinToken, p.MaxToken, p.Session = min(p.MinToken, r.Token), max(p.MaxToken, r.Token), max(p.Session, r.Session)
	m.MaxToken = max(m.MaxToken, r.Token)
	o.count(p, 1)
	for _, x := range append([]*Placement(nil), j.Placements[n]...) {
		if x != p {
			o.unqueue(x)
		}
	}
	return dispatch.GrantReply{OK: true}
}

// allowed reports whether the job may run on that machine at all.
func (o *Scheduler) allowed(j *Job, m *Worker) bool {
	s := j.Spec
	if m.View.Spot && !s.Spot || s.Zone != nil && *s.Zone != m.View.Zone {
		return false
	}
	if s.Types == nil {
		return true
	}
	for _, t := range s.Types {
		if t == m.View.Type {
			return true
		}
	}
	return false
}

// within reports whether one more task of the job may be in the machine's
// zone, counting all that may be on.
func (o *Scheduler) within(j *Job, m *Worker) bool {
	zone := m.View.Zone
	if j.Spec.OneZone {
		if j.Unzoned > 0 {
			return false
		}
		for z, n := range j.Zones {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	if j.Spec.Spread && j.Zones[zone]+j.Unzoned+1 > (j.Spec.Tasks+1)/2 {
		return false
	}
	return true
}

// underLimit reports whether the job's team may use one more task of it.
func (o *Scheduler) underLimit(j *Job) bool {
	t := j.Team
	if t.Leased != nil {
		return t.Allows(j.Shard, t.Leased.UsedByShard[j.Shard].Add(j.Resources, 1))
	}
	u := t.Used.Add(j.Resources, 1)
	const tiny = 1e-6
	return (t.CPUsMax <= 0 || u.CPUs <= t.CPUsMax+tiny) && (t.GPUsMax <= 0 || u.GPUs <= t.GPUsMax+tiny)
}
