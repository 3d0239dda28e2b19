package lowerbound_test

import (
	"math"
	"strings"
	"testing"

	"github.com/wallrack/wallrack/internal/lowerbound"
)

// The bound is computed from a log that also contains a duplicate line, logged by a second leader,
// and a cancelled job. The error for a malformed line contains its number.
func TestBoundFromLog(t *testing.T) {
	const log = `   12.5 racker-1 time=x level=INFO msg=started
time=x level=DEBUG msg="job ended" job=j-1 class=study stage=done arrived_s=0.5 took_s=30 run_s=10 limit_s=20 tasks=10 cpus=1
time=x level=DEBUG msg="job ended" job=j-1 class=study stage=done arrived_s=0.5 took_s=30 run_s=10 limit_s=20 tasks=10 cpus=1
time=x level=DEBUG msg="job ended" job=j-2 class=quote stage=done arrived_s=0 took_s=9 run_s=10 limit_s=10 tasks=2 cpus=5
time=x level=DEBUG msg="job ended" job=j-3 class=study stage=cancelled arrived_s=0 took_s=9 run_s=0 limit_s=10 tasks=2 cpus=5
`
	jobs, err := lowerbound.ReadJobs(strings.NewReader(log))
	if err != nil || len(jobs) != 2 {
		t.Fatalf("%d jobs, %v", len(jobs), err)
	}
	// 200 CPU-seconds on 8 CPUs: the quote job has a deadline at 10 s, so only 80 of its 100
	// CPU-seconds finish in time. After that the study job has 10.5 s until its deadline, so
	// 80 of its 100 CPU-seconds finish in the 10 whole seconds.
	r := lowerbound.Compute(jobs, 8, 5)
	if r.TotalWork != 200 || r.OnDemandWork < 20 || r.OnDemandWork > 40 || math.Abs(r.RelativeCost-(1+4*r.OnDemandWork/200)) > 1e-9 {
		t.Errorf("%+v", r)
	}
	if r.LateAsRun["study"] != 1 || r.LateAsRun["quote"] != 0 || r.LateOnSpot["quote"] != 1 {
		t.Errorf("late %v, on spot capacity alone %v", r.LateAsRun, r.LateOnSpot)
	}
	if r := lowerbound.Compute(jobs, 100, 5); r.OnDemandWork != 0 || r.RelativeCost != 1 {
		t.Errorf("with capacity for all jobs: %+v", r)
	}
	if _, err := lowerbound.ReadJobs(strings.NewReader(`msg="job ended" job=j-1 stage=done tasks=x`)); err == nil || !strings.Contains(err.Error(), "line 1") {
		t.Errorf("error for a malformed line: %v", err)
	}
}
