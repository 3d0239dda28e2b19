package slurm

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// ShowJob formats a job as scontrol show job does. For an ended job the text contains only the
// final state, because the other fields are not retained.
func ShowJob(info *jobquery.Info, zone *time.Location) string {
	if info.Constraints == nil {
		return showEndedJob(info, zone)
	}
	var b strings.Builder
	printf := func(format string, args ...any) { fmt.Fprintf(&b, format, args...) }
	job, c := &info.Job, info.Constraints
	printf("JobId=%d JobName=%s WallrackUID=%s\n", c.Number, orDefault(c.Name, job.Class), job.UID)
	printf("   UserId=%s Account=%s QOS=%s Priority=%d\n", orDefault(c.User, "-"), job.Team, job.Priority, job.Rank())
	printf("   JobState=%s Reason=%s Dependency=%s\n", activeJobState(info), orDefault(info.Reason, jobspec.ReasonNone), orDefault(formatDependencies(c), "(null)"))
	if isArray(job.Tasks, c.Array) {
		array := indices(job.Tasks, c.Array).String()
		if c.MaxConcurrent > 0 {
			array += fmt.Sprintf("%%%d", c.MaxConcurrent)
		}
		printf("   ArrayJobId=%d ArrayTaskId=%s\n", c.Number, array)
	}
	limit := "UNLIMITED"
	if c.LimitS > 0 {
		limit = FormatDuration(c.LimitS, false)
	}
	printf("   TimeLimit=%s SubmitTime=%s EligibleTime=%s\n", limit, formatTime(info.AcceptedMs, "Unknown", zone), formatTime(info.EligibleMs, "Unknown", zone))
	printf("   StartTime=%s Deadline=%s BeginTime=%s\n", formatTime(info.StartMs, "Unknown", zone), formatTime(c.DeadlineMs, "N/A", zone), formatTime(c.BeginMs, "N/A", zone))
	nodes := make([]string, 0, len(info.Placements))
	for _, placement := range info.Placements {
		nodes = append(nodes, placement.Worker)
	}
	printf("   Partition=%s NodeList=%s\n", job.Class, orDefault(strings.Join(nodes, ","), "(null)"))
	printf("   NumTasks=%d CPUs/Task=%s Memory/Task=%s Gres/Task=%s\n", job.Tasks, formatNumber(job.CPUs), formatMemory(job.MemoryGB), formatGRES(job.GPUs))
	printf("   WaitingTasks=%d RunningTasks=%d DoneTasks=%d FailedTasks=%d\n", info.PendingCount, info.Running, info.Done, info.Failed)
	printf("   Features=%s\n\n", orDefault(strings.Join(features(job), ","), "(null)"))
	return b.String()
}

// showEndedJob formats an ended job from its final state, which is retained indefinitely. Without
// info.Ending it derives the state from the stage. All other data about ended jobs is in accounting.
func showEndedJob(info *jobquery.Info, zone *time.Location) string {
	ending := info.Ending
	if ending == nil {
		ending = &jobspec.Ending{State: jobspec.Cancelled}
		if info.Stage == wire.StageDone {
			ending.State = jobspec.Completed
		}
	}
	return fmt.Sprintf("JobId=%d WallrackUID=%s\n   JobState=%s Reason=None ExitCode=%s\n   StartTime=%s EndTime=%s\n   DoneTasks=%d FailedTasks=%d\n\n",
		ending.Number, info.Job.UID, ending.State, formatExitCode(ending.ExitCode), formatTime(ending.StartMs, "Unknown", zone), formatTime(ending.EndMs, "Unknown", zone), info.Done, ending.Failed)
}

// activeJobState returns the state of a job that has not ended.
func activeJobState(info *jobquery.Info) string {
	switch {
	case info.Stage == wire.StageCancelled:
		return jobspec.Cancelled
	case info.Running > 0:
		return stateRunning
	}
	return statePending
}

// features returns the machine types and the zone to which a job is restricted, and "spot" if it
// may run on spot machines.
func features(job *wire.Job) []string {
	list := slices.Clone(job.Types)
	if job.Zone != nil {
		list = append(list, *job.Zone)
	}
	if job.Spot {
		list = append(list, "spot")
	}
	return list
}

// ShowNode formats a worker as scontrol show node does.
func ShowNode(r *NodeRow) string {
	return fmt.Sprintf("NodeName=%s\n   CPUAlloc=%s CPUTot=%s RealMemory=%d Gres=gpu:%s\n   State=%s AvailableFeatures=%s,%s Tasks=%d LastBusyReport=%.0fs\n\n",
		r.Name, formatNumber(r.UsedCPUs), formatNumber(r.CPUs), int(r.MemoryGB*1024), formatNumber(r.GPUs), strings.ToUpper(r.state()), r.Type, r.Zone, r.Tasks, r.SinceHeartbeatS)
}
