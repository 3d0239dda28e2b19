package reconcile

import (
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobstate"
)

// If commands reach no worker at all, responses of other workers to earlier commands must not
// cause the deletion of the first unresponsive worker.
func TestResponsesToEarlierCommandsProveNothing(t *testing.T) {
	now := time.Now()
	ago := func(s float64) time.Time { return now.Add(-config.Seconds(s)) }
	for _, c := range []struct {
		name      string
		responded []float64 // seconds ago, of the other workers
		lost      bool
	}{
		{"others responded to earlier commands", []float64{6, 5, 5.5}, false},
		{"one responded to a later command", []float64{6, 2}, true},
		{"no commands were sent to others", nil, false},
	} {
		state := &jobstate.State{
			Platform: &config.Platform{Params: config.Params{Workers: config.Workers{ReportS: 4, LeaseS: 22}}},
			Workers:  map[string]*jobstate.Worker{},
		}
		state.WorkerOf("n-0").UnresponsiveSince = ago(4.5)
		for i, at := range c.responded {
			state.WorkerOf(string(rune('a' + i))).RespondedAt = ago(at)
		}
		for _, worker := range state.Workers {
			worker.LastHeartbeat = now
		}
		r := &Reconciler{state: state}
		_, unresponsive := r.UnresponsiveWorkers(3 * time.Second)
		if lost := len(unresponsive) == 1 && unresponsive[0].OutboundLost; lost != c.lost {
			t.Errorf("%s: %+v", c.name, unresponsive)
		}
	}
}
