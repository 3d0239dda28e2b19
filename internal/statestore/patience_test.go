package statestore

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// That half of the answers get lost hardly lengthens the wait for the next ones: the
// service that gives the others is quick. When each lost answer doubled the wait and each
// other one halved it, an owner stood still for 2.8 s after a lost one.
func TestLostShareOfAnswersIsNotWaitedFor(t *testing.T) {
	const tries, most = 10000, 1500 * time.Millisecond
	draw := rand.New(rand.NewPCG(1, 2))
	var p answerTimeout
	var waited time.Duration
	lost := 0
	for range tries {
		if draw.IntN(2) == 0 {
			p.answered(10 * time.Millisecond)
			continue
		}
		waited += p.wait()
		lost++
		p.missed()
	}
	if mean := waited / time.Duration(lost); mean > most {
		t.Errorf("a lost answer is waited for %v", mean)
	}
}

// A service that takes long, but answers, is waited for after a few tries, and always from
// then on until it is quick again.
func TestSlowServiceIsWaitedFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p answerTimeout
		took := time.Duration(rapid.IntRange(1, 3500).Draw(t, "ms")) * time.Millisecond
		misses := 0
		for range 40 {
			if p.wait() < took {
				p.missed()
				misses++
				continue
			}
			p.answered(took)
		}
		if misses > 5 {
			t.Fatalf("%d answers after %v each were given up", misses, took)
		}
		for range 40 {
			p.answered(time.Millisecond)
		}
		if wait := p.wait(); wait != answerWithin {
			t.Fatalf("a quick service is waited for %v", wait)
		}
	})
}
