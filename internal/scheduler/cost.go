package scheduler

import (
	"math"

	"github.com/wallrack/wallrack/internal/matching"
)

// wait looks a wait up; an older matrix is read at a larger cell.
func (o *Owner) wait(m *mach, s matching.Shape, run float64) float64 {
	age := o.now.Sub(m.at).Seconds()
	if over := age - 1.5*o.cfg.Params.Workers.ReportS; over > 0 {
		s = s.Scale(1 + min(0.5, 0.05*over))
	}
	return max(0, m.matrix.WaitWithin(s, run, o.op.HorizonS+age)-age)
}

type estimate struct{ wait, cost, fetch float64 }

func (o *Owner) estimate(j *job, m *mach) (estimate, bool) {
	if !o.allowed(j, m) || !o.within(j, m) || !o.underLimit(j) || !o.fitsLease(j, m) {
		return estimate{}, false
	}
	if until, ok := j.avoid[m.index]; len(j.avoid) > 0 && ok {
		if o.now.Before(until) {
			return estimate{}, false
		}
		delete(j.avoid, m.index)
	}
	run, fetch := j.runEstimate(), o.fetchTime(j, m)
	if m.closing && !m.endsWhileOccupied(fetch+run) {
		return estimate{}, false
	}
	w := o.wait(m, j.shape, fetch+run)
	if math.IsInf(w, 1) {
		return estimate{}, false
	}
	c := matching.Cost(fetch, w, run, o.success(m), o.op.KFail)
	if o.startLate(j, w+fetch) {
		c += o.op.LateS
	}
	return estimate{w, c + o.packing(m, c), fetch}, true
}

// startLate reports whether a task that starts after so many seconds misses an
// aim for its class's starts that it could still meet.
func (o *Owner) startLate(j *job, after float64) bool {
	age := o.now.Sub(j.accepted).Seconds()
	for _, within := range j.class.starts {
		if age < within && age+after+startTakes > within {
			return true
		}
	}
	return false
}

// packing is added to C so that of machines which would finish a task at about
// the same time the cheap and the fuller one wins, and others fall idle and
// can be returned. What a dear machine costs more grows with the task.
func (o *Owner) packing(m *mach, c float64) float64 {
	t := o.typeOf(m)
	if t.CPUs <= 0 {
		return 0
	}
	free := max(0, m.matrix[0].Free.CPUs) / t.CPUs
	dear := 0.0
	if !m.view.Spot && t.SpotPrice > 0 {
		dear = max(0, t.Price/t.SpotPrice-1)
	}
	return o.op.PackS*free*(1+dear) + o.op.DearShare*c*dear
}
