package scale

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"
)

// Result is what a run measured.
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
		CPUSeconds float64 `json:"hollow_cpu_s"` // of this process: hollow workers, services, users
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

// PhaseResult is a phase's starts and waits.
type PhaseResult struct {
	Name        string  `json:"name"`
	Seconds     float64 `json:"seconds"`
	StartsAsked float64 `json:"starts_asked_per_s"`
	StartsHeld  float64 `json:"starts_held_per_s"`
	StartsLow10 float64 `json:"starts_lowest_10s_per_s"` // 0 if the phase is shorter
	GapS        float64 `json:"longest_without_a_start_s"`
	Urgent      int     `json:"urgent"`
	UrgentShare float64 `json:"urgent_within_share"`
	UrgentP50S  float64 `json:"urgent_p50_s"`
	UrgentP99S  float64 `json:"urgent_p99_s"`
	AcceptP99S  float64 `json:"accepted_p99_s"`
	Writes      float64 `json:"state_writes_per_start"`
	BusiestCPU  float64 `json:"busiest_controller_cpu"` // mean share of a core
	Stopped     int     `json:"attempts_stopped"`
	Refused     int     `json:"jobs_refused"`
	Unanswered  int     `json:"jobs_unanswered"`
}

// RecoveryResult tells when the tasks of an event were restored: started again, found
// running, or completed.
type RecoveryResult struct {
	Event    string  `json:"event"`
	Workers  int     `json:"workers"`
	Tasks    int     `json:"tasks"`
	Restored int     `json:"restored"`
	P50S     float64 `json:"p50_s"`
	P99S     float64 `json:"p99_s"`
	MaxS     float64 `json:"max_s"`
}

// Rules counts what must never happen.
type Rules struct {
	RanTwice  int `json:"ran_twice"`
	OverLimit int `json:"starts_above_a_limit"`
	NotDone   int `json:"called_over_too_early"`
	Unknown   int `json:"accepted_jobs_unknown"`
}

// Broken reports whether a rule was broken.
func (r Rules) Broken() bool { return r != Rules{} }

// TaskResult is what became of the tasks of accepted arrays.
type TaskResult struct {
	Asked     int `json:"asked"`
	Completed int `json:"completed"`
	Left      int `json:"uncompleted_at_the_end"` // lost, or not reached in time
}

// TeamResult is a team's part, in CPUs and tasks of arrays.
type TeamResult struct {
	Name      string  `json:"name"`
	Guarantee float64 `json:"guarantee"`
	Limit     float64 `json:"limit"`
	Most      float64 `json:"most_used"`
	Over      int     `json:"starts_above_limit"`
	Asked     int     `json:"asked"`
	Served    int     `json:"served"`
}

// ControllerResult is what a controller took.
type ControllerResult struct {
	Name         string  `json:"name"`
	CPUMean      float64 `json:"cpu_mean"` // shares of a core
	CPUPeak      float64 `json:"cpu_peak_5s"`
	MemoryMB     float64 `json:"runtime_memory_peak_mb"` // seen every 5 s
	Connections  int     `json:"inbound_connections_peak"`
	StateReads   float64 `json:"state_reads_per_s"`
	StateWatches float64 `json:"state_watches_per_s"`
	StateTxns    float64 `json:"state_transactions_per_s"`
	StateWrites  float64 `json:"state_writes_per_s"`
	StateRefused int64   `json:"state_refused"`
	ReportBytes  float64 `json:"report_bytes_per_s"`
	Unread       int     `json:"usage_not_read"`
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// result sums the run up.
func (r *Run) result(loadBefore float64) *Result {
	out := &Result{Samples: r.samples}
	s, t := r.Settings, r.track
	t.mu.Lock()
	defer t.mu.Unlock()
	out.Size.Workers, out.Size.Controllers, out.Size.Teams, out.Size.Running = s.Workers, s.Controllers, len(s.Teams), s.Running
	out.Host.CPUs, out.Host.LoadBefore, out.Host.LoadAfter = runtime.NumCPU(), loadBefore, hostLoad()
	var ru syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &ru) == nil {
		out.Host.CPUSeconds = time.Duration(ru.Utime.Nano() + ru.Stime.Nano()).Seconds()
		out.Host.MemoryMB = float64(ru.Maxrss) / 1024
	}
	for _, j := range t.jobs {
		if j.Priority == priorityUrgent && !j.began {
			t.countUrgent(j, time.Now()) // not started at all
		}
	}
	for _, p := range r.phases {
		out.Phases = append(out.Phases, r.phaseResult(p))
	}
	for _, e := range t.events {
		out.Recoveries = append(out.Recoveries, RecoveryResult{e.Event, e.Workers, e.Tasks, e.restored, quantile(e.took, 50), quantile(e.took, 99), float64(e.took.Max()) / 1000})
	}
	out.Rules = Rules{RanTwice: t.ranTwice, NotDone: t.notDone, Unknown: t.unknown}
	for _, team := range s.Teams {
		st := t.teams[team.Name]
		out.Teams = append(out.Teams, TeamResult{team.Name, team.Guarantee, team.Limit, st.most, st.over, st.asked, st.served})
		out.Rules.OverLimit += st.over
		out.Tasks.Asked += st.asked
		out.Tasks.Completed += st.served
	}
	out.Tasks.Left = out.Tasks.Asked - out.Tasks.Completed
	length := r.phases[len(r.phases)-1].ended.Sub(r.phases[0].began).Seconds()
	for _, c := range r.controllers {
		out.Controllers = append(out.Controllers, c.result(length))
	}
	return out
}

