package lowerbound_test

import (
	"math"
	"strings"
	"testing"

	"github.com/wallrack/wallrack/internal/lowerbound"
)

// A log with a job that two leaders logged and a cancelled one gives the least work that
// spot capacity can't do in time; a malformed line is refused by its number.
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
	// 200 CPU-seconds on 8 CPUs: of the quote's 100 only 80 are done by its limit, and
	// the study's 100 then have 10.5 s left, which is 80 in whole seconds.
	r := lowerbound.Compute(jobs, 8, 5)
	if r.TotalWork != 200 || r.OnDemandWork < 20 || r.OnDemandWork > 40 || math.Abs(r.RelativeCost-(1+4*r.OnDemandWork/200)) > 1e-9 {
		t.Errorf("%+v", r)
	}
	if r.LateAsRun["study"] != 1 || r.LateAsRun["quote"] != 0 || r.LateOnSpot["quote"] != 1 {
		t.Errorf("late %v, on spot capacity alone %v", r.LateAsRun, r.LateOnSpot)
	}
	if r := lowerbound.Compute(jobs, 100, 5); r.OnDemandWork != 0 || r.RelativeCost != 1 {
		t.Errorf("with room for all: %+v", r)
	}
	if _, err := lowerbound.ReadJobs(strings.NewReader(`msg="job ended" job=j-1 stage=done tasks=x`)); err == nil || !strings.Contains(err.Error(), "line 1") {
		t.Errorf("a malformed line gave %v", err)
	}
}
