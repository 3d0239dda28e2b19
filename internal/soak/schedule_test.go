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

func isShortage(kind FaultKind) bool {
	return kind == ProcessorShortage || kind == AllProcessorShortage
}

func TestShortagesLeaveTheOtherFaultsOfASeedAsTheyAre(t *testing.T) {
	for seed := range uint64(200) {
		plain, beside, alone := NewSchedule(seed), NewSchedule(seed), NewSchedule(seed)
		beside.AddShortages(ModeBeside)
		alone.AddShortages(ModeAlone)
		others := slices.DeleteFunc(slices.Clone(beside.Faults), func(f Fault) bool { return isShortage(f.Kind) })
		if !reflect.DeepEqual(others, plain.Faults) || len(beside.Faults) != len(plain.Faults)+shortagesOfARun || len(alone.Faults) != shortagesOfARun {
			t.Errorf("seed %d: %d faults, %d beside, %d alone", seed, len(plain.Faults), len(beside.Faults), len(alone.Faults))
		}
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
	const added = quickRestartsOfARun + workerRestartsOfARun + 1
	for seed := range uint64(200) {
		plain, beside, alone := NewSchedule(seed), NewSchedule(seed), NewSchedule(seed)
		beside.AddRepeats(ModeBeside)
		alone.AddRepeats(ModeAlone)
		others := slices.DeleteFunc(slices.Clone(beside.Faults), func(f Fault) bool { return isRepeat(f.Kind) })
		if !reflect.DeepEqual(others, plain.Faults) || len(beside.Faults) != len(plain.Faults)+added || len(alone.Faults) != added {
			t.Errorf("seed %d: %d faults, %d beside, %d alone", seed, len(plain.Faults), len(beside.Faults), len(alone.Faults))
		}
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
