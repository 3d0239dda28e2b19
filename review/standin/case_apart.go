//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["apart"] = apartCase }

const apartWait = 90 * time.Second

// apartCase takes back the cheap machine of one of the two replicas of a service that are kept in
// different zones, while the other replica's machine has room for both.
func apartCase(r *recorder, trouble bool) int {
	cfg := sapporo()
	types := []machineType{
		{SKU: "kogata", CPUs: 8, MemoryGB: 16, CacheGB: 60, FetchGBPerS: 0.25, Price: 0.5, MarketPrice: 0.11, ReadyS: 5, Yards: cfg.Zones},
	}
	s, err := newSite(cfg, r, types, 28)
	if err != nil {
		r.verdict("could not run: " + err.Error())
		return cannot
	}
	for _, zone := range cfg.Zones[:2] {
		s.cloud.add("kogata", zone, true, 10*time.Minute)
	}
	if err := s.startAll(20 * time.Second); err != nil {
		r.verdict("could not run: " + err.Error())
		return cannot
	}
	time.Sleep(3 * time.Second) // both machines have reported
	job := &jobSpec{
		UID: "j-000000", Docket: "quote-desk", Crew: "trade-desk", Sort: "daemon", Urgency: "normal", Pieces: 2, CPUs: 3, MemoryGB: 2,
		Kit: "img-00", PullGB: 0.1, Loaners: true, Apart: true,
	}
	if err := s.submit(job); err != nil {
		r.verdict("could not run: " + err.Error())
		return cannot
	}
	for begun := time.Now(); s.runningOf(job.UID) < job.Pieces; time.Sleep(20 * time.Millisecond) {
		if time.Since(begun) > 15*time.Second {
			r.verdict("could not run: the replicas do not start")
			return cannot
		}
	}
	time.Sleep(time.Second)
	if trouble {
		s.cloud.take(s.machineOf(job.UID + "/1"))
	}
	taken := time.Now()
	for time.Since(taken) < apartWait {
		status, state := s.poll(s.nodes[0], job.UID)
		r.note("poll", "status", status, "stage", state.Stage, "running", state.Running, "on_machines", s.runningOf(job.UID), "machines", len(s.cloud.upMachines()))
		time.Sleep(2 * time.Second)
	}
	text := fmt.Sprintf("%d of %d replicas run %.0f s after the machine was taken", s.runningOf(job.UID), job.Pieces, time.Since(taken).Seconds())
	if s.runningOf(job.UID) < job.Pieces {
		r.verdict("broken: " + text)
		return broken
	}
	r.verdict("held: " + text)
	return held
}
