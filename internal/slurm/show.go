package slurm

import (
	"fmt"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// ShowJob writes a job as scontrol show job does, as far as it is known.
func ShowJob(i *jobquery.Info, zone *time.Location) string {
	var b strings.Builder
	p := func(format string, args ...any) { fmt.Fprintf(&b, format, args...) }
	if i.Constraints == nil {
		// It is over: its final state is kept for ever, all else is accounting's.
		e := i.Ending
		if e == nil {
			e = &jobspec.Ending{State: map[string]string{wire.StageDone: jobspec.Completed}[i.Stage]}
			e.State = dash(e.State, jobspec.Cancelled)
		}
		p("JobId=%d WallrackUID=%s\n   JobState=%s Reason=None ExitCode=%s\n   StartTime=%s EndTime=%s\n   DoneTasks=%d FailedTasks=%d\n\n",
			e.Number, i.Job.UID, e.State, exitCode(e.Exit), stamp(e.StartMs, "Unknown", zone), stamp(e.EndMs, "Unknown", zone), i.Done, e.Failed)
		return b.String()
	}
	t, j := i.Constraints, &i.Job
	state := "PENDING"
	switch {
	case i.Stage == wire.StageCancelled:
		state = jobspec.Cancelled
	case i.Running > 0:
		state = "RUNNING"
	}
	p("JobId=%d JobName=%s WallrackUID=%s\n", t.Number, dash(t.Name, j.Class), j.UID)
	p("   UserId=%s Account=%s QOS=%s Priority=%d\n", dash(t.User, "-"), j.Team, j.Priority, j.Rank())
	p("   JobState=%s Reason=%s Dependency=%s\n", state, dash(i.Reason, jobspec.ReasonNone), dash(dependency(t), "(null)"))
	if isArray(j.Tasks, t) {
		array := indices(j.Tasks, t.Array).String()
		if t.MaxConcurrent > 0 {
			array += fmt.Sprintf("%%%d", t.MaxConcurrent)
		}
		p("   ArrayJobId=%d ArrayTaskId=%s\n", t.Number, array)
	}
	limit := "UNLIMITED"
	if t.LimitS > 0 {
		limit = Clock(t.LimitS, false)
	}
	p("   TimeLimit=%s SubmitTime=%s EligibleTime=%s\n", limit, stamp(i.AcceptedMs, "Unknown", zone), stamp(i.EligibleMs, "Unknown", zone))
	p("   StartTime=%s Deadline=%s BeginTime=%s\n", stamp(i.StartMs, "Unknown", zone), stamp(t.DeadlineMs, "N/A", zone), stamp(t.BeginMs, "N/A", zone))
	var nodes []string
	for _, on := range i.Placements {
		nodes = append(nodes, on.Machine)
	}
	p("   Partition=%s NodeList=%s\n", j.Class, dash(strings.Join(nodes, ","), "(null)"))
	p("   NumTasks=%d CPUs/Task=%s Memory/Task=%s Gres/Task=%s\n", j.Tasks, amount(j.CPUs), memoryText(j.MemoryGB), gres(j.GPUs))
	p("   WaitingTasks=%d RunningTasks=%d DoneTasks=%d FailedTasks=%d\n", i.Queued, i.Running, i.Done, i.Failed)
	var features []string
	features = append(features, j.Types...)
	if j.Zone != nil {
		features = append(features, *j.Zone)
	}
	if j.Spot {
		features = append(features, "spot")
	}
	p("   Features=%s\n\n", dash(strings.Join(features, ","), "(null)"))
	return b.String()
}

// ShowNode writes a machine as scontrol show node does.
func ShowNode(r *NodeRow) string {
	return fmt.Sprintf("NodeName=%s\n   CPUAlloc=%s CPUTot=%s RealMemory=%d Gres=gpu:%s\n   State=%s AvailableFeatures=%s,%s Tasks=%d LastBusyReport=%.0fs\n\n",
		r.Name, amount(r.UsedCPUs), amount(r.CPUs), int(r.MemoryGB*1024), amount(r.GPUs), strings.ToUpper(r.state()), r.Type, r.Zone, r.Tasks, r.HeardS)
}
