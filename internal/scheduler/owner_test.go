package scheduler_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

// An owner that was cut off from the state service took the tasks that its
// successor had started on machines that still reported here for strays, and
// stopped and cleared them; some were never settled, and their jobs never done.
func TestNoDirectionsWithoutTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 0)
		time.Sleep(time.Minute)
		show := func(state, cause string) {
			v := &f.views[0]
			v.Seq++
			v.Tasks = []dispatch.TaskView{{Task: wire.Task{Task: "j-9/0", Attempt: 1, State: state, Cause: cause}}}
			f.owner.ObserveWorker(*v)
		}
		f.held = 0
		show(wire.TaskRunning, "")
		show(wire.TaskExited, wire.CauseError)
		if halts, clears := f.owner.Directions(); halts+clears != 0 {
			t.Errorf("%d halts and %d clears without the lease", halts, clears)
		}
		f.held = time.Minute
		show(wire.TaskExited, wire.CauseError)
		if _, clears := f.owner.Directions(); clears != 1 {
			t.Error("with the lease the leftover is not cleared")
		}
	})
}

// A task whose two queues both stand still, behind tasks that run far longer than was
// reckoned, goes to a third machine when there is room: it stood there for ever, beside
// idle machines.
func TestBothQueuesStandStill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 0)
		stop := f.run()
		// Machines are full for so long; a third one comes later, and has room.
		look := func(left ...float64) {
			for i, s := range left {
				if i == len(f.views) {
					f.views = append(f.views, dispatch.WorkerView{Name: "n-000009", Type: "m", Zone: "z", Spot: true, Session: 1, Token: 7, Holder: "a"})
				}
				f.show(i, s)
			}
			time.Sleep(time.Second)
			f.owner.Pass()
		}
		f.acceptArray(1)
		look(0.2, 0.2)
		look(0.2, 0.2)
		first := f.owner.PlacesOf("j-1")[0]
		for range 6 { // its queue proves wrong, and the other machine looks better
			if f.views[0].Name == first.Machine {
				look(600, 0.2)
			} else {
				look(0.2, 600)
			}
		}
		if n := len(f.owner.PlacesOf("j-1")); n != 2 {
			t.Fatalf("the task waits at %d machines", n)
		}
		for range 20 {
			look(600, 600)
		}
		for range 10 {
			look(600, 600, 0)
		}
		found := false
		for _, ref := range f.owner.PlacesOf("j-1") {
			found = found || ref.Machine == "n-000009"
		}
		if !found {
			t.Errorf("beside an idle machine the task waits at %v", f.owner.PlacesOf("j-1"))
		}
		stop()
	})
}

// A machine is heard by one holder and then by another which has its task queued still.
// Both that the task was seen to run, and was lost with the worker's lease, and that its
// start was granted, and surely came to nothing, are the worker's word: the first stood for
// ever as running, the second for ever as granted, behind tasks that ran for long.
func TestQueuedStillAtAnotherHolder(t *testing.T) {
	for _, c := range []struct{ ran, raised bool }{{true, true}, {false, true}, {false, false}} {
		ran := c.ran
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 1, 0)
			stop := f.run()
			show := func(i int, full float64, tasks ...dispatch.TaskView) {
				f.show(i, full, tasks...)
				time.Sleep(time.Second)
				f.owner.Pass()
			}
			f.acceptArray(1)
			show(0, 0.2)
			show(0, 0.2)
			ref := f.owner.PlacesOf("j-1")[0]
			if !f.owner.GrantLocal(dispatch.GrantRequest{TaskRef: ref, Holder: "a", Token: 7, Session: 1}).OK {
				t.Fatal("not granted")
			}
			f.views[0].Holder = "b"
			if ran {
				show(0, 5, dispatch.TaskView{Task: wire.Task{Task: ref.Task, Attempt: ref.Attempt, State: wire.TaskRunning}})
				f.views[0].Session++
			}
			f.views[0].Holder = "a"
			if c.raised {
				f.views[0].Token = 9
			} // else it is asked for, after a while
			f.views = append(f.views, dispatch.WorkerView{Name: "n-000009", Type: "m", Zone: "z", Spot: true, Session: 1, Token: 9, Holder: "a"})
			for range 24 {
				show(0, 600)
				if f.raise > 0 {
					f.views[0].Token = f.raise + 1
				}
				show(1, 0.1)
			}
			at := f.owner.PlacesOf("j-1")
			if i := len(at) - 1; i < 0 || at[i].Machine != "n-000009" || ran && at[0] == ref {
				t.Errorf("ran %v: lost, or never begun, on %v, it waits at %v", ran, ref, at)
			}
			stop()
		})
	}
}