func (r *Run) phaseResult(p *phase) PhaseResult {
	length := p.ended.Sub(p.began).Seconds()
	out := PhaseResult{
		Name: p.name, Seconds: length, StartsAsked: p.asked, StartsHeld: float64(p.starts) / length, StartsLow10: lowest10(p.secondly, int(length)),
		GapS: p.gap.Seconds(), Urgent: p.urgent, UrgentP50S: quantile(p.wait, 50), UrgentP99S: quantile(p.wait, 99),
		AcceptP99S: quantile(p.accept, 99), Stopped: p.stopped, Refused: p.refused, Unanswered: p.unanswered,
	}
	if p.starts > 0 {
		out.Writes = float64(p.writes) / float64(p.starts)
	}
	out.BusiestCPU = r.busiest(p.name)
	if p.urgent > 0 {
		out.UrgentShare = 1 - float64(p.late)/float64(p.urgent)
	}
	return out
}

// busiest is the mean share of a core of the controller that took most in a phase.
func (r *Run) busiest(phase string) (share float64) {
	sums, n := make([]float64, len(r.controllers)), 0.0
	for _, s := range r.samples {
		if s.Phase != phase || s.Controllers == nil {
			continue
		}
		n++
		for i, c := range s.Controllers {
			sums[i] += c
		}
	}
	if n == 0 {
		return 0
	}
	return slices.Max(sums) / n
}

// lowest10 is the lowest rate over ten seconds in a row.
func lowest10(secondly []int, length int) float64 {
	const window = 10
	for len(secondly) < length {
		secondly = append(secondly, 0)
	}
	if length < window {
		return 0
	}
	sum, low := 0, 0
	for i, n := range secondly[:length] {
		sum += n
		if i >= window {
			sum -= secondly[i-window]
		}
		if i == window-1 || i >= window && sum < low {
			low = sum
		}
	}
	return float64(low) / window
}

func (c *controller) result(length float64) ControllerResult {
	c.usage.mu.Lock()
	defer c.usage.mu.Unlock()
	return ControllerResult{
		Name: c.Name, CPUMean: c.usage.cpuS / length, CPUPeak: c.usage.peakCPU, MemoryMB: c.usage.memoryMB, Connections: c.usage.inbound,
		StateReads: float64(c.counts.Reads.Load()) / length, StateWatches: float64(c.counts.Watches.Load()) / length,
		StateTxns: float64(c.counts.Transactions.Load()) / length, StateWrites: float64(c.counts.Writes.Load()) / length,
		StateRefused: c.counts.Refused.Load(), ReportBytes: float64(c.bytes.Load()) / length, Unread: c.usage.failures,
	}
}

