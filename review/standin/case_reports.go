//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["reports"] = reportsCase }

// reportsCase submits an array of small tasks that fit on one machine together, and an ordinary
// job beside it.
func reportsCase(r *recorder, trouble bool) int {
	cfg := sapporo()
	types := []machineType{
		{SKU: "ogata", CPUs: 64, MemoryGB: 128, CacheGB: 40, FetchGBPerS: 1, Price: 3.86, MarketPrice: 0.84, ReadyS: 25, Yards: cfg.Zones},
	}
	s, err := newSite(cfg, r, types, 1)
	if err != nil {
		r.verdict("could not run: " + err.Error())
		return cannot
	}
	s.cloud.add("ogata", cfg.Zones[0], true, 10*time.Minute)
	if err := s.startAll(20 * time.Second); err != nil {
		r.verdict("could not run: " + err.Error())
		return cannot
	}
	small := &jobSpec{
		UID: "j-000412", Docket: "nail-checks", Crew: "trade-desk", Sort: "sweep", Urgency: "normal", Pieces: 600, CPUs: 0.03, MemoryGB: 0.05,
		Kit: "img-07", PullGB: 0.5, Loaners: true, ReckonS: 30, runS: 30,
	}
	if trouble {
		small.Pieces = 1500
	}
	ordinary := &jobSpec{
		UID: "j-000413", Docket: "trade-quote", Crew: "trade-desk", Sort: "sweep", Urgency: "normal", Pieces: 2, CPUs: 8, MemoryGB: 9.3,
		Kit: "img-08", PullGB: 0.5, Loaners: true, ReckonS: 20, runS: 20,
	}
	jobs := []*jobSpec{ordinary, small}
	for _, job := range jobs {
		if err := s.submit(job); err != nil {
			r.verdict("could not run: " + err.Error())
			return cannot
		}
	}
	finished := 0
	for begun := time.Now(); time.Since(begun) < 100*time.Second && finished < len(jobs); time.Sleep(time.Second) {
		finished = 0
		for _, job := range jobs {
			status, state := s.poll(s.nodes[0], job.UID)
			r.note("poll", "job", job.UID, "status", status, "stage", state.Stage, "done", state.Done, "running", state.Running, "completed", s.doneOf(job.UID), "on_machines", s.runningOf(job.UID))
			if state.Stage == "done" {
				finished++
			}
		}
	}
	text := fmt.Sprintf("%d of %d jobs done, %d of %d and %d of %d tasks completed, the machine's lease ended %d times",
		finished, len(jobs), s.doneOf(ordinary.UID), ordinary.Pieces, s.doneOf(small.UID), small.Pieces, s.leasesEnded.Load())
	if finished < len(jobs) && s.leasesEnded.Load() > 0 {
		r.verdict("broken: " + text)
		return broken
	}
	r.verdict("held: " + text)
	return held
}
