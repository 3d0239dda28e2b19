package admission_test

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/admission"
)

// A fixed seed makes the generated inputs the same in every run.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// maxMetDeadlines returns how many of the jobs can be done by their first deadline, by trying
// all subsets.
func maxMetDeadlines(jobs []admission.Job, rate float64) int {
	best := 0
	for set := range 1 << len(jobs) {
		met, ok := 0, true
		for i := range jobs {
			if set&(1<<i) == 0 {
				continue
			}
			met++
			used := 0.0 // work due by the deadline of job i
			for k := range jobs {
				if set&(1<<k) != 0 && jobs[k].Deadlines[0] <= jobs[i].Deadlines[0] {
					used += jobs[k].Work
				}
			}
			ok = ok && used <= rate*jobs[i].Deadlines[0]
		}
		if ok {
			best = max(best, met)
		}
	}
	return best
}

// No other assignment meets more first deadlines, and no job is assigned a deadline that it
// misses.
func TestMostFirstDeadlinesAreMet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		jobs := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) admission.Job {
			first := float64(rapid.IntRange(1, 30).Draw(rt, "limit"))
			return admission.Job{Work: float64(rapid.IntRange(1, 40).Draw(rt, "work")), Deadlines: []float64{first, first * 2}}
		}), 1, 9).Draw(rt, "jobs")
		rate := float64(rapid.IntRange(1, 8).Draw(rt, "rate"))
		tiers := admission.AssignTiers(jobs, rate, 0)
		n := 0
		for i, tier := range tiers {
			if tier > 2 {
				rt.Fatalf("tier %d", tier)
			}
			if tier == 2 {
				continue
			}
			if tier == 0 {
				n++
			}
			used := 0.0
			for k := range jobs {
				if tiers[k] < 2 && jobs[k].Deadlines[tiers[k]] <= jobs[i].Deadlines[tier] {
					used += jobs[k].Work
				}
			}
			if used > rate*jobs[i].Deadlines[tier]+1e-9 {
				rt.Fatalf("job %d is late", i)
			}
		}
		if want := maxMetDeadlines(jobs, rate); n != want {
			rt.Fatalf("%d deadlines are met, %d can be", n, want)
		}
	})
}

// Each rule that makes a job miss a deadline, tested separately.
func TestTiersUnderOverload(t *testing.T) {
	for _, c := range []struct {
		name   string
		jobs   []admission.Job
		rate   float64
		offset float64
		want   []int
	}{
		{"all can be met", []admission.Job{{10, 0, []float64{10}}, {10, 0, []float64{20}}}, 1, 0, []int{0, 0}},
		{"the larger one misses its limit", []admission.Job{{10, 0, []float64{10, 40}}, {5, 0, []float64{10, 40}}}, 1, 0, []int{1, 0}},
		{"first limits are past", []admission.Job{{1, 1, []float64{-5, 10}}, {1, 1, []float64{-5, -1}}}, 1, 0, []int{1, 2}},
		{"one takes too long by itself", []admission.Job{{1, 30, []float64{10, 40}}}, 100, 0, []int{1}},
		{"offset by work before", []admission.Job{{10, 0, []float64{15, 40}}}, 1, 10, []int{1}},
		{"its last tasks end while others wait", []admission.Job{{9, 4, []float64{10, 40}}}, 1, 0, []int{1}},
		{"no limits", []admission.Job{{10, 1, nil}}, 1, 0, []int{0}},
		{"nothing to run on", []admission.Job{{10, 0, []float64{10}}}, 0, 0, []int{1}},
	} {
		got := admission.AssignTiers(c.jobs, c.rate, c.offset)
		for i := range got {
			if got[i] != c.want[i] {
				t.Errorf("%s: %v, not %v", c.name, got, c.want)
				break
			}
		}
	}
}

// BenchmarkTiers assigns tiers to 1000 jobs, many of which miss deadlines.
func BenchmarkTiers(b *testing.B) {
	jobs := make([]admission.Job, 1000)
	for i := range jobs {
		jobs[i] = admission.Job{Work: float64(1 + i*7919%5000), Span: 30, Deadlines: []float64{float64(i%90 - 20), float64(i%90 + 30), float64(i%90 + 100)}}
	}
	for b.Loop() {
		admission.AssignTiers(jobs, 20000, 10)
	}
}
