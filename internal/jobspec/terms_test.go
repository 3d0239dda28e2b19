package jobspec_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/jobspec"
)

// What is written is what was read, and places and numbers find one another.
func TestRangesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ns := rapid.SliceOfNDistinct(rapid.IntRange(0, 900), 1, 60, rapid.ID[int]).Draw(t, "numbers")
		r := jobspec.RangesOf(slices.Clone(ns))
		again, err := jobspec.ParseRanges(r.String())
		if err != nil {
			t.Fatalf("%s: %v", r.String(), err)
		}
		slices.Sort(ns)
		if got := slices.Collect(again.All()); !slices.Equal(got, ns) || again.Len() != len(ns) {
			t.Fatalf("%s gives %v, not %v", r.String(), got, ns)
		}
		for k, n := range ns {
			if again.At(k) != n || again.Find(n) != k {
				t.Fatalf("%s: place %d is %d, number %d at %d", again.String(), k, again.At(k), n, again.Find(n))
			}
		}
		if least, most := again.Bounds(); least != ns[0] || most != ns[len(ns)-1] {
			t.Fatalf("bounds %d, %d of %v", least, most, ns)
		}
	})
}

// An array's indices may lie in each other's gaps, but none may stand twice.
func TestRangesAsSlurmWritesThem(t *testing.T) {
	for text, n := range map[string]int{"0-15:2,20": 9, "7": 1, "1-10:3": 4, "0-8:2,1-9:2": 10, "5,3": 2,
		"": -1, "1-": -1, "3-1": -1, "1:2": -1, "1-5:0": -1, "0-4,2": -1, "0-8:2,4": -1, "-1": -1, "+1": -1, "1-9999999": -1, "a": -1} {
		r, err := jobspec.ParseRanges(text)
		if n < 0 && err == nil || n >= 0 && (err != nil || r.Len() != n) {
			t.Errorf("%q: %d numbers, %v", text, r.Len(), err)
		}
	}
}

func FuzzParseRanges(f *testing.F) {
	for _, s := range []string{"0-15:2,20", "1", "0-4000000", "1-5:2,2-6:2", "9-1", ",", "0--1"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		r, err := jobspec.ParseRanges(text)
		if err != nil {
			return
		}
		again, err := jobspec.ParseRanges(r.String())
		if err != nil || again.Len() != r.Len() {
			t.Fatalf("%q is written %q: %v", text, r.String(), err)
		}
	})
}

// Dependencies: what is over decides for good, what is not is open.
func TestDependencies(t *testing.T) {
	over, failed, runs := jobspec.JobFacts{Over: true, OK: true}, jobspec.JobFacts{Over: true}, jobspec.JobFacts{Started: true, StartedMs: 1000}
	for _, c := range []struct {
		kind  string
		delay int64
		f     jobspec.JobFacts
		want  jobspec.Outcome
	}{
		{jobspec.After, 0, jobspec.JobFacts{}, jobspec.Pending}, {jobspec.After, 0, runs, jobspec.Satisfied}, {jobspec.After, 5, runs, jobspec.Pending}, {jobspec.After, 0, failed, jobspec.Satisfied},
		{jobspec.AfterAny, 0, runs, jobspec.Pending}, {jobspec.AfterAny, 0, failed, jobspec.Satisfied}, {jobspec.AfterAny, 0, over, jobspec.Satisfied},
		{jobspec.AfterOK, 0, runs, jobspec.Pending}, {jobspec.AfterOK, 0, over, jobspec.Satisfied}, {jobspec.AfterOK, 0, failed, jobspec.Unsatisfiable},
		{jobspec.AfterNotOK, 0, over, jobspec.Unsatisfiable}, {jobspec.AfterNotOK, 0, failed, jobspec.Satisfied}, {jobspec.Singleton, 0, jobspec.JobFacts{}, jobspec.Pending}, {jobspec.Singleton, 0, over, jobspec.Satisfied},
	} {
		if got := (jobspec.Dependency{Kind: c.kind, DelayS: c.delay}).Evaluate(c.f, 2000); got != c.want {
			t.Errorf("%s+%d, %+v: %d, not %d", c.kind, c.delay, c.f, got, c.want)
		}
	}
	all, any := &jobspec.Constraints{}, &jobspec.Constraints{AnyDependency: true}
	o, m, n := jobspec.Pending, jobspec.Satisfied, jobspec.Unsatisfiable
	for _, c := range []struct {
		each     []jobspec.Outcome
		all, any jobspec.Outcome
	}{{nil, m, m}, {[]jobspec.Outcome{m, m}, m, m}, {[]jobspec.Outcome{o, m}, o, m}, {[]jobspec.Outcome{n, m}, n, m}, {[]jobspec.Outcome{n, o}, n, o}, {[]jobspec.Outcome{n, n}, n, n}} {
		if a, b := all.Combine(c.each), any.Combine(c.each); a != c.all || b != c.any {
			t.Errorf("%v: all %d, any %d", c.each, a, b)
		}
	}
	held := &jobspec.Constraints{Number: 1, Held: true, BeginMs: 5}
	if why := held.WaitReason(jobspec.Satisfied, 1); why != jobspec.ReasonHeld {
		t.Error(why)
	}
	if err := (&jobspec.Constraints{Number: 1, Dependencies: []jobspec.Dependency{{Kind: "later"}}}).Validate(1, false, false, time.Now()); err == nil {
		t.Error("an unknown kind of dependency is taken")
	}
}