// A cancelled task's start was granted to a holder whose order is held up; its machine is
// then heard by another holder, or by the first after a restart, that has the task queued
// and did not send it. The start still counts against the team's limit: only a holder that
// was the only one to get the grant can say that nothing is under way.
func TestGrantSentByAnotherHolderCountsAfterCancel(t *testing.T) {
	for _, c := range []struct {
		name           string
		granted, again uint64 // tokens of the holders that were granted the start
		holder         uint64 // token of the one that says it sent nothing
		counts         bool
	}{
		{"the only holder", 7, 0, 7, false},
		{"another holder", 7, 0, 8, true},
		{"another holder, granted too", 7, 8, 8, true},
		{"the first of two", 7, 8, 7, true},
		{"the first of two, of the higher token", 8, 7, 8, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1, 0)
				stop := f.run()
				f.acceptArray(1)
				for range 2 {
					f.show(0, 0.2)
					time.Sleep(time.Second)
				}
				ref := f.owner.PlacesOf("j-1")[0]
				for _, token := range []uint64{c.granted, c.again} {
					if token > 0 && !f.owner.GrantLocal(dispatch.GrantRequest{TaskRef: ref, Holder: "a", Token: token, Session: 1}).OK {
						t.Fatal("not granted")
					}
				}
				f.unlaunched = dispatch.Unlaunched{Refs: []dispatch.TaskRef{ref}, Token: c.holder}
				f.owner.CancelRecorded("j-1")
				time.Sleep(3 * time.Second)
				if used := f.owner.TeamUse("t"); (used > 0) != c.counts {
					t.Errorf("%v CPUs are counted", used)
				}
				stop()
			})
		})
	}
}

// A place that is queued counts nothing until it is granted: the grant itself keeps the
// team's limit, whatever was queued, until a task is off its machine.
func TestGrantIsRefusedAtTheTeamsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 0)
		stop := f.run()
		f.acceptArray(2)
		for range 3 {
			f.show(0, 0)
			time.Sleep(time.Second)
		}
		refs := f.owner.PlacesOf("j-1")
		if len(refs) != 2 {
			t.Fatalf("placed at %v", refs)
		}
		f.owner.LimitTeam("t", 3)
		grant := func(i int) bool {
			return f.owner.GrantLocal(dispatch.GrantRequest{TaskRef: refs[i], Holder: "a", Token: 7, Session: 1}).OK
		}
		if !grant(0) || grant(1) || !grant(0) {
			t.Error("the limit lets one task start, which may be granted again")
		}
		task := wire.Task{Task: refs[0].Task, Attempt: refs[0].Attempt, State: wire.TaskExited, Cause: wire.CauseDone}
		f.show(0, 0, dispatch.TaskView{Task: task})
		if !grant(1) {
			t.Error("refused although the other task is off")
		}
		stop()
	})
}

