package cancellation_test

import (
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/cancellation"
)

// A controller without peers confirms cancels if and only if its lease holds.
func TestControllerWithoutPeersConfirmsUnderLease(t *testing.T) {
	held := time.Minute
	r := cancellation.New(cancellation.Options{Limit: time.Minute, LeaseRemaining: func() time.Duration { return held }})
	if err := r.Confirm("j-1"); err != nil {
		t.Error(err)
	}
	held = 0
	if err := r.Confirm("j-2"); err == nil {
		t.Error("a cancel was confirmed without a valid lease")
	}
}
