package planner

import (
	"math"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
)

// wait looks a wait up; an older matrix is read at a larger cell.
func (p *Planner) wait(worker *jobstate.Worker, s matching.Resources, run float64) float64 {
	age := p.state.Now.Sub(worker.ViewAt).Seconds()
	if over := age - 1.5*p.state.Platform.Params.Workers.ReportS; over > 0 {
		s = s.Scale(1 + min(0.5, 0.05*over))
	}
	return max(0, worker.Matrix.WaitWithin(s, run, p.state.Operator.HorizonS+age)-age)
}

type Estimate struct{ wait, cost, fetch float64 }

func (p *Planner) estimate(job *jobstate.Job, worker *jobstate.Worker) (Estimate, bool) {
	if !p.state.Allowed(job, worker) || !p.state.FitsZone(job, worker) || !p.state.UnderLimit(job) || !p.state.FitsLease(job, worker) {
		return Estimate{}, false
	}
	if until, ok := job.Avoid[worker.Index]; len(job.Avoid) > 0 && ok {
		if p.state.Now.Before(until) {
			return Estimate{}, false
		}
		delete(job.Avoid, worker.Index)
	}
	run, fetch := job.RunEstimate(), p.state.FetchTime(job, worker)
	if worker.Cordoned && !worker.EndsWhileOccupied(fetch+run) {
		return Estimate{}, false
	}
	w := p.wait(worker, job.Resources, fetch+run)
	if math.IsInf(w, 1) {
		return Estimate{}, false
	}
	c := matching.Cost(fetch, w, run, p.state.SuccessRate(worker), p.state.Operator.KFail)
	if p.startLate(job, w+fetch) {
		c += p.state.Operator.LateS
	}
	return Estimate{w, c + p.packing(worker, c), fetch}, true
}

// startLate reports whether a task that starts after so many seconds misses an
// aim for its class's starts that it could still meet.
func (p *Planner) startLate(job *jobstate.Job, after float64) bool {
	age := p.state.Now.Sub(job.AcceptedAt).Seconds()
	for _, within := range job.Class.StartAims {
		if age < within && age+after+jobstate.StartTakes > within {
			return true
		}
	}
	return false
}

// packing is added to C so that of machines which would finish a task at about
// the same time the cheap and the fuller one wins, and others fall idle and
// can be returned. What a dear machine costs more grows with the task.
func (p *Planner) packing(worker *jobstate.Worker, c float64) float64 {
	t := p.state.TypeOf(worker)
	if t.CPUs <= 0 {
		return 0
	}
	free := max(0, worker.Matrix[0].Free.CPUs) / t.CPUs
	dear := 0.0
	if !worker.View.Spot && t.SpotPrice > 0 {
		dear = max(0, t.Price/t.SpotPrice-1)
	}
	return p.state.Operator.PackS*free*(1+dear) + p.state.Operator.DearShare*c*dear
}
