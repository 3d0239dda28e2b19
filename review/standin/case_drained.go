//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["drained"] = drainedCase }

const (
	drainedMachines = 28
	drainedOutage   = 7 * time.Second
	drainedWait     = 90 * time.Second
)

// drainedCase lets machines become idle one after the other, so that some are being drained when
// the state service goes down, and then submits services that fit on the machines that are up.
func drainedCase(r *recorder, trouble bool) int {
	cfg := sapporo()
	zone := cfg.Zones[0]
	types := []machineType{
		{SKU: "kogata", CPUs: 8, MemoryGB: 16, CacheGB: 60, FetchGBPerS: 0.25, Price: 0.5, MarketPrice: 0.14, ReadyS: 15, Yards: cfg.Zones},
		{SKU: "ogata", CPUs: 64, MemoryGB: 128, CacheGB: 40, FetchGBPerS: 1, Price: 3.86, MarketPrice: 0.57, ReadyS: 25, Yards: cfg.Zones},
	}
	s, err := newSite(cfg, r, types, 28)
	if err != nil {
		r.verdict("could not run: " + err.Error())
		return cannot
	}
	for range drainedMachines {
		s.cloud.add("kogata", zone, true, 10*time.Minute)
	}
	if err := s.startAll(20 * time.Second); err != nil {
		r.verdict("could not run: " + err.Error())
		return cannot
	}
	// Jobs of one task that end one after the other.
	for i := range drainedMachines {
		job := &jobSpec{
			UID: fmt.Sprintf("j-%06d", i), Docket: "trade-quote", Crew: "trade-desk", Sort: "sweep", Urgency: "normal", Pieces: 1, CPUs: 8, MemoryGB: 9.3,
			Kit: "img-00", PullGB: 0.1, Loaners: true, ReckonS: 3, runS: 0.5 + 0.4*float64(i),
		}
		if err := s.submit(job); err != nil {
			r.verdict("could not run: " + err.Error())
			return cannot
		}
	}
	// The first machine is returned.
	for begun := time.Now(); len(s.cloud.upMachines()) == drainedMachines; time.Sleep(20 * time.Millisecond) {
		if time.Since(begun) > 40*time.Second {
			r.verdict("could not run: no machine is returned")
			return cannot
		}
	}
	if trouble {
		r.note("the state service is down", "for", drainedOutage)
		s.state.outage(true)
	}
	time.Sleep(drainedOutage)
	if trouble {
		s.state.outage(false)
		r.note("the state service is up again")
	}
	over := time.Now()
	time.Sleep(500 * time.Millisecond)
	machines := s.cloud.upMachines()
	r.note("machines that are up", "count", len(machines))
	var jobs []*jobSpec
	for i := range machines {
		job := &jobSpec{
			UID: fmt.Sprintf("j-%06d", 100+i), Docket: "trade-desk", Crew: "trade-desk", Sort: "daemon", Urgency: "normal", Pieces: 1, CPUs: 8, MemoryGB: 9.3,
			Kit: "img-00", PullGB: 0.1, Loaners: true,
		}
		if err := s.submit(job); err != nil {
			r.verdict("could not run: " + err.Error())
			return cannot
		}
		jobs = append(jobs, job)
	}
	return s.waitForRoom(over, jobs, drainedWait)
}