// A log that is written over must still tell a new owner all that it may not
// forget: records replayed in order give the places and completions that a
// chunk's own record, if it is newer, has not told already.
func TestReplay(t *testing.T) {
	f := newFleet(t, 0, 0)
	places, done := f.owner.Replayed(4, 2, []string{
		`{"seq":1,"m":["n-1","n-2"],"j":[{"u":"j-1","p":[0,1,0, 1,2,1, 3,3,0]}]}`,
		`{"seq":2,"j":[{"u":"j-1","d":[3]}]}`,
		`{"seq":3,"m":["n-3"],"j":[{"u":"j-1","x":[0,1],"p":[0,4,0]}]}`,
		`{"seq":4,"j":[{"u":"j-1","d":[1], "x":[9,9]}]}`,
	})
	// The chunk's record speaks up to record 2: place 1 of task 1 was in it.
	if len(places) != 1 || places[0] != "j-1/0 4 n-3" || len(done) != 1 || done[0] != 1 {
		t.Errorf("places %v, done %v", places, done)
	}
	places, done = f.owner.Replayed(4, 0, []string{
		`{"seq":1,"m":["n-1","n-2"],"j":[{"u":"j-1","p":[0,1,0, 1,2,1, 3,3,0]}]}`,
		`{"seq":2,"j":[{"u":"j-1","d":[3]}]}`,
	})
	if len(places) != 2 || len(done) != 1 || done[0] != 3 {
		t.Errorf("places %v, done %v", places, done)
	}
	// A task that failed for good is not tried again by a new owner.
	places, done = f.owner.Replayed(4, 0, []string{
		`{"seq":1,"m":["n-1"],"j":[{"u":"j-1","p":[0,1,0, 1,2,0]}]}`,
		`{"seq":2,"j":[{"u":"j-1","f":[1,1,7]}]}`,
	})
	if len(places) != 1 || len(done) != 1 || done[0] != 1 {
		t.Errorf("places %v, done %v", places, done)
	}
}

// A holder kept the queue of an owner that was gone and asked that owner for
// grants for ever; the new owner took the queued places for known, and 19 jobs
// were never done. A report with a newer token settles them, and the entries
// that nobody will grant leave the queue.
func TestSettlesWhatAPredecessorQueued(t *testing.T) {
	f := newFleet(t, 1, 0)
	f.items = map[string][]wire.Item{
		"live/": {{Key: "live/j-1", Version: 1, Value: json.RawMessage(`{"job":{"uid":"j-1","docket":"c","crew":"t","sort":"sweep","pieces":1,"cpus":2}}`)}},
		"log/":  {{Key: "log/000/00000", Version: 1, Value: json.RawMessage(`{"seq":1,"m":["n-000000"],"j":[{"u":"j-1","p":[0,1,0]}]}`)}},
	}
	f.owner.Unload()
	if err := f.owner.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	v := f.views[0]
	v.Queue = []dispatch.QueueView{{TaskRef: dispatch.TaskRef{Machine: v.Name, Task: "j-1/0", Attempt: 1}}}
	report := func(token uint64) (pending, halts int) {
		v.Seq, v.Token = v.Seq+1, token
		f.owner.ObserveWorker(v)
		halts, _ = f.owner.Directions()
		return f.owner.QueueDepths()["pending"], halts
	}
	if pending, _ := report(6); pending != 0 {
		t.Error("settled by a report with an old token: its start may yet arrive")
	}
	pending, halts := report(7)
	if pending != 1 {
		t.Error("not settled by a report with the new token")
	}
	if halts == 0 {
		t.Error("the entry stays in the queue")
	}
}

// The largest arrays must fit the smallest controller: what is kept of a task
// that waits is its number.
func TestLargestArraysStaySmall(t *testing.T) {
	f := newFleet(t, 1, 0)
	heap := func() uint64 {
		runtime.GC()
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		return s.HeapAlloc
	}
	before := heap()
	const jobs = 4
	for i := range jobs {
		f.owner.JobAccepted(&wire.Job{
			UID: fmt.Sprintf("j-%d", i), Class: "c", Team: "t", Kind: wire.KindArray, Priority: "low",
			Tasks: wire.MaxTasks, CPUs: 1, MemoryGB: 1, Estimate: 30, Spot: true,
		}, nil, 0, 0, uint64(i+1))
	}
	f.owner.Pass()
	if each := (heap() - before) / jobs; each > 2<<20 {
		t.Errorf("%d KB for a job of %d tasks", each>>10, wire.MaxTasks)
	}
	if got := f.owner.QueueDepths()["pending"]; got < jobs*wire.MaxTasks-1000 {
		t.Errorf("%d pending", got)
	}
}