// Print writes the result as text.
func (r *Result) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%d workers, %d controllers, %d teams, %d tasks running; load of the host %.1f before, %.1f after, %d CPUs\n\n", r.Size.Workers, r.Size.Controllers,
		r.Size.Teams, r.Size.Running, r.Host.LoadBefore, r.Host.LoadAfter, r.Host.CPUs)
	fmt.Fprintln(t, "PHASE\tS\tSTARTS/S ASKED\tHELD\tLOWEST 10 S\tNO START S\tURGENT\tIN TIME\tP50 S\tP99 S\tACCEPTED P99 S\tWRITES/START\tBUSIEST CPU\tSTOPPED\tREFUSED\tUNANSWERED")
	for _, p := range r.Phases {
		fmt.Fprintf(t, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%d\t%.3f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%d\t%d\n", p.Name, p.Seconds, p.StartsAsked, p.StartsHeld, p.StartsLow10, p.GapS,
			p.Urgent, p.UrgentShare, p.UrgentP50S, p.UrgentP99S, p.AcceptP99S, p.Writes, p.BusiestCPU, p.Stopped, p.Refused, p.Unanswered)
	}
	fmt.Fprintln(t, "\nEVENT\tWORKERS\tTASKS\tRESTORED\tP50 S\tP99 S\tMAX S")
	for _, e := range r.Recoveries {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\n", e.Event, e.Workers, e.Tasks, e.Restored, e.P50S, e.P99S, e.MaxS)
	}
	fmt.Fprintln(t, "\nCONTROLLER\tCPU\tPEAK\tMB\tCONNECTIONS\tREADS/S\tWATCHES/S\tTXNS/S\tWRITES/S\tREFUSED\tREPORT KB/S")
	for _, c := range r.Controllers {
		fmt.Fprintf(t, "%s\t%.2f\t%.2f\t%.0f\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%.1f\n", c.Name, c.CPUMean, c.CPUPeak, c.MemoryMB, c.Connections, c.StateReads, c.StateWatches,
			c.StateTxns, c.StateWrites, c.StateRefused, c.ReportBytes/1024)
	}
	least := slices.MinFunc(r.Teams, func(a, b TeamResult) int { return a.Served*max(1, b.Asked) - b.Served*max(1, a.Asked) })
	fmt.Fprintf(t, "\narrays' tasks: %d of %d completed, %d left\tteam served least: %s, %d of %d\n", r.Tasks.Completed, r.Tasks.Asked, r.Tasks.Left, least.Name, least.Served, least.Asked)
	fmt.Fprintf(t, "hollow workers, services and users together: %.0f s of processor, %.0f MB\n", r.Host.CPUSeconds, r.Host.MemoryMB)
	fmt.Fprintf(t, "rules: ran twice %d, starts above a limit %d, called over too early %d, accepted jobs unknown %d\n", r.Rules.RanTwice, r.Rules.OverLimit, r.Rules.NotDone, r.Rules.Unknown)
	return t.Flush()
}

// Plot writes a page with the run's course. The page loads its drawing library from
// the network.
func (r *Result) Plot(w io.Writer) error {
	page := components.NewPage()
	page.PageTitle = "wallrack scale"
	add := func(title string, series map[string]func(Sample) any, keep func(Sample) bool) {
		chart := charts.NewLine()
		chart.SetGlobalOptions(charts.WithTitleOpts(opts.Title{Title: title}), charts.WithInitializationOpts(opts.Initialization{Height: "280px", Width: "1100px"}),
			charts.WithLegendOpts(opts.Legend{Show: opts.Bool(true), Top: "25"}))
		var at []string
		data := map[string][]opts.LineData{}
		for _, s := range r.Samples {
			if !keep(s) {
				continue
			}
			at = append(at, fmt.Sprintf("%.0f s, %s", s.AtS, s.Phase))
			for name, of := range series {
				data[name] = append(data[name], opts.LineData{Value: of(s)})
			}
		}
		chart.SetXAxis(at)
		for name := range series {
			chart.AddSeries(name, data[name])
		}
		page.AddCharts(chart)
	}
	all := func(Sample) bool { return true }
	add("starts a second", map[string]func(Sample) any{"starts": func(s Sample) any { return s.Starts }}, all)
	add("tasks", map[string]func(Sample) any{"running": func(s Sample) any { return s.Running }, "of arrays, uncompleted": func(s Sample) any { return s.Unfinished }}, all)
	shares := map[string]func(Sample) any{}
	for i, c := range r.Controllers {
		shares[c.Name] = func(s Sample) any { return s.Controllers[i] }
	}
	add("controllers, shares of a core", shares, func(s Sample) bool { return s.Controllers != nil })
	if err := page.Render(w); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
