package dispatch_test

import (
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
)

// The first controller answers a worker whose lease lasts 10 s. The second attests 9.7 s later and
// then answers the worker, and the first attests 0.9 s after that. Both figures exceed the lease,
// but the lease never expired.
func TestLeaseHeldDuringSlowAttestation(t *testing.T) {
	const lease = 10.5
	begun := time.Now()
	sinceAnswer := 9.7 // s since the first controller's answer when the second attests
	a := dispatch.NewAttestation(begun, []float64{30, 30})
	if !a.Add([]float64{25, 25}) || !a.Add([]float64{sinceAnswer + 0.9, 25}) {
		t.Fatal("figures of the same workers are refused")
	}
	after := begun.Add(900 * time.Millisecond)
	if a.LeaseExpired(0, after, lease) {
		t.Error("a lease that may have been renewed counts as expired")
	}
	if !a.LeaseExpired(1, after, lease) {
		t.Error("a lease that expired counts as held")
	}
	if a.Add([]float64{25}) {
		t.Error("figures of other workers are taken")
	}
}
