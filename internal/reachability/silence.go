package reachability

import (
	"fmt"
	"slices"
	"time"
)

const (
	massLeast     = 8   // machines, from which on it can be told whether most are silent
	askFrom       = 0.6 // of Base: silence after which a machine is asked directly
	askAgain      = 2 * time.Second
	mostAsked     = 200              // machines at a time
	returnsIn     = time.Minute      // over which returns are counted
	returnShare   = 0.4              // of the machines, that may be returned as silent within it
	degradedFor   = 10 * time.Second // how long a refused connection or a standstill speaks against one's hearing
	degradedTimes = 2                // by which silence must be longer while one hears poorly
	late          = 500 * time.Millisecond
	idleTimes     = 2.5 // by which a machine without tasks may be silent for longer
)

// ReceiveHealth is how well this process hears just now.
type ReceiveHealth struct {
	RefusedConnections int64         // connections refused for want of sockets, since its start
	TimerDelay         time.Duration // by which its timers fired late lately
}

// UnresponsiveWorker is one that has not been heard for a while.
type UnresponsiveWorker struct {
	Name                 string
	Endpoint             string // "" if it is not known here: then others can only say whether they heard it
	SilentFor            time.Duration
	Busy                 bool // tasks may be on it
	OutboundLost         bool // it is heard, but nothing that is sent to it has an effect
	UnheardSinceFailover bool // not heard since this owner's take-over, from which Silent counts then: its silence is older
}

// Verdict is what to do about silent machines.
type Verdict struct {
	Return     map[string]string             // to be returned, and why
	Probe      map[string]UnresponsiveWorker // to be asked directly, by name
	Kept       int                           // silent for as long, but not returned
	KeptReason string                        // for which reason, of the last one kept
}

// FailureDetector judges silent machines. Silence is weighed against how well this
// controller hears, against what others hear, and against a rate of returns that
// no accident has: to return a machine that works throws away all that runs on
// it. It is not safe for concurrent use.
type FailureDetector struct {
	Base   time.Duration // silence after which a machine with tasks may be returned
	Lease  time.Duration // of workers
	Report time.Duration // between a worker's reports
	Grace  time.Duration // for which a controller goes on answering workers when it is cut off from all others

	asked      map[string]ask
	returned   map[string]time.Time
	refused    int64
	degraded   time.Time       // until when this process hears poorly
	reportedBy map[string]bool // peers that could say so if they heard a machine, when last looked at
	joined     time.Time       // when one could again
}

// ask is what came of asking a machine.
type ask struct {
	pending bool
	began   time.Time
	at      time.Time // when the last answer, or none, was known
	failed  bool
}

// Threshold is the silence from which on a machine is to be judged.
func (s *FailureDetector) Threshold() time.Duration {
	return min(s.Base, max(time.Duration(askFrom*float64(s.Base)), 3*s.Report/2))
}

// RecordProbe notes whether a machine that was asked answered, or was heard elsewhere.
func (s *FailureDetector) RecordProbe(name string, answered bool, now time.Time) {
	if a, ok := s.asked[name]; ok {
		s.asked[name] = ask{began: a.began, at: now, failed: !answered}
	}
}

