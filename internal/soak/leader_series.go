package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	seriesDuration   = 100 * time.Second // longer than the time after which a job without an answer is forgotten
	minCutShare      = 0.1               // of the workers, which are silent during the whole series
	maxCutShare      = 0.4
	seriesJobsPerS   = 2 // more would exceed the teams' limits for the whole series
	seriesSeedStream = 3 // the second word of the seed, so that the other faults of a seed stay the same
)

// AddLeaderSeries adds a long series in which each leader is killed soon after it has become the leader, while
// a share of the workers, drawn from the schedule's seed, is cut off. In ModeAlone it replaces the other
// faults. Call it at most once, and before faults are added by another mode.
func (s *Schedule) AddLeaderSeries(mode FaultMode) {
	if !mode.enabled() {
		return
	}
	if mode == ModeAlone {
		s.Faults = nil
	}
	r := rand.New(rand.NewPCG(s.Seed, seriesSeedStream))
	share := minCutShare + (maxCutShare-minCutShare)*r.Float64()
	s.Faults = append(s.Faults,
		Fault{At: warmUp, Duration: seriesDuration, Kind: LeaderSeries},
		Fault{At: warmUp, Duration: seriesDuration, Kind: CutWorkers, Share: share})
	s.FaultsEnd = max(s.FaultsEnd, warmUp+seriesDuration)
	s.JobsPerS = min(s.JobsPerS, seriesJobsPerS)
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
}
