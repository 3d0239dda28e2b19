package scale

import (
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the measurements of a run, in the format of scale.json.
type Result struct {
	Size struct {
		Workers     int `json:"workers"`
		Controllers int `json:"controllers"`
		Teams       int `json:"teams"`
		Running     int `json:"running"`
	} `json:"size"`
	Host struct {
		CPUs       int     `json:"cpus"`
		LoadBefore float64 `json:"load_before"`
		LoadAfter  float64 `json:"load_after"`
		CPUSeconds float64 `json:"hollow_cpu_s"` // used by this process: hollow workers, services and users
		MemoryMB   float64 `json:"hollow_memory_mb"`
	} `json:"host"`
	Phases      []PhaseResult      `json:"phases"`
	Recoveries  []RecoveryResult   `json:"recoveries"`
	Rules       Rules              `json:"rules"`
	Tasks       TaskResult         `json:"tasks"`
	Teams       []TeamResult       `json:"teams"`
	Controllers []ControllerResult `json:"controllers"`
	Samples     []Sample           `json:"samples"`
}

// PhaseResult holds the starts and waiting times of a phase.
type PhaseResult struct {
	Name            string  `json:"name"`
	Seconds         float64 `json:"seconds"`
	StartsRequested float64 `json:"starts_asked_per_s"`
	StartsAchieved  float64 `json:"starts_held_per_s"`
	StartsLow10     float64 `json:"starts_lowest_10s_per_s"` // 0 if the phase is shorter than 10 s
	GapS            float64 `json:"longest_without_a_start_s"`
	Urgent          int     `json:"urgent"`
	UrgentShare     float64 `json:"urgent_within_share"`
	UrgentP50S      float64 `json:"urgent_p50_s"`
	UrgentP99S      float64 `json:"urgent_p99_s"`
	AcceptP99S      float64 `json:"accepted_p99_s"`
	Writes          float64 `json:"state_writes_per_start"`
	BusiestCPU      float64 `json:"busiest_controller_cpu"` // mean, as a share of one core
	Stopped         int     `json:"attempts_stopped"`
	Refused         int     `json:"jobs_refused"`
	Unanswered      int     `json:"jobs_unanswered"`
}

// RecoveryResult reports how long it took until the tasks affected by an event were restored:
// started again, found still running, or completed.
type RecoveryResult struct {
	Event    string  `json:"event"`
	Workers  int     `json:"workers"`
	Tasks    int     `json:"tasks"`
	Restored int     `json:"restored"`
	P50S     float64 `json:"p50_s"`
	P99S     float64 `json:"p99_s"`
	MaxS     float64 `json:"max_s"`
}

// Rules counts violations of the rules that must always hold.
type Rules struct {
	RanTwice  int `json:"ran_twice"`
	OverLimit int `json:"starts_above_a_limit"`
	NotDone   int `json:"called_over_too_early"` // wallrack scale prints the fields under their Go names
	Unknown   int `json:"accepted_jobs_unknown"`
}

// Broken reports whether there was any violation.
func (r Rules) Broken() bool { return r != Rules{} }

// TaskResult counts the tasks of accepted job arrays.
type TaskResult struct {
	Asked     int `json:"asked"`
	Completed int `json:"completed"`
	Left      int `json:"uncompleted_at_the_end"` // lost, or not completed before the end of the run
}

// TeamResult holds a team's guarantee, limit and highest usage in CPUs, the number of its task starts
// above the limit, and how many of its job array tasks were accepted and completed.
type TeamResult struct {
	Name      string  `json:"name"`
	Guarantee float64 `json:"guarantee"`
	Limit     float64 `json:"limit"`
	MostUsed  float64 `json:"most_used"`
	OverLimit int     `json:"starts_above_limit"`
	Requested int     `json:"asked"`
	Completed int     `json:"served"`
}

// ControllerResult holds the resource usage of a controller.
type ControllerResult struct {
	Name         string  `json:"name"`
	CPUMean      float64 `json:"cpu_mean"` // as a share of one core
	CPUPeak      float64 `json:"cpu_peak_5s"`
	MemoryMB     float64 `json:"runtime_memory_peak_mb"` // sampled every 5 s
	Connections  int     `json:"inbound_connections_peak"`
	StateReads   float64 `json:"state_reads_per_s"`
	StateWatches float64 `json:"state_watches_per_s"`
	StateTxns    float64 `json:"state_transactions_per_s"`
	StateWrites  float64 `json:"state_writes_per_s"`
	StateRefused int64   `json:"state_refused"`
	ReportBytes  float64 `json:"report_bytes_per_s"`
	Unread       int     `json:"usage_not_read"`
}

// quantile returns the q-th percentile of a histogram of milliseconds, in seconds.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// result computes the result of the run. Urgent jobs that were never started count as late.
func (r *Run) result(loadBefore float64) *Result {
	out := &Result{Samples: r.samples}
	s, t := r.Settings, r.track
	t.mu.Lock()
	defer t.mu.Unlock()
	out.Size.Workers, out.Size.Controllers, out.Size.Teams, out.Size.Running = s.Workers, s.Controllers, len(s.Teams), s.Running
	out.addHost(loadBefore)
	for _, job := range t.jobs {
		if job.Priority == priorityUrgent && !job.started {
			t.countUrgent(job, time.Now()) // the wait ends with the run
		}
	}
	for _, p := range r.phases {
		out.Phases = append(out.Phases, r.phaseResult(p))
	}
	for _, e := range t.recoveries {
		out.Recoveries = append(out.Recoveries, e.result())
	}
	out.Rules = Rules{RanTwice: t.ranTwice, NotDone: t.prematureEnds, Unknown: t.unknown}
	for _, team := range s.Teams {
		state := t.teams[team.Name]
		out.Teams = append(out.Teams, TeamResult{
			Name: team.Name, Guarantee: team.Guarantee, Limit: team.Limit, MostUsed: state.mostUsed,
			OverLimit: state.overLimit, Requested: state.requested, Completed: state.completed,
		})
		out.Rules.OverLimit += state.overLimit
		out.Tasks.Asked += state.requested
		out.Tasks.Completed += state.completed
	}
	out.Tasks.Left = out.Tasks.Asked - out.Tasks.Completed
	durationS := r.phases[len(r.phases)-1].endedAt.Sub(r.phases[0].startedAt).Seconds()
	for _, c := range r.controllers {
		out.Controllers = append(out.Controllers, c.result(durationS))
	}
	return out
}

// addHost adds the host's load and the resource usage of this process.
func (r *Result) addHost(loadBefore float64) {
	r.Host.CPUs, r.Host.LoadBefore, r.Host.LoadAfter = runtime.NumCPU(), loadBefore, hostLoad()
	var used syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &used) == nil {
		r.Host.CPUSeconds = time.Duration(used.Utime.Nano() + used.Stime.Nano()).Seconds()
		r.Host.MemoryMB = float64(used.Maxrss) / 1024
	}
}