// A job that is accepted after a new owner has listed the jobs, and before it
// has read the rest, was in nobody's books: its user saw it queued for ever.
func TestTakesJobsAcceptedDuringATakeover(t *testing.T) {
	f := newFleet(t, 1, 0)
	f.owner.Unload()
	spec := &wire.Job{UID: "j-late", Class: "c", Team: "t", Kind: wire.KindArray, Priority: "low", Tasks: 3, CPUs: 1, Estimate: 9}
	f.list = func(prefix string) {
		if prefix == "log/" {
			f.owner.JobAccepted(spec, nil, 0, 0, 5)
		}
	}
	if err := f.owner.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	if q := f.owner.QueueDepths(); q["jobs"] != 1 || q["pending"] != 3 {
		t.Errorf("after the takeover: %v", q)
	}
	if s, ok := f.owner.LocalState("j-late"); !ok || s.Stage != wire.StageQueued {
		t.Errorf("state %+v, %v", s, ok)
	}
}

// A far aim for starts (100 s) made every job of its class stop work of lower
// priority at once: three fifths of all that was started had to start again.
// Only an aim in danger stops anybody.
func TestOnlyAnAimInDangerStopsOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 0)
		f.cfg.Params.Objectives = []config.Objective{{Kind: "wait", Class: "quote", WithinS: 100, Share: 0.9}}
		now := time.Now().UnixMilli()
		f.owner.JobAccepted(&wire.Job{UID: "j-1", Class: "study", Team: "t", Kind: wire.KindArray, Priority: "low", Tasks: 2, CPUs: 8, Estimate: 300, Spot: true}, nil, 0, now, 1)
		v := &f.views[0]
		full := []matching.Allocation{{Resources: matching.Resources{CPUs: 16, MemoryGB: 1}, RemainingS: 300}}
		show := func() {
			v.Seq++
			v.Matrix = matching.NewWaitMatrix(matching.Resources{CPUs: size.CPUs, MemoryGB: size.MemoryGB}, full, nil)
			v.Tasks = nil
			for i := range 2 {
				v.Tasks = append(v.Tasks, dispatch.TaskView{Task: wire.Task{Task: wire.TaskName("j-1", i), Attempt: uint64(i + 1), State: wire.TaskRunning}})
			}
			f.owner.ObserveWorker(*v)
		}
		v.Matrix = matching.NewWaitMatrix(matching.Resources{CPUs: size.CPUs, MemoryGB: size.MemoryGB}, nil, nil)
		v.Seq++
		f.owner.ObserveWorker(*v)
		f.owner.Pass()
		for i := range 2 {
			f.owner.GrantLocal(dispatch.GrantRequest{TaskRef: dispatch.TaskRef{Machine: v.Name, Task: wire.TaskName("j-1", i), Attempt: uint64(i + 1)}, Token: 7, Session: 1})
		}
		show()
		f.owner.JobAccepted(&wire.Job{UID: "j-2", Class: "quote", Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: 1, CPUs: 8, Estimate: 300, Spot: true}, nil, 0, now, 2)
		stopped := func() int {
			show()
			f.owner.Directions()
			f.owner.Pass()
			halts, _ := f.owner.Directions()
			return halts
		}
		time.Sleep(20 * time.Second)
		if n := stopped(); n != 0 {
			t.Errorf("%d tasks stopped 80 s before the aim", n)
		}
		time.Sleep(75 * time.Second)
		if stopped() == 0 {
			t.Error("nothing stopped 5 s before the aim")
		}
	})
}

// A holder that had heard a machine before it was returned went on publishing
// it, and after that tasks were placed on machines that were gone.
func TestReturnedMachinesStayGone(t *testing.T) {
	f := newFleet(t, 2, 0)
	f.owner.WorkerGone(f.views[0].Name)
	f.views[0].Seq++
	f.owner.ObserveWorker(f.views[0])
	if n := f.owner.QueueDepths()["known_machines"]; n != 1 {
		t.Errorf("%d machines known after one of two was returned", n)
	}
}

