package sockets_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/sockets"
)

// Accepted connections, connections for commands and the process's own connections together stay
// within the limit, and requests with commands always have their reserved sockets.
func TestBudgetStaysWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accepted := 0
		b := sockets.Budget{
			MaxSockets: rapid.IntRange(96, 10_000).Draw(t, "limit"), Peers: rapid.IntRange(0, 11).Draw(t, "peers"),
			Accepted: func() int { return accepted },
		}
		most := b.MaxAccepted()
		accepted = rapid.IntRange(0, most).Draw(t, "accepted")
		before := b.WorkerConnectionLimits()
		own := b.MaxSockets - most - b.MaxConcurrentRequests()
		if own < 40+2*b.Peers {
			t.Errorf("only %d sockets are reserved for the state service, the cloud and peers", own)
		}
		if total := accepted + before.HardLimit + own; total > b.MaxSockets {
			t.Errorf("%d accepted and %d for commands: %d of %d sockets", accepted, before.HardLimit, total, b.MaxSockets)
		}
		if before.SoftLimit < b.MaxConcurrentRequests() || before.HardLimit < before.SoftLimit {
			t.Errorf("%+v with %d concurrent requests", before, b.MaxConcurrentRequests())
		}
		// User connections that open and close, up to half of the reserve, close no connection to a worker.
		accepted = min(most, accepted+b.MaxSockets/32)
		if after := b.WorkerConnectionLimits(); after.HardLimit < before.SoftLimit {
			t.Errorf("limits %+v, and %+v with %d more accepted connections", before, after, b.MaxSockets/32)
		}
	})
}
