// Package handover decides when an owner that hears its workers no more gives
// its jobs to a controller that does. A controller can lose the workers alone
// and keep its lease: without this, the owner takes machines that go on working
// for dead, returns them with all that runs on them, and rents others.
package handover

import "time"

const (
	deafShare  = 0.25 // of the reports expected, below which an owner counts as deaf
	leastShare = 0.1  // of them, that a peer must hear to take over
	clearly    = 3    // how many times as many reports as the owner a peer must hear
	leastSure  = 12   // reports expected, below which nothing can be told
	agree      = 2    // looks that must agree
	settle     = 15 * time.Second
)

// Peer is another controller that could own the jobs.
type Peer struct {
	Name    string
	Reports int  // workers' reports that reached it in the window, whatever it answered
	Fit     bool // it holds its lease and reaches the state service
}

// Watch looks at what controllers hear. The zero value is ready for use.
type Watch struct {
	since time.Time // since when this controller owns jobs; zero if it does not
	deaf  int       // looks in a row that found it deaf
}

// Look is called about once a second with the reports that reached this
// controller in the window and the number that its machines should have sent. It
// returns the peer that should own the jobs, or "". An owner leaves its workers
// time to find it, and one look is not trusted: a process that stood still hears
// nothing for a moment either.
func (w *Watch) Look(now time.Time, owns bool, heard int, expected float64, peers []Peer) string {
	if !owns {
		w.since, w.deaf = time.Time{}, 0
		return ""
	}
	if w.since.IsZero() {
		w.since = now
	}
	to := ""
	if now.Sub(w.since) >= settle && expected >= leastSure && float64(heard) < deafShare*expected {
		most := max(clearly*heard, int(leastShare*expected))
		for _, p := range peers {
			if p.Fit && p.Reports > most {
				to, most = p.Name, p.Reports
			}
		}
	}
	if to == "" {
		w.deaf = 0
		return ""
	}
	if w.deaf++; w.deaf < agree {
		return ""
	}
	w.deaf = 0
	return to
}
