package scheduler

import (
	"math"
	"time"

	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

// Demand is work that waits.
type Demand struct {
	Shape matching.Shape `json:"Shape"`
	Job   *wire.Job      `json:"Job"`
	Count int            `json:"Count"`
	Run   float64        `json:"Run"`
	Rank  int            `json:"Rank"`
	Slack float64        `json:"Slack"` // how long it may wait and still meet an aim that a new machine can help with
}

// demandKey is what makes waiting work alike for planning.
type demandKey struct {
	room       roomKey
	rank       int
	run, slack int
}

// nearly is the same for times, in seconds, that differ by less than about a tenth.
func nearly(s float64) int { return int(math.Log(max(s, 1)) / math.Log(1.1)) }

// Demand returns the work that has no machine yet, most urgent first, and what
// each machine's future looks like. boot is how long a new machine takes.
func (o *Owner) Demand(boot float64) ([]Demand, []Load) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.now = time.Now()
	var waiting []*job
	count := map[*job]int{}
	for _, j := range o.order {
		if j.cancelled || j.ended != "" {
			continue
		}
		n := o.wants(j) // machines are rented for all of it
		for _, ps := range j.places {
			waits := true
			for _, p := range ps {
				waits = waits && !p.on() && !p.exited
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
		d := Demand{Shape: j.shape, Job: j.spec, Count: count[j], Run: j.runEstimate(), Rank: j.spec.Rank(), Slack: o.slack(j, boot)}
		if d.Job.Gang() || d.Job.Service() {
			ds = append(ds, d)
			continue
		}
		key := demandKey{j.roomKey(), d.Rank, nearly(d.Run), nearly(d.Slack)}
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
	var ls []Load
	for _, m := range o.machines {
		m.kind, _ = o.types.Type(m.view.Type) // prices move
		l := Load{Name: m.name, Type: m.view.Type, Zone: m.view.Zone, Spot: m.view.Spot, Matrix: m.matrix, Heard: m.heard, Existed: later(m.heard, m.since),
			Places: len(m.places), Notice: !m.notice.IsZero(), Faulty: m.faulty()}
		for p := range m.places {
			if p.on() {
				l.Used = l.Used.Add(p.job.shape, 1)
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
func (o *Owner) slack(j *job, boot float64) float64 {
	age := o.now.Sub(j.accepted).Seconds()
	run := pessimism*j.runEstimate() + restartTakes
	best := math.Inf(1)
	offer := func(s float64) {
		if s >= boot && s < best {
			best = s
		}
	}
	for _, within := range j.class.starts {
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
func (o *Owner) limits(j *job) []float64 {
	if j.ends == nil {
		j.ends = []float64{}
		for _, aim := range o.cfg.Params.Objectives {
			switch {
			case aim.Class != j.spec.Class:
			case aim.Kind == "finished":
				j.ends = append(j.ends, aim.WithinS)
			case aim.Kind == "deadline" && j.spec.DueS != nil:
				j.ends = append(j.ends, *j.spec.DueS*max(1, aim.Times))
			}
		}
		if j.spec.DueS != nil {
			j.ends = append(j.ends, *j.spec.DueS)
		}
	}
	return j.ends
}

// Admitted returns how much work, in CPU-seconds, has been accepted since this
// owner began.
func (o *Owner) Admitted() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.admitted
}

// Closing tells which machines take no new work, so that they fall idle and
// can be returned.
func (o *Owner) Closing(names map[string]bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, m := range o.machines {
		m.closing = names[name]
	}
}

// Load is a machine as fleet planning sees it.
type Load struct {
	Name    string          `json:"Name"`
	Type    string          `json:"Type"`
	Zone    string          `json:"Zone"`
	Spot    bool            `json:"Spot"`
	Notice  bool            `json:"Notice"`
	Faulty  bool            `json:"Faulty"`
	Matrix  matching.Matrix `json:"Matrix"`
	Used    matching.Shape  `json:"Used"`
	Heard   time.Time       `json:"Heard"`
	Existed time.Time       `json:"Existed"` // when it was last heard, or when this owner took over what it knows of it
	Places  int             `json:"Places"`
}

// Leads reports whether this owner leads the fleet: it owns the first shard.
func (o *Owner) Leads() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, first := o.loaded[0]
	return first && o.member.Held() > 0
}
