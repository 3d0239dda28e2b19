package statestore

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// That half of the responses get lost hardly lengthens the wait for the next ones: the
// service that gives the others is quick. When each lost response doubled the wait and each
// other one halved it, a leader did nothing for 2.8 s after a lost one.
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

// A service that takes long, but responds, is waited for after a few tries, and always from
// then on until it is quick again.
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
			t.Fatalf("%d responses after %v each were given up", misses, took)
		}
		for range 40 {
			timeout.recordResponse(time.Millisecond)
		}
		if wait := timeout.current(); wait != minResponseTimeout {
			t.Fatalf("a quick service is waited for %v", wait)
		}
	})
}
