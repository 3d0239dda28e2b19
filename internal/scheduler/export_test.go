package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/wire"
)

// Pass is one scheduling pass.
func (o *Scheduler) Pass() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.triage()
	o.place()
	o.lookAgain()
}

// Placed counts a job's tasks that have a place.
func (o *Scheduler) Placed(uid string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.jobs[uid].Placements)
}

// PlacesOf lists the places of a job's tasks.
func (o *Scheduler) PlacesOf(uid string) (refs []dispatch.TaskRef) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, ps := range o.jobs[uid].Placements {
		for _, p := range ps {
			refs = append(refs, p.Ref)
		}
	}
	return refs
}

// Load takes over every shard that the membership claims.
func (o *Scheduler) Load(ctx context.Context) error {
	claimed := o.member.ClaimedShards()
	shards := make([]int, 0, len(claimed))
	for s := range claimed {
		shards = append(shards, s)
	}
	return o.load(ctx, shards, claimed)
}

// Record writes what there is to be written.
func (o *Scheduler) Record(ctx context.Context) error {
	for more := true; more; {
		var err error
		if more, err = o.writeOnce(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Unload forgets every shard.
func (o *Scheduler) Unload() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for s := range o.loaded {
		o.unload(s)
	}
}

// Directions counts the halts and clears that wait to be sent.
func (o *Scheduler) Directions() (halts, clears int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, d := range o.pend {
		halts += len(d.Halt)
		clears += len(d.Clear)
	}
	return halts, clears
}

// Replayed makes a job of so many tasks of log records, with a chunk record
// that says nothing up to record saved.
func (o *Scheduler) Replayed(tasks int, saved uint64, records []string) (places []string, done []int) {
	var items []wire.Item
	for i, r := range records {
		items = append(items, wire.Item{Key: LogKey(0, i), Value: json.RawMessage(r), Version: uint64(i + 1)})
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	_, entries := o.readLogs(items, map[int]bool{0: true})
	chunk := wire.Item{Key: ChunkKey("j-1", 0), Value: json.RawMessage(fmt.Sprintf(`{"seq":%d,"next":1}`, saved)), Version: 9}
	j := o.admit(&LiveRecord{Job: wire.Job{UID: "j-1", Kind: wire.KindArray, Tasks: tasks}}, 1, []wire.Item{chunk}, entries["j-1"], 7)
	for _, ps := range j.Placements {
		for _, p := range ps {
			places = append(places, fmt.Sprintf("%s %d %s", p.Ref.Task, p.Attempt, p.Ref.Machine))
		}
	}
	sort.Strings(places)
	for t := range tasks {
		if j.Chunks[0].IsDone(t) {
			done = append(done, t)
		}
	}
	o.forget("j-1", j)
	return places, done
}

// CancelRecorded acts on a cancel of a job that is recorded.
func (o *Scheduler) CancelRecorded(uid string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cancelLocked(o.jobs[uid])
}

// TeamUse is the CPUs that a team's tasks may use.
func (o *Scheduler) TeamUse(team string) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.teams[team].Used.CPUs
}

// LimitTeam sets a team's limit of CPUs.
func (o *Scheduler) LimitTeam(team string, cpus float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.teams[team].CPUsMax = cpus
}

// ResolveCancels settles cancels whose outcome has been open for a while.
func (o *Scheduler) ResolveCancels(ctx context.Context) { o.resolveCancels(ctx) }

// WhileBusy does something while this owner can do nothing else, as during a pass.
func (o *Scheduler) WhileBusy(do func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	do()
}

// HeardAgo is how long ago a machine was heard, as far as this owner knows.
func (o *Scheduler) HeardAgo(name string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Since(o.machines[name].LastHeartbeat)
}
