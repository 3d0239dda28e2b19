//go:build review

package main

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

func init() { cases["cordoned"] = cordonedCase }

const cordonedWait = 90 * time.Second

// cordonedCase lets users cancel services on cheap machines, and then submits a service that may
// not use cheap machines and fits on the ordinary one that is up.
func cordonedCase(r *recorder, trouble bool) int {
	cfg := sapporo()
	zone := cfg.Zones[0]
	types := []machineType{
		{SKU: "kogata", CPUs: 8, MemoryGB: 16, CacheGB: 60, FetchGBPerS: 0.25, Price: 0.5, MarketPrice: 0.11, ReadyS: 15, Yards: cfg.Zones},
		{SKU: "ogata", CPUs: 64, MemoryGB: 128, CacheGB: 40, FetchGBPerS: 1, Price: 3.86, MarketPrice: 0.84, ReadyS: 25, Yards: cfg.Zones},
	}
	s, err := newSite(cfg, r, types, 28)
	if err != nil {
		r.verdict("could not run: " + err.Error())
		return cannot
	}
	for range 4 {
		s.cloud.add("kogata", zone, true, 10*time.Minute)
	}
	ordinary := s.cloud.add("kogata", zone, false, 10*time.Minute)
	if err := s.startAll(20 * time.Second); err != nil {
		r.verdict("could not run: " + err.Error())
		return cannot
	}
	service := func(n int, cpus float64, loaners bool) *jobSpec {
		return &jobSpec{
			UID: fmt.Sprintf("j-%06d", n), Docket: "quote-desk", Crew: "trade-desk", Sort: "daemon", Urgency: "normal", Pieces: 1, CPUs: cpus, MemoryGB: 2,
			Kit: "img-00", PullGB: 0.1, Loaners: loaners,
		}
	}
	time.Sleep(3 * time.Second) // all machines have reported
	first := []*jobSpec{service(0, 2, false)}
	for i := 1; i <= 16; i++ {
		first = append(first, service(i, 2, true))
	}
	for i, job := range first {
		if err := s.submit(job); err != nil {
			r.verdict("could not run: " + err.Error())
			return cannot
		}
		for begun := time.Now(); s.runningOf(job.UID) == 0; time.Sleep(20 * time.Millisecond) {
			if time.Since(begun) > 10*time.Second {
				r.verdict(fmt.Sprintf("could not run: service %d does not start", i))
				return cannot
			}
		}
	}
	on := map[string][]*jobSpec{}
	for _, job := range first {
		on[s.machineOf(job.UID+"/0")] = append(on[s.machineOf(job.UID+"/0")], job)
	}
	for name, jobs := range on {
		r.note("services", "machine", name, "count", len(jobs))
	}
	if len(on) != 5 || len(on[ordinary.name]) != 1 || slices.ContainsFunc(slices.Collect(maps.Values(on)), func(jobs []*jobSpec) bool { return len(jobs) > 4 }) {
		r.verdict("could not run: the first services are not where they were expected")
		return cannot
	}
	if trouble {
		for name, jobs := range on {
			if name == ordinary.name {
				continue
			}
			for status := 0; status != 200; {
				status, _ = s.cancel(s.nodes[0], jobs[0])
			}
		}
	}
	time.Sleep(time.Until(r.start.Add(23 * time.Second)))
	over := time.Now()
	job := service(100, 4, false)
	if err := s.submit(job); err != nil {
		r.verdict("could not run: " + err.Error())
		return cannot
	}
	return s.waitForRoom(over, []*jobSpec{job}, cordonedWait)
}

// machineOf returns the machine that a task is on, "" if it is on none.
func (s *site) machineOf(piece string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.on[piece] {
		return name
	}
	return ""
}
