package soak

import (
	"reflect"
	"slices"
	"testing"
)

func TestScheduleIsDeterminedByItsSeed(t *testing.T) {
	kinds, shapes := map[FaultKind]bool{}, map[[2]int]bool{}
	for seed := range uint64(200) {
		s := NewSchedule(seed)
		if !reflect.DeepEqual(s, NewSchedule(seed)) {
			t.Fatalf("seed %d gives two schedules", seed)
		}
		shapes[[2]int{s.Controllers, s.Workers}] = true
		overlaps := false
		for i, f := range s.Faults {
			kinds[f.Kind] = true
			if f.Controller >= s.Controllers || f.Duration < minFault || f.At < warmUp || f.At+f.Duration > s.FaultsEnd || f.Kind.concernsLink() != (f.Link != "") {
				t.Errorf("seed %d: %v", seed, f)
			}
			overlaps = overlaps || i > 0 && f.At < s.Faults[i-1].At+s.Faults[i-1].Duration
		}
		if !overlaps {
			t.Errorf("seed %d: no two faults overlap", seed)
		}
	}
	for _, kind := range faultKinds {
		if !kinds[kind] {
			t.Errorf("no seed has the fault %q", kind)
		}
	}
	if len(shapes) != 4 {
		t.Errorf("%d combinations of controllers and workers", len(shapes))
	}
}

// checkAddedFaults checks that a schedule without other faults has as many faults of a kind as one that has
// them beside the seed's own, which stay as they are. It returns the former.
func checkAddedFaults(t *testing.T, seed uint64, count int, add func(s *Schedule, mode FaultMode), isAdded func(kind FaultKind) bool) (alone *Schedule) {
	t.Helper()
	plain, beside, alone := NewSchedule(seed), NewSchedule(seed), NewSchedule(seed)
	add(beside, ModeBeside)
	add(alone, ModeAlone)
	others := slices.DeleteFunc(slices.Clone(beside.Faults), func(f Fault) bool { return isAdded(f.Kind) })
	if !reflect.DeepEqual(others, plain.Faults) || len(beside.Faults) != len(plain.Faults)+count || len(alone.Faults) != count {
		t.Errorf("seed %d: %d faults, %d beside, %d alone", seed, len(plain.Faults), len(beside.Faults), len(alone.Faults))
	}
	return alone
}

func isShortage(kind FaultKind) bool {
	return kind == ProcessorShortage || kind == AllProcessorShortage
}

func TestShortagesLeaveTheOtherFaultsOfASeedAsTheyAre(t *testing.T) {
	for seed := range uint64(200) {
		alone := checkAddedFaults(t, seed, shortagesOfARun, (*Schedule).AddShortages, isShortage)
		for _, f := range alone.Faults {
			if !isShortage(f.Kind) || f.Share < minRunningShare || f.Share > maxRunningShare || f.Controller >= alone.Controllers || f.At+f.Duration > alone.FaultsEnd {
				t.Errorf("seed %d: %v", seed, f)
			}
		}
	}
}

func isRepeat(kind FaultKind) bool {
	return kind == RepeatCalls || kind == RestartAll || kind == RestartWorkers
}

func TestRepeatsLeaveTheOtherFaultsOfASeedAsTheyAre(t *testing.T) {
	for seed := range uint64(200) {
		alone := checkAddedFaults(t, seed, quickRestartsOfARun+workerRestartsOfARun+1, (*Schedule).AddRepeats, isRepeat)
		for _, f := range alone.Faults {
			quick := f.Kind == RepeatCalls || f.Duration >= minQuickRestart && f.Duration <= maxQuickRestart
			if !isRepeat(f.Kind) || !quick || f.At < warmUp || f.At+f.Duration > alone.FaultsEnd {
				t.Errorf("seed %d: %v", seed, f)
			}
		}
	}
}

func TestParseSeeds(t *testing.T) {
	if got, err := ParseSeeds("7,1-3"); err != nil || !reflect.DeepEqual(got, []uint64{7, 1, 2, 3}) {
		t.Errorf("%v, %v", got, err)
	}
	for _, bad := range []string{"", "x", "1-", "3-1", "-1", "1,,2", "1-99999", "0-18446744073709551615", "1-2-3"} {
		if seeds, err := ParseSeeds(bad); err == nil {
			t.Errorf("%q was taken as %v", bad, seeds)
		}
	}
}

func TestLeaderSeriesLeavesTheOtherFaultsOfASeedAsTheyAre(t *testing.T) {
	for seed := range uint64(200) {
		plain, beside, alone := NewSchedule(seed), NewSchedule(seed), NewSchedule(seed)
		beside.AddLeaderSeries(ModeBeside)
		alone.AddLeaderSeries(ModeAlone)
		others := slices.DeleteFunc(slices.Clone(beside.Faults), func(f Fault) bool { return f.Duration == seriesDuration })
		if !reflect.DeepEqual(others, plain.Faults) || len(beside.Faults) != len(plain.Faults)+2 || len(alone.Faults) != 2 {
			t.Errorf("seed %d: %d faults, %d beside, %d alone", seed, len(plain.Faults), len(beside.Faults), len(alone.Faults))
		}
		for _, f := range alone.Faults {
			if f.At+f.Duration > alone.FaultsEnd || f.Kind == CutWorkers && (f.Share < minCutShare || f.Share > maxCutShare) {
				t.Errorf("seed %d: %v, faults end at %v", seed, f, alone.FaultsEnd)
			}
		}
	}
}
