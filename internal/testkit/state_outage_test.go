package testkit_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goccy/go-json"
	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/submission"
	"github.com/wallrack/wallrack/internal/wire"
)

// ShardOwners names the other controllers that own jobs, as cmd/wallrack does.
func (n *node) ShardOwners() (out []string) {
	add := func(name string) {
		if name != "" && name != n.name && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	if n.member.LeaseRemaining() > 0 {
		for _, o := range n.member.ShardOwners() {
			add(o)
		}
		return out
	}
	v := n.linksSeen()
	for i := range v.Peers {
		if p := &v.Peers[i]; p.IsFresh() && p.Status.LeaseHeld {
			add(p.Status.PreferredLeader)
		}
	}
	return out
}

// ServingPeers names the controllers that reach the state service.
func (n *node) ServingPeers() []string { v := n.linksSeen(); return v.ServingPeers() }

// Healthy reports whether this controller takes users.
func (n *node) Healthy() bool { return true }

// AskPeer hands a user's request to a peer.
func (n *node) AskPeer(ctx context.Context, peer string, r submission.Request) (*submission.Reply, error) {
	return overPeerLink(ctx, n.cluster, func() (*submission.Reply, error) {
		to, err := n.peer(peer)
		if err != nil {
			return nil, err
		}
		rep := to.submission.Serve(ctx, r)
		return &rep, nil
	})
}

// tellCancels has a controller and a peer tell each other of cancels.
func (w *cluster) tellCancels(n, to *node) {
	m := n.cancellations.MessageFor(to.name)
	err := to.cancellations.HandleMessage(n.name, &m)
	rep := to.cancellations.MessageFor(n.name)
	if err = errors.Join(err, n.cancellations.HandleMessage(to.name, &rep)); err != nil {
		w.fail("%v", err)
	}
}

// watchCancels does what cmd/wallrack does beside the pings.
func (w *cluster) watchCancels(living []*node) {
	const unheard = 2500 * time.Millisecond
	for _, n := range living {
		for _, p := range n.cancellations.StalePeers(unheard) {
			w.mu.Lock()
			to := w.nodes[p]
			ok := w.reach(n, to)
			w.mu.Unlock()
			if ok {
				w.tellCancels(n, to)
			}
		}
		if n.cancellations.NeedsStoreRead(unheard) {
			sent := time.Now()
			if uids, err := scheduler.ReadCancelledJobs(context.Background(), n.view); err == nil {
				n.cancellations.RecordStoreRead(sent, uids)
			}
		}
		if was := n.entitled; n.member.FencingToken() > 0 {
			n.entitled = n.MayAnswerWorkers()
			if was && !n.entitled {
				w.lapses++
			}
		}
		if on := n.scheduler.UnstoppedWorkers(3 * time.Second); len(on) > 0 && n.MayAnswerWorkers() {
			n.onDuty("cancels", func(ctx context.Context) { n.dispatcher.ChaseCancelledTasks(ctx, on) })
		}
	}
}

// user sends a user's request to a controller, and notes what its user hears.
func (w *cluster) user(name, method, uid string) (stage string, heard bool) {
	w.mu.Lock()
	n := w.nodes[name]
	down := n.down
	_, cancelled := w.confirmedCancels[uid] // what was answered before this request was sent
	over := w.doneJobs[uid]
	w.mu.Unlock()
	if down {
		return "", false
	}
	path := "/api/jobs/" + uid
	if method == http.MethodPost {
		path += "/cancel"
	}
	rec := httptest.NewRecorder()
	n.mux.ServeHTTP(rec, httptest.NewRequest(method, path, nil))
	w.mu.Lock()
	defer w.mu.Unlock()
	if rec.Code == http.StatusNotFound {
		w.fail("%s does not know %s", name, uid)
	}
	if rec.Code != http.StatusOK || n.down { // an answer of a process that ended meanwhile is lost
		return "", false
	}
	var s wire.JobState
	if err := json.Unmarshal(rec.Body.Bytes(), &s); err != nil {
		w.fail("%s answers %q", name, rec.Body)
	}
	if cancelled && s.Stage != wire.StageCancelled {
		w.fail("%s calls %s %s after its user heard that it is cancelled", name, uid, s.Stage)
	}
	if s.Stage == wire.StageCancelled && w.confirmedCancels[uid].IsZero() {
		w.confirmedCancels[uid] = time.Now()
	}
	if s.Stage == wire.StageDone {
		w.doneJobs[uid] = true
	} else if over {
		w.fail("%s calls %s %s after it was called done", name, uid, s.Stage)
	}
	return s.Stage, true
}

// refuse cuts controllers off from the state service.
func (w *cluster) refuse(names ...string) {
	for _, n := range names {
		w.cutAll(n, stateService)
	}
}

// healLinks heals the links between one controller and others.
func (w *cluster) healLinks(one string, others ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range others {
		delete(w.brokenLinks, [2]string{one, o})
		delete(w.brokenLinks, [2]string{o, one})
	}
}

func (w *cluster) healed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.brokenLinks)
}

