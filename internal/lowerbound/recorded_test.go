package lowerbound_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/wallrack/wallrack/internal/lowerbound"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
)

// An archived log must produce the same result in later versions. The log is from a local cluster,
// edited to contain limits, a class name of two words, and one line logged by a second leader.
func TestRecordedLog(t *testing.T) {
	jobs, err := lowerbound.ReadJobs(bytes.NewReader(recorded.Read(t, "debug.log")))
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	for _, job := range jobs {
		fmt.Fprintf(&text, "class %s arrived %v took %v run %v limit %v CPUs %v tasks %d\n", job.Class, job.ArrivedS, job.ElapsedS, job.MeanTaskS, job.LimitS, job.CPUsPerTask, job.Tasks)
	}
	recorded.Compare(t, "jobs.txt", []byte(text.String()))
	r := lowerbound.Compute(jobs, 2, 3)
	got := fmt.Sprintf("jobs %d work %.3f dear %.3f price %.4f late %v on cheap capacity %v busiest %.3f\n", r.Jobs, r.TotalWork, r.OnDemandWork, r.RelativeCost, r.LateAsRun, r.LateOnSpot, r.PeakCPUs)
	recorded.Compare(t, "bound.txt", []byte(got))
}
