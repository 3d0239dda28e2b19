package scheduler

import (
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// how a task ended that is over and not done, as records have it.
type how uint8

const (
	howFailed    how = 1
	howTimeout   how = 2
	howCancelled how = 3 // alone, by its user
)

func (h how) state() string {
	return [...]string{jobspec.Completed, jobspec.Failed, jobspec.Timeout, jobspec.Cancelled}[h&3]
}

type failure struct {
	how  how
	exit int
}

func (f failure) triple(task int) []uint64 {
	return []uint64{uint64(task), uint64(f.how), uint64(f.exit)}
}

// setFailed marks a task as over and not done.
func (c *chunk) setFailed(task int, h, exit uint64) {
	c.setDone(task)
	if c.failed == nil {
		c.failed = map[int]failure{}
	}
	c.failed[task] = failure{how(h & 3), int(exit & 0xff)}
}

// forGood says how an exit ends its task for good, or 0.
func (j *job) forGood(p *place, t *dispatch.TaskView) how {
	if t.Exit != nil {
		p.exit = *t.Exit & 0xff
	}
	switch {
	case j.asked == nil || j.cancelled || p.chunk.isDone(p.task):
		return 0
	case p.late:
		return howTimeout
	case j.asked.Final && t.Cause == wire.CauseError && t.Exit != nil:
		return howFailed
	}
	return 0
}

// fail ends a task that will not be tried again.
func (o *Owner) fail(p *place, h how) {
	p.chunk.setFailed(p.task, uint64(h), uint64(p.exit))
	o.taskOver(p)
}

// overTime stops the tasks that run longer than their job's time limit.
func (o *Owner) overTime(j *job) {
	if j.asked == nil || j.asked.LimitS <= 0 || j.cancelled {
		return
	}
	for _, ps := range j.places {
		for _, p := range ps {
			if !p.exited && !p.running.IsZero() && time.Since(p.running).Seconds() > j.asked.LimitS {
				p.late = true
				o.halt(p, 0)
			}
		}
	}
}

// ending is how a job with terms ended.
func (o *Owner) ending(j *job) *jobspec.Ending {
	a := j.asked
	if a == nil {
		return nil
	}
	if a.endMs == 0 {
		a.endMs = time.Now().UnixMilli()
	}
	e := &jobspec.Ending{Number: a.Number, State: jobspec.Completed, Failed: j.over - j.done, StartMs: a.startMs, EndMs: a.endMs}
	worst := how(0)
	for _, c := range j.chunks {
		for _, f := range c.failed {
			e.Exit = max(e.Exit, f.exit)
			if worst == 0 || f.how < worst {
				worst = f.how
			}
		}
	}
	switch {
	case j.ended == wire.StageDone:
	case a.Why != "":
		e.State = a.Why
	case j.cancelled:
		e.State = jobspec.Cancelled
	default:
		e.State = worst.state()
	}
	return e
}
