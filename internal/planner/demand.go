package planner

import (
	"math"
	"time"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

// Demand is work that waits.
type Demand struct {
	Shape matching.Resources `json:"Shape"`
	Job   *wire.Job          `json:"Job"`
	Count int                `json:"Count"`
	Run   float64            `json:"Run"`
	Rank  int                `json:"Rank"`
	Slack float64            `json:"Slack"` // how long it may wait and still meet an aim that a new machine can help with
}

// demandKey is what makes waiting work alike for planning.
type demandKey struct {
	room       jobstate.Requirements
	rank       int
	run, slack int
}

// nearly is the same for times, in seconds, that differ by less than about a tenth.
func nearly(s float64) int { return int(math.Log(max(s, 1)) / math.Log(1.1)) }

// Demand returns the work that has no machine yet, most urgent first, and what
// each machine's future looks like. boot is how long a new machine takes.
func (o *Planner) Demand(boot float64) ([]Demand, []WorkerLoad) {
	o.state.Mu.Lock()
	defer o.state.Mu.Unlock()
	o.state.Now = time.Now()
	var waiting []*jobstate.Job
	count := map[*jobstate.Job]int{}
	for _, job := range o.state.JobOrder {
		if job.Cancelled || job.EndStage != "" {
			continue
		}
		n := o.state.WantedTasks(job) // machines are rented for all of it
		for _, ps := range job.Placements {
			waits := true
			for _, placement := range ps {
				waits = waits && !placement.MayRun() && !placement.Exited
			}
			if waits {
				n++
			}
		}
		if n > 0 {
			waiting = append(waiting, job)
			count[job] = n
		}
	}
	o.SortJobs(waiting)
	ds := make([]Demand, 0, len(waiting))
	like := map[demandKey]int{}
	for _, job := range waiting {
		d := Demand{Shape: job.Resources, Job: job.Spec, Count: count[job], Run: job.RunEstimate(), Rank: job.Spec.Rank(), Slack: o.slack(job, boot)}
		if d.Job.Gang() || d.Job.Service() {
			ds = append(ds, d)
			continue
		}
		key := demandKey{job.Requirements(), d.Rank, nearly(d.Run), nearly(d.Slack)}
		i, known := like[key]
		if !known {
			like[key] = len(ds)
			ds = append(ds, d)
			continue
		}
		// Planned together: a storm of tiny jobs, each planned for itself, takes
		// a small controller's processor for seconds.
		a := &ds[i]
		all := float64(a.Count + d.Count)
		a.Run = (a.Run*float64(a.Count) + d.Run*float64(d.Count)) / all
		a.Slack = min(a.Slack, d.Slack)
		a.Count += d.Count
	}
	var ls []WorkerLoad
	for _, worker := range o.state.Workers {
		worker.Type, _ = o.state.MachineTypes.Type(worker.View.Type) // prices move
		l := WorkerLoad{Name: worker.Name, Type: worker.View.Type, Zone: worker.View.Zone, Spot: worker.View.Spot, Matrix: worker.Matrix, Heard: worker.LastHeartbeat, Existed: jobstate.Later(worker.LastHeartbeat, worker.KnownSince),
			Places: len(worker.Placements), Notice: !worker.NoticeAt.IsZero(), Faulty: worker.Faulty()}
		for placement := range worker.Placements {
			if placement.MayRun() {
				l.Used = l.Used.Add(placement.Job.Resources, 1)
			}
		}
		ls = append(ls, l)
	}
	return ds, ls
}

// lateSlack is the patience with work that a new machine can't bring in time
// any more: it should still move on.
const lateSlack = 20

// slack is how long the job's tasks may still wait and meet the next aim that
// a machine rented now can help to meet.
func (p *Planner) slack(job *jobstate.Job, boot float64) float64 {
	age := p.state.Now.Sub(job.AcceptedAt).Seconds()
	run := jobstate.Pessimism*job.RunEstimate() + jobstate.RestartTakes
	best := math.Inf(1)
	offer := func(s float64) {
		if s >= boot && s < best {
			best = s
		}
	}
	for _, within := range job.Class.StartAims {
		offer(within - age)
	}
	for _, limit := range p.state.Limits(job) {
		offer(limit - age - run)
	}
	if math.IsInf(best, 1) {
		return lateSlack
	}
	return best
}

// AdmittedWork returns how much work, in CPU-seconds, has been accepted since this
// owner began.
func (p *Planner) AdmittedWork() float64 {
	p.state.Mu.Lock()
	defer p.state.Mu.Unlock()
	return p.state.AdmittedWork
}

// SetCordoned tells which machines take no new work, so that they fall idle and
// can be returned.
func (p *Planner) SetCordoned(names map[string]bool) {
	p.state.Mu.Lock()
	defer p.state.Mu.Unlock()
	for name, worker := range p.state.Workers {
		worker.Cordoned = names[name]
	}
}

// WorkerLoad is a machine as fleet planning sees it.
type WorkerLoad struct {
	Name    string              `json:"Name"`
	Type    string              `json:"Type"`
	Zone    string              `json:"Zone"`
	Spot    bool                `json:"Spot"`
	Notice  bool                `json:"Notice"`
	Faulty  bool                `json:"Faulty"`
	Matrix  matching.WaitMatrix `json:"Matrix"`
	Used    matching.Resources  `json:"Used"`
	Heard   time.Time           `json:"Heard"`
	Existed time.Time           `json:"Existed"` // when it was last heard, or when this owner took over what it knows of it
	Places  int                 `json:"Places"`
}

// LeadsAutoscaling reports whether this owner leads the fleet: it owns the first shard.
func (p *Planner) LeadsAutoscaling() bool {
	p.state.Mu.Lock()
	defer p.state.Mu.Unlock()
	_, first := p.state.Loaded[0]
	return first && p.state.Member.LeaseRemaining() > 0
}
