package scale

import (
	"strings"
	"testing"
)

func TestDefaultsAndShippedFilesAreAccepted(t *testing.T) {
	s, err := ParseSettings([]byte("(scale)"))
	if err != nil {
		t.Fatal(err)
	}
	if s.Workers != 2600 || s.Controllers != 6 || len(s.Teams) != 410 || s.Running != 11000 || s.PeakStarts != 890 || s.PeakS < 60 {
		t.Errorf("defaults are not the planned size: %+v", s)
	}
	replicas := 0
	for i := range s.Teams {
		replicas += s.replicas(i, len(s.Teams))
	}
	if replicas != s.serviceTasks() {
		t.Errorf("teams hold %d of %d service tasks", replicas, s.serviceTasks())
	}
	for _, f := range []string{"scale.sexp", "scale-small.sexp"} {
		if _, err := LoadSettings("../../deploy/" + f); err != nil {
			t.Error(err)
		}
	}
}

func TestBadSettingsAreRefusedWithKeyAndReason(t *testing.T) {
	long := strings.Repeat("x", 121)
	for text, want := range map[string]string{
		`(scale`:                                               "not an S-expression",
		`(scale) (scale)`:                                      "more than one expression",
		`(wallrack)`:                                           "expected (scale",
		`(scale (wokers 3))`:                                   "wokers: unknown key",
		`(scale (workers))`:                                    "entry 1",
		`(scale (workers 1 2))`:                                "workers: unknown key, or not as many values",
		`(scale (workers -5))`:                                 "workers: -5 is outside",
		`(scale (workers 2.5))`:                                "workers: 2.5 is not a whole number",
		`(scale (workers "many"))`:                             "workers: not a number",
		`(scale (peak-starts -1))`:                             "peak-starts: -1 is outside",
		`(scale (workers 100) (workers 100))`:                  "workers: given twice",
		`(scale (team "a" 1 9) (team "a" 1 9))`:                `team: "a": given twice`,
		`(scale (team "team-003" 1 90))`:                       `team: "team-003": given twice`,
		`(scale (team "a" 10 9))`:                              "a guarantee of 10 is above the limit of 9",
		`(scale (team "a" 0 0))`:                               "above the limit of 0",
		`(scale (team "a" -1 9))`:                              `team: "a": guarantee: -1 is outside`,
		`(scale (team 7 1 9))`:                                 "a name of 1 to 120 bytes",
		`(scale (team "` + long + `" 1 9))`:                    "a name of 1 to 120 bytes",
		`(scale (team "a" 1 9))`:                               `running: team "a" would hold`,
		`(scale (team "a" 9000 9000) (team "b" 9000 9000))`:    "guarantees of",
		`(scale (teams 5000))`:                                 "teams: 5000 is outside",
		`(scale (teams 0))`:                                    "teams: at least one is needed",
		`(scale (workers 2601))`:                               "zones: 2601 workers in 10 zones",
		`(scale (regions 3))`:                                  "zones: 2600 workers in 10 zones in 3 regions",
		`(scale (rack-workers 300))`:                           "rack-workers: 300 are more than the 260 of a zone",
		`(scale (peak-starts 10))`:                             "peak-starts: 10 is below steady-starts",
		`(scale (urgent-starts 90))`:                           "urgent-starts: 90 is not below",
		`(scale (report-s 20))`:                                "report-s: 20 leaves no second report",
		`(scale (running 16000))`:                              "running: 18400 tasks at the peak don't fit",
		`(scale (task-cpus 7))`:                                "don't fit 2600 workers of 6 CPUs",
		`(scale (controllers 16) (controller-memory-mb 8000))`: "memory-gb: the run may take",
		`(scale (operator (idle-hours 3)))`:                    "operator: idle-hours: unknown key",
		`(scale (operator (idle-s -3)))`:                       "operator: idle-s: -3 is outside",
	} {
		if _, err := ParseSettings([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.60s: %v, want %q", text, err, want)
		}
	}
	if _, err := LoadSettings("no-such.sexp"); err == nil || !strings.Contains(err.Error(), "no-such.sexp") {
		t.Errorf("loading a missing file: %v", err)
	}
}
