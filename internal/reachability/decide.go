package reachability

import (
	"slices"
	"time"
)

// peer returns the view's row of a peer, or nil.
func (v *View) peer(name string) *Peer {
	for i := range v.Peers {
		if v.Peers[i].Name == name {
			return &v.Peers[i]
		}
	}
	return nil
}

// Unreached names the peers of whom nothing came by the mesh lately, neither
// directly nor through a third: what can be known of them, and they of this
// controller, only the state service can tell.
func (v *View) Unreached() []string {
	var out []string
	for i := range v.Peers {
		if p := &v.Peers[i]; !p.Known || p.Path == Stored || p.Age >= Lost {
			out = append(out, p.Name)
		}
	}
	return out
}

// Foreman names the controller that should hold workers: the one that owns the
// jobs, so that grants need no round trip, unless it is known not to hear
// workers. A peer that the mesh does not reach is named too: a holder that the
// owner can't reach is of no use to the worker.
func (v *View) Foreman() string {
	chief := v.Self.Chief
	if !v.Self.Held {
		// This controller may be the only one that lost the state service.
		for i := range v.Peers {
			if p := &v.Peers[i]; p.Fresh() && p.Row.Held && p.Row.Chief != "" && p.Row.Chief != v.Self.Node {
				chief = p.Row.Chief
				break
			}
		}
	}
	if p := v.peer(chief); p != nil && p.Fresh() && !p.Row.Deaf() {
		return chief
	}
	return v.Self.Node
}

// Alone reports whether this controller owns no jobs, or none any more, and knows of
// nobody who could start work: it hears no peer, nor the state service. Workers that
// it went on answering would only wait here, and their tasks would be settled later by
// whoever owns the jobs.
func (v *View) Alone() bool {
	if v.Self.Owns || v.Self.State {
		return false
	}
	for i := range v.Peers {
		if v.Peers[i].Near() {
			return false
		}
	}
	return len(v.Peers) > 0
}

// Served names the peers that reach the state service and that can be asked.
func (v *View) Served() []string {
	var out []string
	for i := range v.Peers {
		if p := &v.Peers[i]; p.Near() && p.Out && p.Row.State {
			out = append(out, p.Name)
		}
	}
	return out
}

// Up reports whether this controller should take users. It should not if, and
// only if, it lost the state service and a peer did not.
func (v *View) Up() bool {
	if v.Self.State {
		return true
	}
	for i := range v.Peers {
		if p := &v.Peers[i]; p.Fresh() && p.Row.State {
			return false
		}
	}
	return true
}

// Way names the controller to send a message for a peer to: the peer itself, or a
// third that reaches it if this controller does not. Messages take one such way
// round at most.
func (v *View) Way(to string) string {
	p := v.peer(to)
	if p == nil || p.Out {
		return to
	}
	for i := range v.Peers {
		third := &v.Peers[i]
		if third.Name != to && third.Near() && third.Out && !slices.Contains(third.Row.Lacks, to) {
			return third.Name
		}
	}
	return to
}

const (
	leastShare = 0.1  // of the reports expected, that a peer must hear to take over
	clearly    = 3    // how many times as many reports as the owner a peer must hear
	reaches    = 0.75 // share of tried machines, from which on they count as reached
	misses     = 0.25 // below which they do not
	settle     = 15 * time.Second
)

const (
	agree      = time.Second            // for which looks must agree on what is heard
	agreeTried = 200 * time.Millisecond // and on what was tried
)

// Window is the time over which hand-overs are counted; see Settle.
const Window = 5 * time.Minute

// Settle is how long an owner waits before it gives its jobs away, after so many
// hand-overs within the Window: it leaves its workers time to find it, and a
// flapping link moves the jobs less and less.
func Settle(moves int) time.Duration { return settle << min(moves, 4) }

// Watch looks at what controllers hear, to find an owner that hears its workers no
// more and a peer that does. The zero value is ready for use.
type Watch struct {
	since time.Time // since when this controller owns jobs; zero if it does not
	deaf  time.Time // since when looks found that another should own them
}

// Look is called at least once a second, with the hand-overs within the Window that
// are on record. It returns the peer that should own the jobs, or "". One look is
// not trusted: a process that stood still hears nothing for a moment either.
func (w *Watch) Look(now time.Time, v *View, moves int) string {
	if !v.Self.Owns {
		w.since, w.deaf = time.Time{}, time.Time{}
		return ""
	}
	if w.since.IsZero() {
		w.since = now
	}
	to, long := "", agree
	// The first hand-over of a window may come after the plain settling time; of
	// those before this owner's time each doubles it.
	if now.Sub(w.since) >= Settle(max(0, moves-1)) {
		most := max(clearly*v.Self.Reports, int(leastShare*v.Self.Expected))
		// Workers take seconds to give this controller up: what others reach when
		// they try says it sooner than what they hear.
		cut := v.Self.Tried && v.Self.Reaches <= misses
		tried := 0.0
		for i := range v.Peers {
			p := &v.Peers[i]
			switch {
			case !p.Fresh() || !p.Row.State || !p.Row.Held:
			case v.Self.Deaf() && p.Row.Reports > most:
				to, most, tried, long = p.Name, p.Row.Reports, 1, agree
			case cut && p.Row.Tried && p.Row.Reaches >= reaches && p.Row.Reaches > tried:
				to, tried, long = p.Name, p.Row.Reaches, agreeTried
			}
		}
	}
	switch {
	case to == "":
		w.deaf = time.Time{}
	case w.deaf.IsZero():
		w.deaf = now
	case now.Sub(w.deaf) >= long:
		w.deaf = time.Time{}
		return to
	}
	return ""
}