// cancelAll has the users of jobs cancel them at a controller, and come back for up
// to so many seconds. It returns how many heard that their job is cancelled.
func (w *cluster) cancelAll(at string, jobs []string, seconds int) (heard int) {
	left := slices.Clone(jobs)
	for i := 0; ; i++ {
		left = slices.DeleteFunc(left, func(uid string) bool {
			stage, ok := w.user(at, http.MethodPost, uid)
			if ok && stage == wire.StageCancelled {
				heard++
			}
			return ok
		})
		if len(left) == 0 || i >= seconds {
			return heard
		}
		w.live(1)
	}
}

// workersHear leaves the workers only these controllers.
func (w *cluster) workersHear(names ...string) {
	for _, n := range w.names {
		if slices.Contains(names, n) {
			w.healLinks(n, w.workerNames()...)
		} else {
			w.cutAll(n, w.workerNames()...)
		}
	}
}

// gap is a cluster in which long tasks of some jobs run, in the hands of the old
// leader.
type gap struct {
	*cluster
	leader string
	others []string
	jobs   []string
}

const outage = 70 // seconds, longer than a cancelled task may go on

// on counts the tasks of the jobs that are on machines.
func (g *gap) on() (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, k := range g.workers {
		for _, task := range k.On() {
			if uid, _, _ := strings.Cut(task, "/"); slices.Contains(g.jobs, uid) {
				n++
			}
		}
	}
	return n
}