// Evaluate looks at the silent machines of an owner that knows so many in all: those
// silent for longer than From.
func (s *FailureDetector) Evaluate(now time.Time, v *View, ears ReceiveHealth, known int, silent []UnresponsiveWorker) Verdict {
	if s.asked == nil {
		s.asked, s.returned, s.reportedBy = map[string]ask{}, map[string]time.Time{}, map[string]bool{}
	}
	for i := range v.Peers {
		p := &v.Peers[i]
		says := p.tells(v)
		if says && !s.reportedBy[p.Name] {
			// One that was apart may have heard all the while what is silent here:
			// what came of asking before it could be asked says nothing.
			s.joined = now
		}
		s.reportedBy[p.Name] = says
	}
	if ears.RefusedConnections > s.refused || ears.TimerDelay > late {
		s.degraded = now.Add(degradedFor)
	}
	s.refused = ears.RefusedConnections
	out := Verdict{Return: map[string]string{}, Probe: map[string]UnresponsiveWorker{}}
	keep := func(why string) { out.Kept, out.KeptReason = out.Kept+1, why }

	still := make(map[string]bool, len(silent))
	mass, heard, gone := 0, known-len(silent), 0
	for i := range silent {
		m := &silent[i]
		still[m.Name] = true
		switch {
		case m.SilentFor >= 2*s.Lease+s.Base:
			gone++ // for long: that says nothing of now
		case m.SilentFor >= s.Base:
			mass++
		}
	}
	for name := range s.asked {
		if !still[name] {
			delete(s.asked, name)
		}
	}
	for name, at := range s.returned {
		if now.Sub(at) > returnsIn {
			delete(s.returned, name)
		}
	}
	// One that hears nobody, or next to nobody, can't tell; what the cloud lists as
	// failed goes without this judgement.
	recent := known - gone
	deaf := known > 1 && heard == 0 || recent >= massLeast && (v.Self.InboundLost() || float64(heard) < inboundLostShare*float64(recent))
	limit := s.Base
	if recent >= massLeast && 2*mass > recent {
		// Most fell silent together: it is likelier that they are not heard than
		// that they stopped.
		limit = max(limit, s.Lease+s.Lease/500+time.Second)
	}
	if now.Before(s.degraded) {
		limit *= degradedTimes
	}
	room := max(massLeast, int(returnShare*float64(known))) - len(s.returned)
	for i := range silent {
		m := &silent[i]
		a := s.asked[m.Name]
		if !a.pending && now.Sub(a.at) >= askAgain && len(out.Probe) < mostAsked {
			out.Probe[m.Name] = *m
			a.pending, a.began = true, now
			s.asked[m.Name] = a
		}
		limit := limit
		if !m.Busy {
			limit = time.Duration(idleTimes * float64(limit))
		}
		if m.SilentFor < limit {
			if m.SilentFor >= s.Base && m.Busy {
				keep("most are silent, or this controller hears poorly")
			}
			continue
		}
		_, again := s.returned[m.Name]
		switch elsewhere := s.elsewhere(v, m); {
		case deaf:
			keep("this controller hears next to nobody")
		case elsewhere != "":
			keep(elsewhere)
		case a.pending || !a.failed || a.began.Before(s.joined):
			keep("it is still being asked")
		case !again && room <= 0:
			keep("too many were returned within a minute")
		default:
			if !again {
				room--
				s.returned[m.Name] = now
			}
			out.Return[m.Name] = fmt.Sprintf("silent for %.0f s", m.SilentFor.Seconds())
			if m.OutboundLost {
				out.Return[m.Name] = fmt.Sprintf("nothing reaches it for %.0f s", m.SilentFor.Seconds())
			}
			if m.Busy {
				out.Return[m.Name] += " with tasks on it"
			}
		}
	}
	return out
}

// tells reports whether the peer and this controller hear and reach each other.
func (p *Peer) tells(v *View) bool {
	return p.DirectlyReached() && !slices.Contains(p.Status.UnreachedPeers, v.Self.Node) && !slices.Contains(v.Self.UnreachedPeers, p.Name)
}

// elsewhere says why another controller may hear the machine without being able to
// say so here, or "".
func (s *FailureDetector) elsewhere(v *View, m *UnresponsiveWorker) string {
	if m.OutboundLost {
		return "" // to be heard is not enough: all were asked
	}
	for i := range v.Peers {
		p := &v.Peers[i]
		switch {
		case p.tells(v):
			// It would have told, or said so when asked.
		case !p.Known && !m.UnheardSinceFailover:
			// It has never been there, and the machine was heard without it.
		case p.IsFresh():
			if p.Status.HeardWorkers.Has(m.Name) {
				return p.Name + " hears it, and can't say so directly"
			}
		case p.Age < s.Grace+s.Lease && s.together(m, p.Age):
			// Both may be cut off together: then the controller goes on
			// answering the machine for so long. Of one that was never heard it is
			// known that it fell silent before this process began.
			return "it fell silent together with " + p.Name
		}
	}
	return ""
}

// together reports whether a machine fell silent when a controller did that was last heard
// so long ago. How long a machine was silent before this owner took over is not known: a new
// owner that judged by its own time alone gave up the machines of a whole zone, which was cut
// off together with a controller long before, and which the owner before it had kept.
func (s *FailureDetector) together(m *UnresponsiveWorker, age time.Duration) bool {
	apart := 2*s.Report + PeerTimeout
	if m.UnheardSinceFailover {
		return m.SilentFor < age+apart
	}
	return (m.SilentFor - age).Abs() < apart
}
