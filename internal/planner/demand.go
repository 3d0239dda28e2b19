package planner

import (
	"math"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

// Demand is waiting tasks of a job, or of several jobs that are alike for planning.
type Demand struct {
	Resources matching.Resources `json:"Shape"` // of a task
	Job       *wire.Job          `json:"Job"`   // one of the jobs
	Count     int                `json:"Count"` // of tasks
	RunS      float64            `json:"Run"`   // seconds that a task is expected to run, on average
	Rank      int                `json:"Rank"`
	SlackS    float64            `json:"Slack"` // seconds that it may wait and still meet an aim that a new worker can help with
}

// WorkerLoad is a worker as the autoscaler sees it.
type WorkerLoad struct {
	Name          string              `json:"Name"`
	Type          string              `json:"Type"`
	Zone          string              `json:"Zone"`
	Spot          bool                `json:"Spot"`
	Notice        bool                `json:"Notice"` // the cloud takes the machine soon
	Faulty        bool                `json:"Faulty"` // it fails tasks that run elsewhere
	Matrix        matching.WaitMatrix `json:"Matrix"`
	Used          matching.Resources  `json:"Used"`    // by tasks that may run
	LastHeartbeat time.Time           `json:"Heard"`   // last heartbeat
	LastKnown     time.Time           `json:"Existed"` // last heartbeat, or when this leader first knew of the worker
	Placements    int                 `json:"Places"`  // placements
}

// Demand returns the work that waits for a worker, most urgent first, and the load of each
// worker. A new worker is ready after bootS seconds. It takes the state's Mu.
func (p *Planner) Demand(bootS float64) ([]Demand, []WorkerLoad) {
	p.state.Mu.Lock()
	defer p.state.Mu.Unlock()
	p.state.Now = time.Now()
	waiting, tasks := p.jobsWithDemand()
	p.SortJobs(waiting)
	return p.groupDemand(waiting, tasks, bootS), p.workerLoads()
}

// jobsWithDemand lists the jobs with tasks that wait, and how many tasks of each do.
func (p *Planner) jobsWithDemand() (waiting []*jobstate.Job, tasks map[*jobstate.Job]int) {
	tasks = map[*jobstate.Job]int{}
	for _, job := range p.state.JobOrder {
		if job.Cancelled || job.EndStage != "" {
			continue
		}
		n := p.state.EligibleTasks(job) // workers are provisioned for all of it
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

// mayRunOrExited reports whether a placement is more than queued.
func mayRunOrExited(placement *jobstate.Placement) bool {
	return placement.MayRun() || placement.Exited
}

// demandKey is what makes waiting work alike for planning.
type demandKey struct {
	requirements jobstate.Requirements
	rank         int
	run, slack   int // see logScale
}

// logBucket is the same for times, in seconds, that differ by less than about a tenth.
func logBucket(s float64) int { return int(math.Log(max(s, 1)) / math.Log(1.1)) }

// groupDemand returns the demand of the jobs in their order, with that of jobs alike, gangs
// and services aside, in one: many small jobs, each planned for itself, take a small
// controller's processor for seconds.
func (p *Planner) groupDemand(jobs []*jobstate.Job, tasks map[*jobstate.Job]int, bootS float64) []Demand {
	groups := make([]Demand, 0, len(jobs))
	indexOf := map[demandKey]int{}
	for _, job := range jobs {
		demand := Demand{
			Resources: job.Resources, Job: job.Spec, Count: tasks[job], RunS: job.RunEstimate(), Rank: job.Spec.Rank(), SlackS: p.slack(job, bootS),
		}
		if job.Spec.Gang() || job.Spec.Service() {
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

// merge adds the tasks of another demand that is alike.
func (d *Demand) merge(other *Demand) {
	sum := float64(d.Count + other.Count)
	d.RunS = (d.RunS*float64(d.Count) + other.RunS*float64(other.Count)) / sum
	d.SlackS = min(d.SlackS, other.SlackS)
	d.Count += other.Count
}

// workerLoads describes all workers; nil if there are none.
func (p *Planner) workerLoads() []WorkerLoad {
	loads := slices.Grow([]WorkerLoad(nil), len(p.state.Workers))
	for _, worker := range p.state.Workers {
		worker.Type, _ = p.state.MachineTypes.Type(worker.View.Type) // prices change
		load := WorkerLoad{
			Name: worker.Name, Type: worker.View.Type, Zone: worker.View.Zone, Spot: worker.View.Spot, Matrix: worker.Matrix,
			LastHeartbeat: worker.LastHeartbeat, LastKnown: jobstate.Later(worker.LastHeartbeat, worker.KnownSince),
			Placements: len(worker.Placements), Notice: !worker.ReclaimAt.IsZero(), Faulty: worker.Faulty(),
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
