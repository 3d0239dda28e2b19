package statestore

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// If half of the responses are lost, the timeout for the next ones stays short: the service
// responds quickly to the others. With a timeout that each lost response doubles and each
// other one halves, a leader does nothing for 2.8 s after a lost one.
func TestLostShareOfResponsesKeepsTimeoutShort(t *testing.T) {
	const tries, maxMean = 10000, 1500 * time.Millisecond
	draw := rand.New(rand.NewPCG(1, 2))
	var timeout responseTimeout
	var waited time.Duration
	lost := 0
	for range tries {
		if draw.IntN(2) == 0 {
			timeout.recordResponse(10 * time.Millisecond)
			continue
		}
		waited += timeout.current()
		lost++
		timeout.recordMiss()
	}
	if mean := waited / time.Duration(lost); mean > maxMean {
		t.Errorf("a lost response is waited for %v", mean)
	}
}

// If the service is slow, a few requests time out at first. The timeout is then long enough for
// its responses, and becomes short again once the service is fast.
func TestSlowServiceIsWaitedFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var timeout responseTimeout
		took := time.Duration(rapid.IntRange(1, 3500).Draw(t, "ms")) * time.Millisecond
		misses := 0
		for range 40 {
			if timeout.current() < took {
				timeout.recordMiss()
				misses++
				continue
			}
			timeout.recordResponse(took)
		}
		if misses > 5 {
			t.Fatalf("%d responses timed out that take %v each", misses, took)
		}
		for range 40 {
			timeout.recordResponse(time.Millisecond)
		}
		if wait := timeout.current(); wait != minResponseTimeout {
			t.Fatalf("the timeout for a fast service is %v", wait)
		}
	})
}
