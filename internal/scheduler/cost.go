package scheduler

import (
	"math"

	"github.com/wallrack/wallrack/internal/matching"
)

// wait looks a wait up; an older matrix is read at a larger cell.
func (o *Scheduler) wait(m *Worker, s matching.Resources, run float64) float64 {
	age := o.now.Sub(m.ViewAt).Seconds()
	if over := age - 1.5*o.cfg.Params.Workers.ReportS; over > 0 {
		s = s.Scale(1 + min(0.5, 0.05*over))
	}
	return max(0, m.Matrix.WaitWithin(s, run, o.op.HorizonS+age)-age)
}

type Estimate struct{ wait, cost, fetch float64 }

func (o *Scheduler) estimate(j *Job, m *Worker) (Estimate, bool) {
	if !o.allowed(j, m) || !o.within(j, m) || !o.underLimit(j) || !o.fitsLease(j, m) {
		return Estimate{}, false
	}
	if until, ok := j.Avoid[m.Index]; len(j.Avoid) > 0 && ok {
		if o.now.Before(until) {
			return Estimate{}, false
		}
		delete(j.Avoid, m.Index)
	}
	run, fetch := j.RunEstimate(), o.fetchTime(j, m)
	if m.Cordoned && !m.EndsWhileOccupied(fetch+run) {
		return Estimate{}, false
	}
	w := o.wait(m, j.Resources, fetch+run)
	if math.IsInf(w, 1) {
		return Estimate{}, false
	}
	c := matching.Cost(fetch, w, run, o.success(m), o.op.KFail)
	if o.startLate(j, w+fetch) {
		c += o.op.LateS
	}
	return Estimate{w, c + o.packing(m, c), fetch}, true
}

// startLate reports whether a task that starts after so many seconds misses an
// aim for its class's starts that it could still meet.
func (o *Scheduler) startLate(j *Job, after float64) bool {
	age := o.now.Sub(j.AcceptedAt).Seconds()
	for _, within := range j.Class.StartAims {
		if age < within && age+after+startTakes > within {
			return true
		}
	}
	return false
}

// packing is added to C so that of machines which would finish a task at about
// the same time the cheap and the fuller one wins, and others fall idle and
// can be returned. What a dear machine costs more grows with the task.
func (o *Scheduler) packing(m *Worker, c float64) float64 {
	t := o.typeOf(m)
	if t.CPUs <= 0 {
		return 0
	}
	free := max(0, m.Matrix[0].Free.CPUs) / t.CPUs
	dear := 0.0
	if !m.View.Spot && t.SpotPrice > 0 {
		dear = max(0, t.Price/t.SpotPrice-1)
	}
	return o.op.PackS*free*(1+dear) + o.op.DearShare*c*dear
}
