package planner

import (
	"math"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

// Demand is a group of waiting tasks, of one job or of several jobs that are equivalent for
// planning.
type Demand struct {
	Resources matching.Resources `json:"Shape"` // of one task
	Job       *wire.Job          `json:"Job"`   // one of the jobs
	Count     int                `json:"Count"` // number of tasks
	RunS      float64            `json:"Run"`   // expected run time of a task in seconds, on average
	Rank      int                `json:"Rank"`
	SlackS    float64            `json:"Slack"` // seconds that a task may still wait without missing an objective, see Planner.slack
	// ZoneUse counts the job's tasks that may be running, so that the zone rules of the job can be
	// applied to the waiting ones; nil if it has none.
	ZoneUse *jobstate.ZoneUse `json:"ZoneUse,omitempty"`
}

// WorkerLoad is a worker as the autoscaler sees it.
type WorkerLoad struct {
	Name          string              `json:"Name"`
	Type          string              `json:"Type"`
	Zone          string              `json:"Zone"`
	Spot          bool                `json:"Spot"`
	Notice        bool                `json:"Notice"` // the cloud has given notice that it reclaims the machine
	Faulty        bool                `json:"Faulty"` // tasks of several jobs fail on it
	Matrix        matching.WaitMatrix `json:"Matrix"`
	Used          matching.Resources  `json:"Used"`               // by placements that may be running
	LastHeartbeat time.Time           `json:"Heard"`              // time of the last heartbeat
	LastKnown     time.Time           `json:"Existed"`            // time of the last heartbeat, or when this leader first learned of the worker if that is later
	Placements    int                 `json:"Places"`             // number of placements
	Draining      bool                `json:"Draining,omitempty"` // its dispatcher starts no tasks on it
}

// Demand returns the work that waits for workers, in scheduling order, and the load of each
// worker. bootS is the time in seconds until a new worker is ready. It locks the state's Mu.
func (p *Planner) Demand(bootS float64) ([]Demand, []WorkerLoad) {
	p.state.Mu.Lock()
	defer p.state.Mu.Unlock()
	p.state.Now = time.Now()
	waiting, tasks := p.jobsWithDemand()
	p.SortJobs(waiting)
	return p.groupDemand(waiting, tasks, bootS), p.workerLoads()
}

// jobsWithDemand returns the jobs with waiting tasks, and the number of waiting tasks of each: the
// eligible pending tasks, and the tasks without a placement that may run or has exited.
func (p *Planner) jobsWithDemand() (waiting []*jobstate.Job, tasks map[*jobstate.Job]int) {
	tasks = map[*jobstate.Job]int{}
	for _, job := range p.state.JobOrder {
		if job.Cancelled || job.EndStage != "" {
			continue
		}
		n := p.state.EligibleTasks(job) // all eligible tasks, not only those placeable in this pass
		for _, placements := range job.Placements {
			if !slices.ContainsFunc(placements, mayRunOrExited) {
				n++
			}
		}
		if n > 0 {
			waiting = append(waiting, job)
			tasks[job] = n
		}
	}
	return waiting, tasks
}

// mayRunOrExited reports whether a placement was granted or has exited.
func mayRunOrExited(placement *jobstate.Placement) bool {
	return placement.MayRun() || placement.Exited
}

// demandKey identifies jobs whose waiting tasks are equivalent for planning.
type demandKey struct {
	requirements jobstate.Requirements
	rank         int
	run, slack   int // see logBucket
}

// logBucket maps a time in seconds to a logarithmic bucket: times that differ by less than about
// a tenth share one.
func logBucket(s float64) int { return int(math.Log(max(s, 1)) / math.Log(1.1)) }

// groupDemand returns the demand of the jobs in their order. Equivalent jobs, except gangs,
// services and jobs with a zone rule, are merged into one entry: planning many small jobs one by one
// would occupy a small controller's processor for seconds.
func (p *Planner) groupDemand(jobs []*jobstate.Job, tasks map[*jobstate.Job]int, bootS float64) []Demand {
	groups := make([]Demand, 0, len(jobs))
	indexOf := map[demandKey]int{}
	for _, job := range jobs {
		demand := Demand{
			Resources: job.Resources, Job: job.Spec, Count: tasks[job], RunS: job.RunEstimate(), Rank: job.Spec.Rank(), SlackS: p.slack(job, bootS),
		}
		if job.Spec.HasZoneRule() {
			use := job.ZoneUse.Clone()
			demand.ZoneUse = &use
		}
		if job.Spec.Gang() || job.Spec.Service() || job.Spec.HasZoneRule() {
			groups = append(groups, demand)
			continue
		}
		key := demandKey{job.Requirements(), demand.Rank, logBucket(demand.RunS), logBucket(demand.SlackS)}
		i, known := indexOf[key]
		if !known {
			indexOf[key] = len(groups)
			groups = append(groups, demand)
			continue
		}
		groups[i].merge(&demand)
	}
	return groups
}

// merge adds the tasks of an equivalent demand.
func (d *Demand) merge(other *Demand) {
	sum := float64(d.Count + other.Count)
	d.RunS = (d.RunS*float64(d.Count) + other.RunS*float64(other.Count)) / sum
	d.SlackS = min(d.SlackS, other.SlackS)
	d.Count += other.Count
}

// workerLoads returns the load of every worker; nil if there are none.
func (p *Planner) workerLoads() []WorkerLoad {
	loads := slices.Grow([]WorkerLoad(nil), len(p.state.Workers))
	for _, worker := range p.state.Workers {
		worker.Type, _ = p.state.MachineTypes.Type(worker.View.Type) // refreshed, because prices change
		load := WorkerLoad{
			Name: worker.Name, Type: worker.View.Type, Zone: worker.View.Zone, Spot: worker.View.Spot, Matrix: worker.Matrix,
			LastHeartbeat: worker.LastHeartbeat, LastKnown: jobstate.Later(worker.LastHeartbeat, worker.KnownSince),
			Placements: len(worker.Placements), Draining: worker.View.Draining, Notice: !worker.ReclaimAt.IsZero(), Faulty: worker.Faulty(),
		}
		for placement := range worker.Placements {
			if placement.MayRun() {
				load.Used = load.Used.Add(placement.Job.Resources, 1)
			}
		}
		loads = append(loads, load)
	}
	return loads
}
