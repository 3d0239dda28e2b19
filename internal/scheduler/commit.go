package scheduler

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/wire"
)

// commit acts on a transaction that was applied.
func (o *Scheduler) commit(b *Transaction, rev uint64) {
	o.open = nil
	o.garbage = o.garbage[b.garbageTaken:]
	o.loose = o.loose[min(b.looseTaken, len(o.loose)):]
	if b.page.Key != "" {
		b.book.Done(b.page, rev)
		usage.Add(usage.AccountRows, len(b.rows))
		usage.Add(usage.AccountWrites, 1)
		usage.Add(usage.AccountBytes, len(b.page.Value))
	}
	for _, s := range b.chunkSaves {
		s.c.Version, s.c.SavedSeq = rev, max(s.c.SavedSeq, s.seq)
	}
	for _, w := range b.logs {
		if w.fresh {
			w.log.next++
		} else {
			w.log.slots = w.log.slots[1:]
		}
		w.slot.version, w.slot.seq, w.slot.chunks = rev, w.seq, w.chunks
		w.log.slots = append(w.log.slots, w.slot)
		for _, c := range w.changes {
			o.recorded(c)
		}
	}
	for _, j := range b.ended {
		if o.jobs[j.Spec.UID] == j {
			o.endLocked(j)
		}
	}
}

// recorded acts on a change that has just been written.
func (o *Scheduler) recorded(c Change) {
	p := c.Placement
	if _, attached := p.Worker.Placements[p]; !attached {
		return
	}
	switch {
	case c.Kind == TaskFinished:
		o.clear(p)
	case c.Kind == PlacementAdded && p.State == PlacementRecording && !p.Exited:
		p.State = PlacementRecorded
		o.tell(p, false)
	}
}

// undo puts what a transaction that surely was not applied wanted to write
// back to where it came from.
func (o *Scheduler) undo(b *Transaction) {
	o.open = nil
	for _, c := range b.unlogged {
		o.loose = append(o.loose, *c.Row)
	}
	for _, w := range b.logs {
		w.log.queue = append(w.changes, w.log.queue...)
	}
	for _, j := range b.ended {
		j.EndWriteSent = false
	}
}

// endLocked forgets a job whose end is recorded.
func (o *Scheduler) endLocked(j *Job) {
	uid := j.Spec.UID
	limit, begun := o.firstLimit(j), 0.0
	if !j.BegunAt.IsZero() {
		begun = j.BegunAt.Sub(j.AcceptedAt).Seconds()
	}
	if j.EndStage == wire.StageDone {
		o.over.Record(j, true, time.Now(), limit)
	}
	o.log.Debug("job ended", "job", uid, "class", j.Spec.Class, "stage", j.EndStage, "arrived_s", float64(j.AcceptedMs)/1000,
		"took_s", time.Since(j.AcceptedAt).Seconds(), "run_s", j.RunEstimate(), "limit_s", limit, "tasks", j.Spec.Tasks, "cpus", j.Spec.CPUs, "begun_s", begun, "large", j.Large)
	o.final[uid] = FinalRecord{Stage: j.EndStage, Done: j.Done, Ending: o.ending(j)}
	o.finalQ = append(o.finalQ, uid)
	if len(o.finalQ) > keepFinal {
		delete(o.final, o.finalQ[0])
		o.finalQ = o.finalQ[1:]
	}
	most := o.cfg.Params.State.TxnOps - 2 // so many went with the end's own transaction
	for _, c := range j.Chunks {
		if c.Version == 0 {
			continue
		}
		if most--; most < 0 {
			o.garbage = append(o.garbage, ChunkKey(uid, c.Number))
		}
	}
	for _, ps := range j.Placements {
		for _, p := range ps {
			d := o.direction(p.Worker.View.Holder)
			if p.Exited {
				d.Clear = append(d.Clear, dispatch.Clear{TaskRef: p.Ref, Token: p.MaxToken})
			} else {
				d.Halt = append(d.Halt, dispatch.Halt{TaskRef: p.Ref})
			}
		}
	}
	poke(o.out)
	o.forget(uid, j)
}

// reread finds out what became of a transaction whose conditions failed: often
// it had been applied, and the answer was lost.
func (o *Scheduler) reread(ctx context.Context, b *Transaction, keys []string) error {
	items := map[string]wire.Item{}
	for _, key := range keys {
		rctx, cancel := context.WithTimeout(ctx, txnTimeout)
		it, err := o.store.Get(rctx, key)
		cancel()
		if err != nil && !errors.Is(err, statestore.ErrNotFound) {
			return err
		}
		items[key] = it // without a version if there is none
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if it, failed := items[b.page.Key]; failed && it.Version > b.page.Version {
		o.commit(b, it.Version) // nobody else writes this page, and no other write of it is open
		return nil
	}
	// What a successor wrote tells nothing of this transaction: its log records have the
	// same keys and numbers, and an end that it recorded may be another one. Jobs were
	// called done here that nobody had recorded as done.
	lost := func(shard int) bool { return slices.Contains(keys, o.member.ShardKey(shard)) }
	for _, w := range b.logs {
		it, failed := items[LogKey(w.shard, w.slot.n)]
		if !failed || lost(w.shard) {
			continue
		}
		if r, err := ParseLog(it.Value); err == nil && r.Seq == w.seq && it.Version != 0 {
			o.commit(b, it.Version) // all of a transaction's keys share a version
			return nil
		}
		// Only the shard's owner writes there: an older state of ours.
		w.slot.version = it.Version
	}
	o.undo(b)
	for _, s := range b.chunkSaves {
		if it, failed := items[ChunkKey(s.c.Job.Spec.UID, s.c.Number)]; failed {
			s.c.Version = it.Version
		}
	}
	for _, j := range b.ended {
		it, failed := items[LivePrefix+j.Spec.UID]
		if failed && !lost(j.Shard) && o.jobs[j.Spec.UID] == j {
			o.adoptLive(j, it)
		}
	}
	return nil
}

// adoptLive takes the living record of a job as it was found in the store.
func (o *Scheduler) adoptLive(j *Job, it wire.Item) {
	uid := j.Spec.UID
	if it.Version == 0 {
		// Its end was recorded although the answer was lost.
		if j.EndStage != "" {
			o.endLocked(j)
		} else {
			o.log.Error("a living job's record is gone", "job", uid)
			o.forget(uid, j)
		}
		return
	}
	var r LiveRecord
	if err := json.Unmarshal(it.Value, &r); err != nil {
		o.log.Error("unreadable job record", "key", it.Key, "err", err)
		return
	}
	o.takeRecord(j, &r, it.Version)
}

// takeRecord takes a newer living record of a job.
func (o *Scheduler) takeRecord(j *Job, r *LiveRecord, version uint64) {
	j.Version = max(j.Version, version)
	o.retermed(j, r)
	if r.Cancelled {
		o.cancelLocked(j)
	} else {
		j.PendingCancels.Supersede(version)
	}
}