func (r *recovery) result() RecoveryResult {
	return RecoveryResult{
		Event: r.event, Workers: r.workers, Tasks: r.tasks, Restored: r.restored,
		P50S: quantile(r.duration, 50), P99S: quantile(r.duration, 99), MaxS: float64(r.duration.Max()) / 1000,
	}
}

func (r *Run) phaseResult(p *phase) PhaseResult {
	durationS := p.endedAt.Sub(p.startedAt).Seconds()
	out := PhaseResult{
		Name: p.name, Seconds: durationS, StartsRequested: p.requested, StartsAchieved: float64(p.starts) / durationS, StartsLow10: lowestRate10s(p.startsPerSecond, int(durationS)),
		GapS: p.longestGap.Seconds(), Urgent: p.urgent, UrgentP50S: quantile(p.urgentWait, 50), UrgentP99S: quantile(p.urgentWait, 99),
		AcceptP99S: quantile(p.acceptWait, 99), Stopped: p.stopped, Refused: p.refused, Unanswered: p.unanswered,
	}
	if p.starts > 0 {
		out.Writes = float64(p.writes) / float64(p.starts)
	}
	out.BusiestCPU = r.busiestCPU(p.name)
	if p.urgent > 0 {
		out.UrgentShare = 1 - float64(p.urgentLate)/float64(p.urgent)
	}
	return out
}

// busiestCPU returns the mean CPU usage of the controller that used the most CPU in a
// phase, as a share of one core.
func (r *Run) busiestCPU(phase string) (share float64) {
	sums, readings := make([]float64, len(r.controllers)), 0.0
	for _, s := range r.samples {
		if s.Phase != phase || s.Controllers == nil {
			continue
		}
		readings++
		for i, used := range s.Controllers {
			sums[i] += used
		}
	}
	if readings == 0 {
		return 0
	}
	return slices.Max(sums) / readings
}

// lowestRate10s returns the lowest average rate per second over any ten consecutive seconds
// within the first length seconds, or 0 if length is below ten.
func lowestRate10s(startsPerSecond []int, length int) float64 {
	const window = 10
	for len(startsPerSecond) < length {
		startsPerSecond = append(startsPerSecond, 0)
	}
	if length < window {
		return 0
	}
	sum, low := 0, 0
	for i, starts := range startsPerSecond[:length] {
		sum += starts
		if i >= window {
			sum -= startsPerSecond[i-window]
		}
		if i == window-1 || i >= window && sum < low {
			low = sum
		}
	}
	return float64(low) / window
}

func (c *controller) result(durationS float64) ControllerResult {
	c.usage.mu.Lock()
	defer c.usage.mu.Unlock()
	return ControllerResult{
		Name: c.Name, CPUMean: c.usage.cpuS / durationS, CPUPeak: c.usage.peakCPU, MemoryMB: c.usage.maxMemoryMB, Connections: c.usage.maxConnections,
		StateReads: float64(c.counts.Reads.Load()) / durationS, StateWatches: float64(c.counts.Watches.Load()) / durationS,
		StateTxns: float64(c.counts.Transactions.Load()) / durationS, StateWrites: float64(c.counts.Writes.Load()) / durationS,
		StateRefused: c.counts.Refused.Load(), ReportBytes: float64(c.reportBytes.Load()) / durationS, Unread: c.usage.failedReadings,
	}
}