// In TestCancelDuringStateStoreOutage the state service refuses
// the leader alone, another controller confirms cancels, and then the state service is
// out for all for longer than a cancelled task may go on, while workers go on
// reporting to the old leader. The tasks must be gone in time all the same, and
// nothing else that runs may be lost where all controllers talk to each other.
func TestCancelDuringStateStoreOutage(t *testing.T) {
	type scene struct {
		name string
		play func(g *gap) // up to the end of the outage
		// least is how many cancels must have been confirmed, so that cancels and
		// the outage coincided.
		least int
		// lapses is whether a controller may have to stop answering workers for not
		// knowing of all cancels; ends whether leases may end. They may where workers
		// have seen a higher token than anybody's who is left.
		lapses, ends bool
	}
	// The leader alone has the workers, and neither state service nor peers: a new
	// leader takes over.
	alone := func(g *gap) {
		g.workersHear(g.leader)
		g.refuse(g.leader)
		g.cutAll(g.leader, g.others...)
		g.live(8)
	}
	out := func(g *gap) { g.refuse(g.names...) }
	scenes := []scene{
		{"refused alone, then out for all", func(g *gap) {
			g.refuse(g.leader)
			g.live(2)
			g.cancelAll(g.others[0], g.jobs, 3)
			out(g)
			g.live(outage)
		}, 3, false, false},
		{"cancelled before the refusal", func(g *gap) {
			g.cancelAll(g.others[0], g.jobs, 3)
			g.refuse(g.leader)
			g.live(1)
			out(g)
			g.live(outage)
		}, 3, false, false},
		{"a new leader confirms, the old one hears its peers again", func(g *gap) {
			alone(g)
			g.cancelAll(g.others[0], g.jobs, 12)
			out(g)
			g.healLinks(g.leader, g.others...)
			g.live(outage)
		}, 3, false, true},
		{"a new leader confirms, and never talks to the old one", func(g *gap) {
			alone(g)
			g.cancelAll(g.others[0], g.jobs, 12)
			out(g)
			g.live(outage)
		}, 3, true, true},
		{"the confirmer ends at once, and stays away", func(g *gap) {
			alone(g)
			for _, n := range g.others {
				g.cancelAll(n, g.jobs[:1], 6)
			}
			out(g)
			for _, n := range g.others {
				g.crash(n)
			}
			g.healLinks(g.leader, g.others...)
			g.live(outage)
		}, 1, true, true},
		{"the confirmer is back within a second, and has forgotten", func(g *gap) {
			alone(g)
			for _, n := range g.others {
				g.cancelAll(n, g.jobs[:1], 6)
			}
			out(g)
			for _, n := range g.others {
				g.crash(n)
				time.Sleep(300 * time.Millisecond)
				g.start(n)
			}
			g.healLinks(g.leader, g.others...)
			g.live(outage)
		}, 1, true, true},
		{"the old leader is back within a second, in the outage", func(g *gap) {
			g.refuse(g.leader)
			g.live(2)
			g.cancelAll(g.others[0], g.jobs, 3)
			out(g)
			g.live(7)
			g.crash(g.leader)
			time.Sleep(400 * time.Millisecond)
			g.start(g.leader)
			g.live(outage)
		}, 3, false, true},
		{"another is back within four seconds, in the outage", func(g *gap) {
			g.cancelAll(g.others[0], g.jobs, 3)
			out(g)
			g.live(8)
			g.crash(g.others[0])
			g.live(4)
			g.start(g.others[0])
			g.live(outage)
		}, 3, false, true},
		{"machines hang and go on", func(g *gap) {
			for _, k := range g.workers[:6] {
				g.cutAll(k.Name, g.names...)
			}
			g.refuse(g.leader)
			g.live(2)
			g.cancelAll(g.others[0], g.jobs, 3)
			out(g)
			g.live(5)
			for _, k := range g.workers[:6] {
				g.healLinks(k.Name, g.names...)
			}
			g.live(outage)
		}, 3, false, true},
		{"one link of a pair is cut, a third talks to both", func(g *gap) {
			g.cancelAll(g.others[0], g.jobs[:1], 3)
			out(g)
			g.cutAll(g.leader, g.others[0])
			g.live(outage)
		}, 1, false, false},
		{"two in a row", func(g *gap) {
			for i := range 2 {
				g.refuse(g.leader)
				g.live(2)
				g.cancelAll(g.others[i%2], g.jobs[i:i+1], 15)
				out(g)
				g.live(outage)
				g.healed()
				g.live(1)
			}
		}, 2, false, true},
		{"out for all, and every controller but one ends", func(g *gap) {
			g.workersHear(g.leader)
			g.cancelAll(g.others[0], g.jobs[:1], 3)
			out(g)
			for _, n := range g.others {
				g.crash(n)
			}
			g.live(outage)
		}, 1, true, true},
	}
	for _, controllers := range []int{3, 5} {
		for i, s := range scenes {
			t.Run(fmt.Sprintf("%d: %s", controllers, s.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w, leader, others, _ := settled(t, uint64(700+i), controllers, 12)
					g := &gap{cluster: w, leader: leader, others: others, jobs: []string{"j-81", "j-82", "j-83"}}
					w.long()
					for _, uid := range g.jobs {
						w.submit(uid, 4)
					}
					w.submit("j-90", 6) // goes on
					// They wait for room among the tasks of a large job.
					w.live(30)
					w.within(120, func() bool { return g.on() >= 10 })
					if n := g.on(); n < 10 {
						w.stopAll()
						t.Fatalf("%d long tasks run before the trouble", n)
					}
					sessions := w.sessions()
					// A worker that a lost report sends to a controller with another token
					// can't go back in an outage: not what is counted here.
					w.losslessReports = !s.ends
					s.play(g)
					w.mu.Lock()
					heard := len(w.confirmedCancels)
					w.mu.Unlock()
					if heard < s.least {
						t.Errorf("%d cancels were confirmed: too few to test cancels during the outage", heard)
					}
					sessions -= w.sessions()
					if sessions != 0 && !s.ends || w.lapses > 0 && !s.lapses {
						t.Errorf("%d leases ended, controllers stopped answering %d times", -sessions, w.lapses)
					}
					w.healed()
					w.startAll()
					w.live(20)
					for _, n := range w.names {
						for uid := range w.confirmedCancels {
							if stage, ok := w.user(n, http.MethodGet, uid); !ok {
								t.Errorf("20 s after the last trouble %s says nothing of %s (%s)", n, uid, stage)
							}
						}
					}
					// Where all leases ended, tasks start and end in waves.
					if time.Since(w.lastStart()) > 10*time.Second {
						t.Errorf("after the healing no start for %v", time.Since(w.lastStart()))
					}
					w.stopAll()
				})
			})
		}
	}
}

// long makes the tasks of jobs from 80 on run for long.
func (w *cluster) long() {
	for _, k := range w.workers {
		k.Run = func(task string) time.Duration {
			if strings.HasPrefix(task, "j-8") || strings.HasPrefix(task, "j-9") {
				return 30 * time.Minute
			}
			return variedTime(task)
		}
	}
}

