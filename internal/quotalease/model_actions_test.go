package quotalease_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/quotalease"
)

// actions returns the actions that may occur at any time, by name. The generated inputs depend
// on the order of the names.
func (w *model) actions() map[string]func(*rapid.T) {
	all := map[string]func(*rapid.T){}
	for _, group := range []map[string]func(){w.taskActions(), w.writeActions(), w.shardActions()} {
		for name, act := range group {
			all[name] = func(t *rapid.T) { w.t = t; act() }
		}
	}
	return all
}

// taskActions start and end tasks, and change the demand.
func (w *model) taskActions() map[string]func() {
	return map[string]func(){
		"": w.check,
		"start": func() { // a task that may not start adds to the demand
			for range 4 {
				task := w.drawTask()
				if c := w.leaderOf[task.shard]; c != nil && !w.start(task) {
					c.demand[demandKey(task.shard, task.team)] = task.size
					c.unit[demandKey(task.shard, task.team)] = task.size
				}
			}
		},
		"end": func() {
			if len(w.tasks) > 0 {
				rapid.SampledFrom(w.tasks).Draw(w.t, "task").ended = true
			}
		},
		"settle": func() { w.observeEndedTasks(w.drawController()) },
		"demand": func() {
			task := w.drawTask()
			c := w.drawController()
			c.unit[demandKey(task.shard, task.team)] = task.size
			c.demand[demandKey(task.shard, task.team)] = drawAmount(w.t, limits[task.team])
		},
		"no demand": func() { w.drawController().demand = map[string]quotalease.Amount{} },
		"time":      func() { w.now = w.now.Add(time.Duration(rapid.IntRange(50, 5000).Draw(w.t, "ms")) * time.Millisecond) },
	}
}

// writeActions send and apply writes, and have controllers observe the record.
func (w *model) writeActions() map[string]func() {
	return map[string]func(){
		"send": func() { w.send(w.drawController()) },
		"exchange": func() {
			w.sendAndDeliver(w.drawController(), true)
		},
		"lost answer": func() { // then the same write is sent again
			c := w.drawController()
			w.sendAndDeliver(c, false)
			c.awaitingResponse = false
			w.sendAndDeliver(c, true)
		},
		"deliver": func() {
			if len(w.inFlight) == 0 {
				return
			}
			i := rapid.IntRange(0, len(w.inFlight)-1).Draw(w.t, "write")
			w.deliver(w.inFlight[i], rapid.IntRange(0, 3).Draw(w.t, "answered") > 0)
			if rapid.IntRange(0, 2).Draw(w.t, "once") > 0 { // otherwise it is delivered again
				w.inFlight = slices.Delete(w.inFlight, i, i+1)
			}
		},
		"give up": func() { w.drawController().awaitingResponse = false },
		"try again": func() {
			c := w.drawController()
			c.awaitingResponse = false
			w.send(c)
		},
		"watch": func() { w.observe(w.drawController(), w.latest()) },
		"late watch": func() {
			w.observe(w.drawController(), rapid.SampledFrom(w.history).Draw(w.t, "past"))
		},
	}
}

// shardActions change the leaders of shards.
func (w *model) shardActions() map[string]func() {
	return map[string]func(){
		"all is well": func() {
			for range rapid.IntRange(1, 4).Draw(w.t, "rounds") {
				w.round()
			}
		},
		"hear": func() { w.observeLostShards(w.drawController()) },
		"free": func() { w.freeShard(rapid.IntRange(0, shards-1).Draw(w.t, "shard")) },
		"take": func() {
			w.assignShard(w.drawController(), rapid.IntRange(0, shards-1).Draw(w.t, "shard"), rapid.Bool().Draw(w.t, "all"))
		},
		"lease ends": func() {
			c := w.drawController()
			for s := range shards {
				if w.leaderOf[s] == c {
					w.freeShard(s)
				}
			}
		},
		"crash":     func() { w.drawController().restart() },
		"interlude": w.runUnleasedLeader,
	}
}

// round is a quarter of a second without faults.
func (w *model) round() {
	w.now = w.now.Add(250 * time.Millisecond)
	for i := range shards {
		if c := w.leaderOf[i]; c == nil || c.led[i] != w.keys[i] {
			w.assignShard(w.controllers[i%controllers], i, false)
		}
	}
	for _, c := range w.controllers {
		w.observeLostShards(c)
		w.observeEndedTasks(c)
		if w.startWaiting != nil {
			w.startWaiting()
		}
		w.observe(c, w.latest())
		c.awaitingResponse = false
		w.send(c)
		for n := len(w.inFlight); n > 0; n = len(w.inFlight) {
			w.deliver(w.inFlight[0], true)
			w.inFlight = w.inFlight[1:]
		}
	}
	w.check()
}
