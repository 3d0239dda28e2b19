package scheduler

import (
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/wire"
)

// GrantHere decides whether a task may start now. One place of a task is
// granted at a time; quota, place and kind are checked against everything
// that may still be on.
func (o *Owner) GrantHere(r dispatch.GrantRequest) dispatch.GrantReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.grant(r)
}

// GrantAll decides a holder's gathered requests at once.
func (o *Owner) GrantAll(requests []dispatch.GrantRequest) []dispatch.GrantReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	replies := make([]dispatch.GrantReply, len(requests))
	for i, r := range requests {
		replies[i] = o.grant(r)
	}
	return replies
}

func (o *Owner) grant(r dispatch.GrantRequest) dispatch.GrantReply {
	no, drop := dispatch.GrantReply{}, dispatch.GrantReply{Drop: true}
	if o.member.Held() < 200*time.Millisecond || len(o.loaded) == 0 {
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
	var p *place
	for _, x := range j.places[n] {
		if x.mach.name == r.Machine && x.attempt == r.Attempt {
			p = x
		} else if x.on() || x.exited {
			o.stats.Refused++
			return no // settled later, or dropped by unqueue
		}
	}
	if p == nil {
		return drop
	}
	m := p.mach
	switch {
	case j.cancelled || p.chunk.isDone(n):
		return drop
	case !p.exited && p.session > 0 && r.Session > p.session && (p.state == placeRecorded || p.state == placeGranted):
		// Its worker has lost whatever it was granted in the session before, in which it
		// may have run: see granted.
		o.detach(p)
		return drop
	case o.Cancels != nil && o.Cancels.Has(uid):
		return no // recorded by another; the record is on its way here
	case p.state == placeWriting || p.state == placeUnsettled || p.state == placeSeen || !p.haltAt.IsZero():
		return no
	case m.gone || m.view.Draining || !o.allowed(j, m):
		return no
	case (!m.deaf.IsZero() || !o.fitsLease(j, m)) && p.state != placeGranted:
		return no
	case j.asked != nil && !o.termsAllow(j, n):
		return no
	}
	o.count(p, -1)
	if !o.within(j, m) || !o.underLimit(j) {
		o.count(p, 1)
		o.stats.Refused++
		return no
	}
	if p.state != placeGranted { // else the start is repeated
		p.state, p.grantedAt, p.least = placeGranted, time.Now(), r.Token
		o.stats.Granted++
	}
	p.least, p.token, p.session = min(p.least, r.Token), max(p.token, r.Token), max(p.session, r.Session)
	m.tokens = max(m.tokens, r.Token)
	o.count(p, 1)
	for _, x := range append([]*place(nil), j.places[n]...) {
		if x != p {
			o.unqueue(x)
		}
	}
	return dispatch.GrantReply{OK: true}
}

// allowed reports whether the job may run on that machine at all.
func (o *Owner) allowed(j *job, m *mach) bool {
	s := j.spec
	if m.view.Spot && !s.Spot || s.Zone != nil && *s.Zone != m.view.Zone {
		return false
	}
	if s.Types == nil {
		return true
	}
	for _, t := range s.Types {
		if t == m.view.Type {
			return true
		}
	}
	return false
}

// within reports whether one more task of the job may be in the machine's
// zone, counting all that may be on.
func (o *Owner) within(j *job, m *mach) bool {
	zone := m.view.Zone
	if j.spec.OneZone {
		if j.unzoned > 0 {
			return false
		}
		for z, n := range j.zones {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	if j.spec.Spread && j.zones[zone]+j.unzoned+1 > (j.spec.Tasks+1)/2 {
		return false
	}
	return true
}

// underLimit reports whether the job's team may use one more task of it.
func (o *Owner) underLimit(j *job) bool {
	t := j.team
	if t.lent != nil {
		return t.allows(j.shard, t.lent.use[j.shard].Add(j.shape, 1))
	}
	u := t.use.Add(j.shape, 1)
	const tiny = 1e-6
	return (t.CPUsMax <= 0 || u.CPUs <= t.CPUsMax+tiny) && (t.GPUsMax <= 0 || u.GPUs <= t.GPUsMax+tiny)
}