// TestDrawnCancelsDuringOutagesAreFinal draws gaps: refusals, cuts between controllers and of workers, cancels,
// outages, ends and returns, at drawn times, and checks them by what users and workers
// saw: every task of a cancelled job is gone in time, no job is called anything else
// after it was called cancelled or done, and what was not cancelled ends.
func TestDrawnCancelsDuringOutagesAreFinal(t *testing.T) {
	type act struct{ At, What, Who, Other int }
	type phase struct {
		Refused, Apart, Alone bool // the leader by the state service, the peers, all but its workers
		Before, Outage        int  // seconds
		Acts                  []act
	}
	rapid.Check(t, func(rt *rapid.T) {
		acts := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) act {
			return act{rapid.IntRange(0, 30).Draw(rt, "at"), rapid.IntRange(0, 9).Draw(rt, "what"),
				rapid.IntRange(0, 4).Draw(rt, "who"), rapid.IntRange(0, 11).Draw(rt, "other")}
		}), 1, 7)
		phases := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) phase {
			return phase{rapid.Bool().Draw(rt, "refused"), rapid.Bool().Draw(rt, "apart"), rapid.Bool().Draw(rt, "alone"),
				rapid.IntRange(0, 16).Draw(rt, "before"), rapid.IntRange(0, 75).Draw(rt, "outage"), acts.Draw(rt, "acts")}
		}), 1, 2).Draw(rt, "phases")
		controllers := rapid.IntRange(3, 5).Draw(rt, "controllers")
		seed := rapid.Uint64().Draw(rt, "seed")
		drawnCluster(t, rt, seed, controllers, 8, func(w *cluster) {
			w.long()
			const jobs = 6
			for i := range jobs {
				w.submit(fmt.Sprintf("j-%d", 80+i), 3)
			}
			w.submit("j-1", 20)
			w.keepCuts = true
			w.live(12)
			do := func(a act, leader string) {
				name, other := w.names[a.Who%len(w.names)], w.names[a.Other%len(w.names)]
				uid := fmt.Sprintf("j-%d", 80+a.Other%jobs)
				switch a.What {
				case 0, 1, 2, 3:
					for i := 0; i < 6; i++ {
						if _, ok := w.user(name, http.MethodPost, uid); ok {
							break
						}
						w.live(1)
					}
				case 4:
					w.user(name, http.MethodGet, uid)
				case 5:
					w.restart(name, time.Duration(100+400*a.Other)*time.Millisecond)
				case 6:
					w.healLinks(leader, w.others(leader)...)
				case 7:
					if name != other {
						w.cutAll(name, other)
					}
				case 8:
					w.workersHear(w.names...)
				case 9:
					w.release()
					for _, n := range w.nodes {
						n.view.Deliver()
					}
				}
			}
			for _, ph := range phases {
				leader := w.names[0]
				for _, n := range w.names {
					if len(w.nodes[n].member.OwnedShards()) > 0 {
						leader = n
					}
				}
				if ph.Refused {
					w.refuse(leader)
				}
				for _, x := range w.names {
					if ph.Apart && x != leader {
						w.cutAll(leader, x)
					}
				}
				if ph.Alone {
					w.workersHear(leader)
				}
				// Acts come before the outage, and up to 15 s into it.
				left := slices.Clone(ph.Acts)
				for s := 0; s < ph.Before+ph.Outage; s++ {
					if s == ph.Before {
						w.refuse(w.names...)
					}
					for _, a := range left {
						if a.At%(ph.Before+15) == s {
							do(a, leader)
						}
					}
					w.live(1)
				}
				w.healed()
				w.live(15)
			}
			w.live(25)
			for i := range jobs {
				uid := fmt.Sprintf("j-%d", 80+i)
				for _, n := range w.names {
					// An answer that a lost reply made unsure is sure a moment later.
					_, ok := w.user(n, http.MethodGet, uid)
					for range 3 {
						if !ok {
							w.live(1)
							_, ok = w.user(n, http.MethodGet, uid)
						}
					}
					if !ok {
						w.fail("40 s after the last trouble %s says nothing of %s", n, uid)
					}
				}
			}
			for end := time.Now().Add(5 * time.Minute); w.violation == "" && len(w.store.Keys("final/j-1")) < 1 && time.Now().Before(end); {
				w.live(1)
			}
			if w.violation == "" && len(w.store.Keys("final/j-1")) < 1 {
				w.fail("a job that was not cancelled did not end")
			}
		})
	})
}