// Jobs that are alike share what a pass found of room for them; one that may run
// nowhere must not take it from others of the same size.
func TestOnlyJobsAlikeShareRoom(t *testing.T) {
	f := newFleet(t, 90, 0)
	elsewhere := "y"
	for i, j := range []wire.Job{{Types: []string{"x"}}, {Zone: &elsewhere}, {Spot: false}, {Spot: true}, {Types: []string{"m"}, Spot: true}} {
		j.UID, j.Class, j.Team, j.Kind, j.Priority = fmt.Sprintf("j-%d", i), "c", "t", wire.KindArray, "normal"
		j.Tasks, j.CPUs, j.MemoryGB, j.Image, j.Estimate = 5, 2, 1, "i", 30
		f.owner.JobAccepted(&j, nil, 0, int64(i), uint64(i+1))
	}
	f.owner.Pass()
	if pending := f.owner.QueueDepths()["pending"]; pending != 10 {
		t.Errorf("%d tasks wait, and not the 10 that may run nowhere", pending)
	}
}

// In a flood the jobs of one priority were taken in the order of their deadlines, and
// nearly all were late by a little: 0.14 made theirs. What can't be in time goes
// behind what can, and never before work of higher priority.
func TestWhatCanBeInTimeGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 10, 0) // 160 CPUs, room for one task on each machine
		due := 60.0
		add := func(uid, priority string, tasks int, age time.Duration) {
			j := wire.Job{UID: uid, Class: "c", Team: "t", Kind: wire.KindArray, Priority: priority, Tasks: tasks, CPUs: 4, Estimate: 20, Spot: true, DueS: &due}
			f.rev++
			f.owner.JobAccepted(&j, nil, 0, time.Now().Add(-age).UnixMilli(), f.rev)
		}
		add("j-over", "normal", 12, 70*time.Second)   // its time is over
		add("j-large", "normal", 400, 20*time.Second) // due first, but far more than can be done
		add("j-small", "normal", 4, 0)
		add("j-urgent", "urgent", 3, 70*time.Second)
		f.owner.Pass()
		got := map[string]int{}
		for _, uid := range []string{"j-over", "j-large", "j-small", "j-urgent"} {
			got[uid] = f.owner.Placed(uid)
		}
		if got["j-urgent"] != 3 || got["j-small"] != 4 || got["j-over"]+got["j-large"] != 3 {
			t.Errorf("placed: %v", got)
		}
	})
}

// Every job has to begin within four minutes, the largest of the lowest priority too,
// while more urgent work could fill the fleet for ever. From two minutes on its first
// task goes before all others, and only that.
func TestEveryJobBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 10, 0) // room for one task of 4 CPUs on each machine
		add := func(uid, priority string, tasks int, age time.Duration) {
			j := wire.Job{UID: uid, Class: "c" + priority, Team: "t", Kind: wire.KindArray, Priority: priority, Tasks: tasks, CPUs: 4, Estimate: 20, Spot: true}
			f.rev++
			f.owner.JobAccepted(&j, nil, 0, time.Now().Add(-age).UnixMilli(), f.rev)
		}
		for i := range 12 {
			add(fmt.Sprintf("j-small%d", i), "low", 2, 10*time.Second)
		}
		add("j-largest", "low", 900, 3*time.Minute)
		add("j-later", "low", 900, time.Minute)
		add("j-urgent", "urgent", 500, 0)
		f.owner.Pass()
		if large, later, urgent := f.owner.Placed("j-largest"), f.owner.Placed("j-later"), f.owner.Placed("j-urgent"); large != 1 || later != 0 || urgent != 9 {
			t.Errorf("placed: %d of the largest, %d of a younger one, %d of the urgent", large, later, urgent)
		}
		served := f.owner.Served()
		if s := served["class"]["clow"]; s.Offered != 14 || s.Begun != 0 || s.Waiting != 14 {
			t.Errorf("class: %+v", s)
		}
		if s := served["largest"]["clow"]; s.Offered < 1 || s.Offered > 4 {
			t.Errorf("largest: %+v", s)
		}
		if s := served["team"]["t"]; s.Offered != 15 {
			t.Errorf("team: %+v", s)
		}
	})
}
