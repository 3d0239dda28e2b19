package quotalease_test

import (
	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/quotalease"
)

const (
	growRounds      = 8 // two seconds
	bothStartRounds = 60
	fillRounds      = 240
	maxTaskRounds   = 6 // longest run of a task of two competing shards
)

func (w *model) checkPartGrowsToLimit(team string, shard int) {
	w.round()
	c := w.leaderOf[shard]
	c.demand[demandKey(shard, team)], c.unit[demandKey(shard, team)] = limits[team], limits[team]
	for range growRounds {
		w.round()
		if limits[team].Fits(c.borrower.Ceiling(shard, team)) {
			return
		}
	}
	w.t.Fatalf("shard %d has %v of team %s after %d rounds, of %v; record %+v", shard, c.borrower.Ceiling(shard, team), team, growRounds, limits[team], w.latest().record)
}

// checkBothStart checks that both of two shards with as much work as the limit allows, in
// tasks of any size, start a task. The first one holds all of the limit in the beginning.
func (w *model) checkBothStart(team string, first, second int) {
	waits := map[int]*task{}
	for _, s := range []int{first, second} {
		waits[s] = &task{shard: s, team: team, size: drawAmount(w.t, limits[team])}
		c := w.leaderOf[s]
		c.demand[demandKey(s, team)], c.unit[demandKey(s, team)] = limits[team], waits[s].size
	}
	begun, ends, round := map[int]bool{}, map[*task]int{}, 0
	w.startWaiting = func() {
		for _, s := range []int{first, second} {
			next := *waits[s]
			if w.start(&next) {
				begun[s] = true
				ends[&next] = round + rapid.IntRange(1, maxTaskRounds).Draw(w.t, "rounds")
			}
		}
	}
	defer func() { w.startWaiting = nil }()
	for round = range bothStartRounds {
		w.round()
		if begun[first] && begun[second] {
			return
		}
		for t, at := range ends {
			t.ended = round >= at
		}
	}
	w.t.Fatalf("only shards %v of %d and %d started, tasks of %v and %v; record %+v", begun, first, second, waits[first].size, waits[second].size, w.latest().record)
}

// checkLimitFills checks that two shards fill the limit if they start as many tasks as they may
// and none of these ends: finally the limit has no room for another task.
func (w *model) checkLimitFills(team string, first, second int) {
	for _, t := range w.tasks {
		t.ended = true
	}
	sizes := map[int]quotalease.Amount{}
	for _, s := range []int{first, second} {
		sizes[s] = drawAmount(w.t, limits[team])
		c := w.leaderOf[s]
		clear(c.demand)
	}
	for _, s := range []int{first, second} {
		c := w.leaderOf[s]
		c.demand[demandKey(s, team)], c.unit[demandKey(s, team)] = limits[team], sizes[s]
	}
	fits := func(s int) bool { return w.inUse(team).Add(sizes[s]).Fits(limits[team]) }
	for range fillRounds {
		for _, s := range []int{first, second} {
			w.start(&task{shard: s, team: team, size: sizes[s]})
		}
		if !fits(first) && !fits(second) {
			return
		}
		w.round()
	}
	w.t.Fatalf("%v of %v of team %s in use, and tasks of %v and %v wait in shards %d and %d; record %+v",
		w.inUse(team), limits[team], team, sizes[first], sizes[second], first, second, w.latest().record)
}
