//go:build review

package main

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = memoryCase }

// memoryWait is the time in which the small job, whose tasks run for 5 s, should be done.
const memoryWait = 90 * time.Second

// anonymousMB returns the memory that a controller's process holds, without its program's file.
func (n *node) anonymousMB() float64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	match := regexp.MustCompile(`(?m)^RssAnon:\s*(\d+) kB`).FindSubmatch(data)
	if match == nil {
		return 0
	}
	kb, _ := strconv.ParseFloat(string(match[1]), 64)
	return kb / 1024
}

// platform kills a controller that is beyond its memory limit, and starts it again 4 s later.
type platform struct {
	site  *site
	kills atomic.Int64
	most  atomic.Int64 // MB
}

func (p *platform) watch(n *node) {
	for range time.Tick(50 * time.Millisecond) {
		mb := n.anonymousMB()
		p.most.Store(max(p.most.Load(), int64(mb)))
		if mb <= p.site.cfg.RAMMB {
			continue
		}
		p.site.rec.note("controller is beyond its memory limit", "node", n.name, "mb", int64(mb), "limit", p.site.cfg.RAMMB)
		p.kills.Add(1)
		n.kill()
		time.Sleep(4 * time.Second)
		if n.start() != nil {
			return
		}
	}
}

// memoryCase submits many of the largest arrays at once, and then a small urgent job.
func memoryCase(r *recorder, trouble bool) int {
	cfg := sapporo()
	types := []machineType{
		{SKU: "kogata", CPUs: 8, MemoryGB: 16, CacheGB: 60, FetchGBPerS: 0.25, Price: 0.5, MarketPrice: 0.11, ReadyS: 15, Yards: cfg.Zones},
		{SKU: "ogata", CPUs: 64, MemoryGB: 128, CacheGB: 40, FetchGBPerS: 1, Price: 3.86, MarketPrice: 0.84, ReadyS: 25, Yards: cfg.Zones},
	}
	s, err := newSite(cfg, r, types, 4)
	if err != nil {
		r.verdict("could not run: " + err.Error())
		return cannot
	}
	for range 4 {
		s.cloud.add("kogata", cfg.Zones[0], true, 10*time.Minute)
	}
	if err := s.startAll(20 * time.Second); err != nil {
		r.verdict("could not run: " + err.Error())
		return cannot
	}
	p := &platform{site: s}
	for _, n := range s.nodes {
		go p.watch(n)
	}
	count := 10
	if trouble {
		count = 120
	}
	var users sync.WaitGroup
	var accepted atomic.Int64
	for i := range count {
		job := &jobSpec{
			UID: fmt.Sprintf("j-%06d", i), Docket: "thermal-study", Crew: "trade-desk", Sort: "sweep", Urgency: "low", Pieces: 100_000, CPUs: 1, MemoryGB: 1,
			Kit: "img-00", PullGB: 0.1, Loaners: true, ReckonS: 50, runS: 50,
		}
		users.Add(1)
		go func() {
			defer users.Done()
			if s.submit(job) == nil {
				accepted.Add(1)
			}
		}()
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	small := &jobSpec{
		UID: "j-001000", Docket: "trade-quote", Crew: "trade-desk", Sort: "sweep", Urgency: "urgent", Pieces: 4, CPUs: 2, MemoryGB: 2,
		Kit: "img-00", PullGB: 0.1, Loaners: true, ReckonS: 5, runS: 5,
	}
	if err := s.submit(small); err != nil {
		r.verdict("could not run: " + err.Error())
		return cannot
	}
	var state jobState
	for submitted := time.Now(); time.Since(submitted) < memoryWait && state.Stage != "done" && time.Since(r.start) < 112*time.Second; time.Sleep(time.Second) {
		var status int
		status, state = s.poll(s.nodes[int(r.since())%3], small.UID)
		r.note("poll", "status", status, "stage", state.Stage, "completed", s.doneOf(small.UID), "accepted", accepted.Load(), "kills", p.kills.Load(),
			"mb", fmt.Sprintf("%.0f %.0f %.0f", s.nodes[0].anonymousMB(), s.nodes[1].anonymousMB(), s.nodes[2].anonymousMB()))
	}
	text := fmt.Sprintf("the small job is %q with %d of 4 tasks completed; %d of %d large jobs accepted, controllers killed for memory %d times, most %d MB of %.0f",
		state.Stage, s.doneOf(small.UID), accepted.Load(), count, p.kills.Load(), p.most.Load(), cfg.RAMMB)
	if state.Stage != "done" {
		r.verdict("broken: " + text)
		return broken
	}
	r.verdict("held: " + text)
	return held
}
