package handover_test

import (
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/handover"
)

// An owner that lost its workers for a minute, and nothing else, returned 700 of
// 1,300 machines as silent, with their tasks, and rented others.
func TestLook(t *testing.T) {
	peers := func(a, b int) []handover.Peer {
		return []handover.Peer{{Name: "a", Reports: a, Fit: true}, {Name: "b", Reports: b, Fit: true}, {Name: "c", Reports: 900}}
	}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		name     string
		after    time.Duration
		owns     bool
		heard    int
		expected float64
		peers    []handover.Peer
		want     string
	}{
		{"hears its workers", time.Minute, true, 400, 480, peers(100, 0), ""},
		{"lost its workers, and a peer hears them", time.Minute, true, 0, 480, peers(90, 200), "b"},
		{"nobody hears them", time.Minute, true, 0, 480, peers(0, 9), ""},
		{"only one without the state service does", time.Minute, true, 0, 480, peers(0, 0), ""},
		{"has only just begun", 5 * time.Second, true, 0, 480, peers(90, 200), ""},
		{"owns nothing", time.Minute, false, 0, 480, peers(90, 200), ""},
		{"too few machines to tell", time.Minute, true, 0, 6, peers(5, 0), ""},
		{"a third of the machines is cut off", time.Minute, true, 300, 480, peers(160, 0), ""},
	} {
		var w handover.Watch
		w.Look(start, c.owns, c.heard, c.expected, nil)
		now := start.Add(c.after)
		if got := w.Look(now, c.owns, c.heard, c.expected, c.peers); got != "" {
			t.Errorf("%s: one look was enough for %q", c.name, got)
		}
		if got := w.Look(now.Add(time.Second), c.owns, c.heard, c.expected, c.peers); got != c.want {
			t.Errorf("%s: to %q, not %q", c.name, got, c.want)
		}
	}
}
