package soak

import (
	"testing"
	"time"
)

// The pauses are those of the operators' protocol: 3 s, doubled by each further removal within two minutes, at most 60 s.
func TestEachRemovalDoublesThePause(t *testing.T) {
	var health nodeHealth
	now := time.Now()
	probe := func(succeeded bool) {
		now = now.Add(probeInterval)
		health.record(succeeded, now)
	}
	if probe(true); !health.healthy {
		t.Fatal("one success does not make a new controller healthy")
	}
	for _, pause := range []int{3, 6, 12, 24, 48, 60, 60} {
		if probe(false); !health.healthy {
			t.Error("one failure makes a controller unhealthy")
		}
		if probe(false); health.healthy {
			t.Error("two failures in a row leave a controller healthy")
		}
		seconds := 0
		for !health.healthy {
			probe(true)
			seconds++
		}
		if seconds != pause {
			t.Errorf("a pause of %d s, want %d s", seconds, pause)
		}
		for range recentProbes {
			probe(true)
		}
	}
}

func TestThreeFailuresAmongSixProbesAreTooMany(t *testing.T) {
	var health nodeHealth
	now := time.Now()
	for i, succeeded := range []bool{true, false, true, false, true, false} {
		now = now.Add(probeInterval)
		health.record(succeeded, now)
		if want := i < 5; health.healthy != want {
			t.Errorf("after probe %d the controller is healthy: %v", i, health.healthy)
		}
	}
}

func TestReturningControllerGetsItsShareSlowly(t *testing.T) {
	var health nodeHealth
	now := time.Now()
	health.record(true, now)
	if early, late := health.share(now.Add(slowStart/2)), health.share(now.Add(slowStart)); early != 0.5 || late != 1 {
		t.Errorf("shares %.2f and %.2f", early, late)
	}
}
