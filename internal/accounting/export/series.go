package export

import (
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/slurm"
)

// Point holds the numbers of waiting jobs and running tasks and the accumulated cost at a time.
type Point struct {
	At      time.Time
	Waiting int     // jobs that wait only for resources
	Running int     // running tasks
	Cost    float64 // spent since the first point
}

// delta is the change of the numbers of a Point at a time.
type delta struct {
	atMs      int64
	waiting   int     // jobs
	running   int     // tasks
	costPerMs float64 // of running tasks
}

// Series returns the given number of points at equal intervals; the first is at from, the last at
// to. Jobs and attempts that have not ended are assumed to last until the last point.
func Series(records []*slurm.Record, from, to time.Time, points int) []Point {
	fromMs, toMs := from.UnixMilli(), to.UnixMilli()
	changes := activityDeltas(records, toMs)
	series := make([]Point, 0, points)
	var current Point
	costPerMs, costUpToMs, nextDelta := 0.0, fromMs, 0 // current.Cost covers the time up to costUpToMs
	for n := range points {
		atMs := fromMs + (toMs-fromMs)*int64(n)/int64(max(1, points-1))
		for ; nextDelta < len(changes) && changes[nextDelta].atMs <= atMs; nextDelta++ {
			c := changes[nextDelta]
			if c.atMs > costUpToMs {
				current.Cost += costPerMs * float64(c.atMs-costUpToMs)
				costUpToMs = c.atMs
			}
			current.Waiting, current.Running, costPerMs = current.Waiting+c.waiting, current.Running+c.running, costPerMs+c.costPerMs
		}
		current.Cost += costPerMs * float64(max(0, atMs-costUpToMs))
		costUpToMs = max(costUpToMs, atMs)
		current.At = time.UnixMilli(atMs)
		series = append(series, current)
	}
	return series
}

// activityDeltas returns the changes that result from the starts and ends in records, ordered by
// time. Jobs and attempts that have not ended are assumed to end at endMs.
func activityDeltas(records []*slurm.Record, endMs int64) []delta {
	var changes []delta
	add := func(fromMs, toMs int64, c delta) {
		c.atMs = fromMs
		changes = append(changes, c, delta{atMs: max(fromMs, toMs), waiting: -c.waiting, running: -c.running, costPerMs: -c.costPerMs})
	}
	for _, record := range records {
		if job := &record.Job; job.Eligible > 0 {
			add(job.Eligible, firstKnown(job.Start, job.End, endMs), delta{waiting: 1})
		}
		for i := range record.Attempts {
			if attempt := &record.Attempts[i]; attempt.Start != 0 {
				add(attempt.Start, firstKnown(attempt.End, endMs), delta{running: 1, costPerMs: float64(attempt.Price) / 3600 / 1000})
			}
		}
	}
	slices.SortFunc(changes, func(a, b delta) int { return int(a.atMs - b.atMs) })
	return changes
}

// firstKnown returns the first non-zero time, or 0 if there is none.
func firstKnown(times ...int64) int64 {
	for _, ms := range times {
		if ms != 0 {
			return ms
		}
	}
	return 0
}
