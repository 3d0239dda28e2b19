// Package lowerbound computes what a logged day would have cost at least, and how many
// jobs would have been late at least. From the lines that a controller logged of every
// job that ended it packs the same work with perfect knowledge onto cheap capacity
// first, divisible at will. No scheduler does better, since tasks are whole, machines
// take time to boot and arrivals are not known beforehand.
package lowerbound

import (
	"bufio"
	"container/heap"
	"fmt"
	"io"
	"regexp"
	"sort"
	"strconv"
)

// Job is a job that ended, in seconds and CPUs.
type Job struct {
	Class   string
	Arrived float64
	Took    float64 // from its acceptance to its end
	Run     float64 // of a task, on average
	Limit   float64 // after its arrival, by which it should have ended; 0: none
	CPUs    float64 // of a task
	Tasks   int
}

// Work is what the job needs, in CPU-seconds.
func (j *Job) Work() float64 { return float64(j.Tasks) * j.CPUs * j.Run }

// The message and the keys that are read of a controller's log, where an owner writes
// them of each job that ended. Logs are kept for long: if the owner's words change, lines
// with these are to be read still.
const (
	messageEnded = "job ended"
	keyJob       = "job"
	keyClass     = "class"
	keyStage     = "stage"
	keyArrived   = "arrived_s"
	keyTook      = "took_s"
	keyRun       = "run_s"
	keyLimit     = "limit_s"
	keyTasks     = "tasks"
	keyCPUs      = "cpus"

	stageDone = "done"
)

var (
	line  = regexp.MustCompile(`msg="` + messageEnded + `"`)
	field = regexp.MustCompile(`(\w+)=("[^"]*"|\S+)`)
)

// Read takes the jobs out of a log written with LOG_LEVEL=debug. A job that two
// owners logged counts once.
func Read(r io.Reader) ([]Job, error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, 1<<20)
	seen := map[string]bool{}
	var jobs []Job
	for n := 1; in.Scan(); n++ {
		if !line.MatchString(in.Text()) {
			continue
		}
		at := map[string]string{}
		for _, m := range field.FindAllStringSubmatch(in.Text(), -1) {
			at[m[1]] = m[2]
		}
		if seen[at[keyJob]] || at[keyStage] != stageDone {
			continue
		}
		seen[at[keyJob]] = true
		var bad error
		num := func(key string) float64 {
			v, err := strconv.ParseFloat(at[key], 64)
			if err != nil {
				bad = fmt.Errorf("line %d: %s: %w", n, key, err)
			}
			return v
		}
		j := Job{Class: at[keyClass], Arrived: num(keyArrived), Took: num(keyTook), Run: num(keyRun), Limit: num(keyLimit), CPUs: num(keyCPUs), Tasks: int(num(keyTasks))}
		if bad != nil {
			return nil, bad
		}
		jobs = append(jobs, j)
	}
	if err := in.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].Arrived < jobs[b].Arrived })
	return jobs, nil
}

// Result is what was, and what could have been.
type Result struct {
	Jobs        int
	Work        float64            // CPU-seconds
	Dear        float64            // of it, what cheap capacity can't do in time, whatever the order
	Price       float64            // cost at best, in units of the work's cost on cheap capacity
	Late        map[string]float64 // share of a class's jobs beyond their limit, as it was
	LateCheap   map[string]float64 // the same on cheap capacity alone, earliest limit first
	BusiestCPUs float64            // most CPUs at once, if every job had run as it came
}

// Of packs jobs onto cheap CPUs, in steps of a second, earliest limit first. That
// order lets the most work end in time. What is not done by its limit is bought
// at dear times the price. Jobs without a limit take what is left.
func Of(jobs []Job, cheap, dear float64) Result {
	res := Result{Jobs: len(jobs), Late: map[string]float64{}, LateCheap: map[string]float64{}}
	count := map[string]float64{}
	start, end := 0.0, 0.0
	for i := range jobs {
		j := &jobs[i]
		count[j.Class]++
		res.Work += j.Work()
		if j.Limit > 0 && j.Took > j.Limit {
			res.Late[j.Class]++
		}
		if i == 0 {
			start = j.Arrived
		}
		end = max(end, j.Arrived+j.Took)
	}
	waiting := &byLimit{}
	next := 0
	for now := start; next < len(jobs) || waiting.Len() > 0; now++ {
		for next < len(jobs) && jobs[next].Arrived < now+1 {
			heap.Push(waiting, &part{&jobs[next], jobs[next].Work()})
			next++
		}
		rate := 0.0
		for _, p := range waiting.of {
			rate += min(p.left, float64(p.job.Tasks)*p.job.CPUs)
		}
		res.BusiestCPUs = max(res.BusiestCPUs, rate)
		for room := cheap; waiting.Len() > 0; {
			p := waiting.of[0]
			if p.job.Limit > 0 && p.job.Arrived+p.job.Limit <= now {
				res.Dear += p.left
				res.LateCheap[p.job.Class]++
				heap.Pop(waiting)
				continue
			}
			if room <= 0 {
				break
			}
			done := min(room, p.left)
			room -= done
			if p.left -= done; p.left <= 0 {
				heap.Pop(waiting)
			}
		}
		if cheap <= 0 && now > end {
			break // nothing but jobs without a limit is left, and nothing to run them on
		}
	}
	for _, m := range []map[string]float64{res.Late, res.LateCheap} {
		for c := range m {
			m[c] /= count[c]
		}
	}
	if res.Work > 0 {
		res.Price = 1 + (dear-1)*res.Dear/res.Work
	}
	return res
}

type part struct {
	job  *Job
	left float64
}

// byLimit is a heap of jobs, the earliest limit on top.
type byLimit struct{ of []*part }

func (h *byLimit) at(i int) float64 {
	if j := h.of[i].job; j.Limit > 0 {
		return j.Arrived + j.Limit
	}
	return 1e18
}
func (h *byLimit) Len() int           { return len(h.of) }
func (h *byLimit) Less(a, b int) bool { return h.at(a) < h.at(b) }
func (h *byLimit) Swap(a, b int)      { h.of[a], h.of[b] = h.of[b], h.of[a] }
func (h *byLimit) Push(x any)         { h.of = append(h.of, x.(*part)) }
func (h *byLimit) Pop() any {
	x := h.of[len(h.of)-1]
	h.of = h.of[:len(h.of)-1]
	return x
}
