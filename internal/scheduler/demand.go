package scheduler

import (
	"math"
	"time"

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
	room       Requirements
	rank       int
	run, slack int
}

// nearly is the same for times, in seconds, that differ by less than about a tenth.
func nearly(s float64) int { return int(math.Log(max(s, 1)) / math.Log(1.1)) }

// Demand returns the work that has no machine yet, most urgent first, and what
// each machine's future looks like. boot is how long a new machine takes.
func (o *Scheduler) Demand(boot float64) ([]Demand, []WorkerLoad) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.now = time.Now()
	var waiting []*Job
	count := map[*Job]int{}
	for _, j := range o.order {
		if j.Cancelled || j.EndStage != "" {
			continue
		}
		n := o.wants(j) // machines are rented for all of it
		for _, ps := range j.Placements {
			waits := true
			for _, p := range ps {
				waits = waits && !p.MayRun() && !p.Exited
			}
			if waits {
				n++
			}
		}
		if n > 0 {
			waiting = append(waiting, j)
			count[j] = n
		}
	}
	o.sortJobs(waiting)
	ds := make([]Demand, 0, len(waiting))
	like := map[demandKey]int{}
	for _, j := range waiting {
		d := Demand{Shape: j.Resources, Job: j.Spec, Count: count[j], Run: j.RunEstimate(), Rank: j.Spec.Rank(), Slack: o.slack(j, boot)}
		if d.Job.Gang() || d.Job.Service() {
			ds = append(ds, d)
			continue
		}
		key := demandKey{j.Requirements(), d.Rank, nearly(d.Run), nearly(d.Slack)}
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
	for _, m := range o.machines {
		m.Type, _ = o.types.Type(m.View.Type) // prices move
		l := WorkerLoad{Name: m.Name, Type: m.View.Type, Zone: m.View.Zone, Spot: m.View.Spot, Matrix: m.Matrix, Heard: m.LastHeartbeat, Existed: later(m.LastHeartbeat, m.KnownSince),
			Places: len(m.Placements), Notice: !m.NoticeAt.IsZero(), Faulty: m.Faulty()}
		for p := range m.Placements {
			if p.MayRun() {
				l.Used = l.Used.Add(p.Job.Resources, 1)
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
func (o *Scheduler) slack(j *Job, boot float64) float64 {
	age := o.now.Sub(j.AcceptedAt).Seconds()
	run := pessimism*j.RunEstimate() + restartTakes
	best := math.Inf(1)
	offer := func(s float64) {
		if s >= boot && s < best {
			best = s
		}
	}
	for _, within := range j.Class.StartAims {
		offer(within - age)
	}
	for _, limit := range o.limits(j) {
		offer(limit - age - run)
	}
	if math.IsInf(best, 1) {
		return lateSlack
	}
	return best
}

const (
	pessimism    = 1.3 // by which runs are taken to be longer than expected
	restartTakes = 4   // seconds from a decision to a task's run, image included
)

// limits are the ages at which the job should be done.
func (o *Scheduler) limits(j *Job) []float64 {
	if j.doneLimits == nil {
		j.doneLimits = []float64{}
		for _, aim := range o.cfg.Params.Objectives {
			switch {
			case aim.Class != j.Spec.Class:
			case aim.Kind == "finished":
				j.doneLimits = append(j.doneLimits, aim.WithinS)
			case aim.Kind == "deadline" && j.Spec.DueS != nil:
				j.doneLimits = append(j.doneLimits, *j.Spec.DueS*max(1, aim.Times))
			}
		}
		if j.Spec.DueS != nil {
			j.doneLimits = append(j.doneLimits, *j.Spec.DueS)
		}
	}
	return j.doneLimits
}

// AdmittedWork returns how much work, in CPU-seconds, has been accepted since this
// owner began.
func (o *Scheduler) AdmittedWork() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.admitted
}

// SetCordoned tells which machines take no new work, so that they fall idle and
// can be returned.
func (o *Scheduler) SetCordoned(names map[string]bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, m := range o.machines {
		m.Cordoned = names[name]
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
func (o *Scheduler) LeadsAutoscaling() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, first := o.loaded[0]
	return first && o.member.LeaseRemaining() > 0
}
