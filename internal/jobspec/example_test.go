package jobspec_test

import (
	"fmt"
	"time"

	"github.com/wallrack/wallrack/internal/jobspec"
)

// A job waits until another job is done, and then for its begin time.
func ExampleConstraints_WaitReason() {
	submitted := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	constraints := &jobspec.Constraints{
		Number:       4101,
		BeginMs:      submitted.Add(time.Hour).UnixMilli(),
		Dependencies: []jobspec.Dependency{{Kind: jobspec.AfterOK, Number: 4100}},
	}
	const tasks, gang, service = 1, false, false
	fmt.Println("valid:", constraints.Validate(tasks, gang, service, submitted) == nil)

	reason := func(other jobspec.JobFacts, at time.Time) string {
		outcome := constraints.Dependencies[0].Evaluate(other, at.UnixMilli())
		return constraints.WaitReason(constraints.Combine([]jobspec.Outcome{outcome}), at.UnixMilli())
	}
	fmt.Println(reason(jobspec.JobFacts{Started: true}, submitted))
	fmt.Println(reason(jobspec.JobFacts{Over: true}, submitted))
	fmt.Println(reason(jobspec.JobFacts{Over: true, OK: true}, submitted))
	fmt.Printf("%q\n", reason(jobspec.JobFacts{Over: true, OK: true}, submitted.Add(time.Hour)))
	// Output:
	// valid: true
	// Dependency
	// DependencyNeverSatisfied
	// BeginTime
	// ""
}

func ExampleParseRanges() {
	indices, err := jobspec.ParseRanges("0-8:4,20")
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("tasks:", indices.Len(), "index of the last:", indices.At(3))
	for n := range indices.All() {
		fmt.Print(n, " ")
	}
	// Output:
	// tasks: 4 index of the last: 20
	// 0 4 8 20
}
