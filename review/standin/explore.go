//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["explore"] = exploreCase }

// told is what users were told of a job.
type told struct {
	job      *jobSpec
	mu       sync.Mutex
	accepted time.Time
	asked    bool   // its user asked to cancel it
	final    string // done or cancelled
	finalAt  time.Time
	lastOK   time.Time
}

func exploreCase(r *recorder, trouble bool) int {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rnd := rand.New(rand.NewPCG(seed, 7))
	cfg := sapporo()
	cfg.Teams = append(cfg.Teams, team{Name: "capped", CPUs: 4, CPUsMax: 12})
	if seed%3 == 1 {
		cfg = tipjar()
		cfg.Zones = []string{"a", "b"}
		cfg.Teams = append(cfg.Teams, team{Name: "capped", CPUs: 4, CPUsMax: 12})
		cfg.LeaseS, cfg.CancelS, cfg.ReportS = 14, 34, 2
	}
	zones := cfg.Zones
	types := []machineType{
		{SKU: "kogata", CPUs: 8, MemoryGB: 32, CacheGB: 60, FetchGBPerS: 1, Price: 0.5, MarketPrice: 0.11, ReadyS: 2, Yards: zones},
		{SKU: "ogata", CPUs: 32, MemoryGB: 128, CacheGB: 40, FetchGBPerS: 2, Price: 2, MarketPrice: 0.5, ReadyS: 3, Yards: zones},
	}
	s, err := newSite(cfg, r, types, 8)
	if err == nil {
		err = s.startAll(20 * time.Second)
	}
	if err != nil {
		r.verdict("could not run: " + err.Error())
		return cannot
	}
	var jobsMu sync.Mutex
	var jobs []*told
	stop := time.Now().Add(85 * time.Second)
	quiet := atomic.Bool{}
	teams := []string{cfg.Teams[0].Name, "capped"}
	troubleUntil, arriveUntil := stop.Add(-25*time.Second), stop.Add(-20*time.Second)
	calm := os.Getenv("MODE") == "quiet"
	if calm {
		teams[1] = teams[0]
		s.cloud.room = 14
		stop = time.Now().Add(95 * time.Second)
		troubleUntil, arriveUntil = stop.Add(-75*time.Second), stop.Add(-50*time.Second)
	}
	observe := func(t *told, n *node, sent time.Time, status int, state jobState, what string) {
		t.mu.Lock()
		defer t.mu.Unlock()
		if status == 404 && !t.accepted.IsZero() && sent.After(t.accepted) {
			s.mu.Lock()
			s.breakRule("forgotten", t.job.UID+" gets 404 from "+n.name+" by "+what)
			s.mu.Unlock()
		}
		if (status == 400 || status == 422) && !t.accepted.IsZero() {
			s.mu.Lock()
			s.breakRule("forgotten", fmt.Sprintf("%s gets %d from %s by %s", t.job.UID, status, n.name, what))
			s.mu.Unlock()
		}
		if status != 200 && status != 201 {
			return
		}
		t.lastOK = time.Now()
		if t.accepted.IsZero() {
			t.accepted = time.Now()
		}
		if t.final != "" && sent.After(t.finalAt) && state.Stage != t.final {
			s.mu.Lock()
			s.breakRule("went_back", fmt.Sprintf("%s was %s, is %s at %s by %s", t.job.UID, t.final, state.Stage, n.name, what))
			s.mu.Unlock()
		}
		if t.final != "" && (state.Stage == "done" || state.Stage == "cancelled") && state.Stage != t.final {
			s.mu.Lock()
			s.breakRule("went_back", t.job.UID+" has two ends")
			s.mu.Unlock()
		}
		switch state.Stage {
		case "done":
			if s.doneOf(t.job.UID) < t.job.Pieces {
				s.mu.Lock()
				s.breakRule("not_done", t.job.UID)
				s.mu.Unlock()
			}
		case "cancelled":
			if !t.asked {
				s.mu.Lock()
				s.breakRule("went_back", t.job.UID+" is cancelled, nobody asked")
				s.mu.Unlock()
			}
			s.mu.Lock()
			if t.job.cancelHeard.IsZero() {
				t.job.cancelHeard = time.Now()
			}
			s.mu.Unlock()
		}
		if (state.Stage == "done" || state.Stage == "cancelled") && t.final == "" {
			t.final, t.finalAt = state.Stage, time.Now()
		}
	}
	var wg sync.WaitGroup
	user := func(t *told, seed uint64) {
		defer wg.Done()
		rnd := rand.New(rand.NewPCG(seed, 9))
		accepted := false
		for i := 0; i < 40 && !accepted; i++ {
			n := s.nodes[rnd.IntN(len(s.nodes))]
			sent := time.Now()
			status, data, _ := call(n, "POST", "/api/jobs", marshal(t.job), 5*time.Second)
			observe(t, n, sent, status, parseState(data), "submit")
			accepted = status == 200 || status == 201
			if status == 400 || status == 422 {
				s.mu.Lock()
				s.breakRule("rejected", t.job.UID+string(data))
				s.mu.Unlock()
				return
			}
			if !accepted {
				time.Sleep(time.Second)
			}
		}
		if !accepted {
			return
		}
		cancelAt := time.Time{}
		if rnd.IntN(3) == 0 || t.job.Sort == "daemon" {
			cancelAt = time.Now().Add(time.Duration(rnd.IntN(20000)) * time.Millisecond)
		}
		for end := stop.Add(12 * time.Second); time.Now().Before(end); {
			if !cancelAt.IsZero() && time.Now().After(cancelAt) {
				t.mu.Lock()
				t.asked = true
				t.mu.Unlock()
				n := s.nodes[rnd.IntN(len(s.nodes))]
				sent := time.Now()
				timeout := 5 * time.Second
				if rnd.IntN(4) == 0 {
					timeout = time.Duration(1+rnd.IntN(30)) * time.Millisecond // its user goes away
				}
				status, data, _ := call(n, "POST", "/api/jobs/"+t.job.UID+"/cancel", nil, timeout)
				observe(t, n, sent, status, parseState(data), "cancel")
				if status == 200 {
					cancelAt = time.Time{}
					for _, n := range s.nodes { // a close look
						wg.Add(1)
						go func() {
							defer wg.Done()
							sent := time.Now()
							status, state := s.poll(n, t.job.UID)
							observe(t, n, sent, status, state, "close poll")
						}()
					}
				} else {
					cancelAt = time.Now().Add(time.Second)
				}
			}
			n := s.nodes[rnd.IntN(len(s.nodes))]
			sent := time.Now()
			if rnd.IntN(6) == 0 {
				status, data, _ := call(n, "POST", "/api/jobs", marshal(t.job), 5*time.Second)
				observe(t, n, sent, status, parseState(data), "repeat")
			} else {
				status, state := s.poll(n, t.job.UID)
				observe(t, n, sent, status, state, "poll")
			}
			t.mu.Lock()
			over := t.final != "" && time.Since(t.finalAt) > 15*time.Second
			t.mu.Unlock()
			if over {
				return
			}
			time.Sleep(time.Duration(200+rnd.IntN(1500)) * time.Millisecond)
		}
	}
	wg.Add(1)
	go func() { // arrivals
		defer wg.Done()
		for i := 0; time.Now().Before(arriveUntil); i++ {
			job := &jobSpec{
				UID: fmt.Sprintf("j-%06d", i), Docket: "c" + strconv.Itoa(i%4), Crew: teams[rnd.IntN(2)], Sort: "sweep", Urgency: []string{"low", "normal", "urgent", "production"}[rnd.IntN(4)],
				Pieces: 1 + rnd.IntN(6), CPUs: []float64{1, 2, 2.5, 4}[rnd.IntN(4)], MemoryGB: 1, Kit: "img-" + strconv.Itoa(rnd.IntN(5)), PullGB: 0.4, Loaners: rnd.IntN(2) == 0 || os.Getenv("CHEAP") != "", ReckonS: 5,
			}
			job.runS = []float64{0.2, 1, 4, 12}[rnd.IntN(4)]
			switch rnd.IntN(7) {
			case 0:
				if !calm {
					job.Sort, job.runS, job.ReckonS, job.Pieces = "daemon", 0, 0, 1+rnd.IntN(2)
				}
			case 1:
				job.Together = true
			case 2:
				job.Apart = true
			case 3:
				job.Yard = &zones[rnd.IntN(len(zones))]
			case 4:
				job.MarkS, job.StashS = 2, 1
			}
			t := &told{job: job}
			s.mu.Lock()
			s.jobs[job.UID] = job
			s.mu.Unlock()
			jobsMu.Lock()
			jobs = append(jobs, t)
			jobsMu.Unlock()
			wg.Add(1)
			go user(t, seed*100000+uint64(i))
			time.Sleep(time.Duration(150+rnd.IntN(900)) * time.Millisecond)
		}
	}()
	if trouble {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rnd := rand.New(rand.NewPCG(seed, 11))
			pick := func() *node {
				if l := s.leader(); l != nil && rnd.IntN(3) > 0 {
					return l
				}
				return s.nodes[rnd.IntN(len(s.nodes))]
			}
			machineOf := func() *worker {
				s.cloud.mu.Lock()
				defer s.cloud.mu.Unlock()
				var up []*worker
				for _, m := range s.cloud.machines {
					if m.worker != nil && m.gone.IsZero() {
						up = append(up, m.worker)
					}
				}
				if len(up) == 0 {
					return nil
				}
				return up[rnd.IntN(len(up))]
			}
			var pending sync.WaitGroup
			later := func(d time.Duration, f func()) {
				pending.Add(1)
				time.AfterFunc(d, func() { defer pending.Done(); f() })
			}
			for time.Now().Before(troubleUntil) {
				for_ := time.Duration(500+rnd.IntN(12000)) * time.Millisecond
				kinds := 9
				if s.proxied {
					kinds = 14
				}
				switch rnd.IntN(kinds) {
				case 9: // a controller loses the state service, packets are held
					n := pick()
					r.note("cut from state", "node", n.name, "for", for_)
					s.toState[n.name].cut(true)
					later(for_, func() { s.toState[n.name].cut(false) })
				case 10: // a controller loses the state service and the others
					n := pick()
					r.note("cut from state and peers", "node", n.name, "for", for_*2)
					cut := func(on bool) {
						s.toState[n.name].cut(on)
						for _, o := range s.nodes {
							s.between[n.name+o.name].cut(on)
							s.between[o.name+n.name].cut(on)
						}
					}
					cut(true)
					later(for_*2, func() { cut(false) })
				case 11: // peers refuse
					r.note("peers refuse", "for", for_*2)
					for _, p := range s.between {
						p.reset(true)
					}
					later(for_*2, func() {
						for _, p := range s.between {
							p.reset(false)
						}
					})
				case 12: // a controller loses the workers
					n := pick()
					r.note("cut from workers", "node", n.name, "for", for_*2)
					for _, z := range zones {
						s.toNode[z+n.name].cut(true)
					}
					later(for_*2, func() {
						for _, z := range zones {
							s.toNode[z+n.name].cut(false)
						}
					})
				case 13: // a zone and a controller in it are cut off
					i := rnd.IntN(len(s.nodes))
					n, z := s.nodes[i], zones[i%len(zones)]
					r.note("zone cut", "zone", z, "node", n.name, "for", for_*2)
					cut := func(on bool) {
						s.toState[n.name].cut(on)
						for _, o := range s.nodes {
							if o != n {
								s.between[n.name+o.name].cut(on)
								s.between[o.name+n.name].cut(on)
								s.toNode[z+o.name].cut(on)
							}
						}
						for _, oz := range zones {
							if oz != z {
								s.toNode[oz+n.name].cut(on)
							}
						}
					}
					cut(true)
					later(for_*2, func() { cut(false) })
				case 0:
					n := pick()
					if n.alive() {
						n.kill()
						later(time.Duration(100+rnd.IntN(4000))*time.Millisecond, func() { _ = n.start() })
					}
				case 1:
					n := pick()
					n.stop()
					later(for_, n.resume)
				case 2:
					n := pick()
					r.note("state refuses", "node", n.name, "for", for_)
					s.state.refuse(n.name, true)
					later(for_, func() { s.state.refuse(n.name, false) })
				case 3:
					r.note("state out", "for", for_)
					s.state.outage(true)
					later(for_, func() { s.state.outage(false) })
				case 4, 5:
					if w := machineOf(); w != nil {
						r.note("machine hangs", "machine", w.name, "for", for_*2)
						w.hang(true)
						later(for_*2, func() { w.hang(false) })
					}
				case 6:
					if w := machineOf(); w != nil {
						r.note("machine mute", "machine", w.name, "for", for_*2)
						w.setMute(true)
						later(for_*2, func() { w.setMute(false) })
					}
				case 7:
					if w := machineOf(); w != nil {
						r.note("machine deaf", "machine", w.name, "for", for_*2)
						w.setDeaf(true)
						later(for_*2, func() { w.setDeaf(false) })
					}
				case 8:
					r.note("all controllers are killed")
					for _, n := range s.nodes {
						if n.alive() {
							n.kill()
						}
					}
					time.Sleep(time.Duration(rnd.IntN(3000)) * time.Millisecond)
					for _, n := range s.nodes {
						if !n.alive() {
							_ = n.start()
						}
					}
				}
				time.Sleep(time.Duration(500+rnd.IntN(6000)) * time.Millisecond)
			}
			pending.Wait()
			for _, n := range s.nodes {
				if !n.alive() {
					_ = n.start()
				}
			}
			quiet.Store(true)
		}()
	}
	wg.Wait()
	for _, n := range s.nodes {
		for _, path := range []string{"/ops/stats", "/ops/machines", "/ops/links"} {
			_, data, _ := get(n, path)
			r.note("ops", "node", n.name, "path", path, "answer", string(data))
		}
	}
	jobsMu.Lock()
	defer jobsMu.Unlock()
	unfinished, silent := 0, 0
	for _, t := range jobs {
		if t.accepted.IsZero() {
			continue
		}
		if t.final == "" {
			unfinished++
			r.note("unfinished", "job", t.job.UID, "loaners", t.job.Loaners, "yard", t.job.Yard != nil, "pieces", t.job.Pieces, "done", s.doneOf(t.job.UID), "on", s.runningOf(t.job.UID), "sort", t.job.Sort, "together", t.job.Together, "apart", t.job.Apart, "crew", t.job.Crew, "runS", t.job.runS, "cpus", t.job.CPUs)
		}
		if t.final == "" && time.Since(t.lastOK) > 20*time.Second {
			silent++
			r.note("silent", "job", t.job.UID, "for", time.Since(t.lastOK))
		}
	}
	text := fmt.Sprintf("seed %d: %d jobs, %d starts, %d unfinished, %d silent, %d leases ended, most used %v, 400s %d %s, 429s %d, broken %v", seed, len(jobs), s.starts, unfinished, silent, s.leasesEnded.Load(), s.maxUsed, s.state.bad, s.state.badBody, s.state.busy, s.brokenRules())
	r.verdict(text)
	if len(s.brokenRules()) > 0 {
		return broken
	}
	return held
}
