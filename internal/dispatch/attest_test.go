package dispatch_test

import (
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
)

// A worker whose lease lasts 10 s is answered by one controller, and 9.7 s later by another
// that has attested a moment before; the first attests 0.9 s after that. Each left the
// worker unanswered for more than a lease when it was asked, and yet the lease never ended.
func TestSlowAttestationsDoNotEndALease(t *testing.T) {
	const lease = 10.5
	asked := time.Now()
	sinceAnswer := 9.7 // of the first, when the other attests
	a := dispatch.NewAttestation(asked, []float64{30, 30})
	if !a.Add([]float64{25, 25}) || !a.Add([]float64{sinceAnswer + 0.9, 25}) {
		t.Fatal("figures of the same machines are refused")
	}
	after := asked.Add(900 * time.Millisecond)
	if a.LeaseExpired(0, after, lease) {
		t.Error("a lease that may have been renewed counts as over")
	}
	if !a.LeaseExpired(1, after, lease) {
		t.Error("a lease that is over counts as held")
	}
	if a.Add([]float64{25}) {
		t.Error("figures of other machines are taken")
	}
}
