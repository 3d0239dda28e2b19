package shardlog

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/wire"
)

// commit acts on a transaction that was applied.
func (o *Writer) commit(b *Transaction, rev uint64) {
	o.openTxn = nil
	o.garbage = o.garbage[b.garbageTaken:]
	o.state.LooseRows = o.state.LooseRows[min(b.looseTaken, len(o.state.LooseRows)):]
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
	for _, job := range b.ended {
		if o.state.Jobs[job.Spec.UID] == job {
			o.endJob(job)
		}
	}
}

// recorded acts on a change that has just been written.
func (w *Writer) recorded(c jobstate.Change) {
	placement := c.Placement
	if _, attached := placement.Worker.Placements[placement]; !attached {
		return
	}
	switch {
	case c.Kind == jobstate.TaskFinished:
		w.state.ClearTask(placement)
	case c.Kind == jobstate.PlacementAdded && placement.State == jobstate.PlacementRecording && !placement.Exited:
		placement.State = jobstate.PlacementRecorded
		w.state.AssignPlacement(placement, false)
	}
}

// undo puts what a transaction that surely was not applied wanted to write
// back to where it came from.
func (o *Writer) undo(b *Transaction) {
	o.openTxn = nil
	for _, c := range b.unlogged {
		o.state.LooseRows = append(o.state.LooseRows, *c.Row)
	}
	for _, w := range b.logs {
		o.state.Unwritten[w.shard] = append(w.changes, o.state.Unwritten[w.shard]...)
	}
	for _, job := range b.ended {
		job.EndWriteSent = false
	}
}

// endLocked forgets a job whose end is recorded.
func (w *Writer) endJob(job *jobstate.Job) {
	uid := job.Spec.UID
	limit, begun := w.state.FirstLimit(job), 0.0
	if !job.BegunAt.IsZero() {
		begun = job.BegunAt.Sub(job.AcceptedAt).Seconds()
	}
	if job.EndStage == wire.StageDone {
		w.state.Ended.Record(job, true, time.Now(), limit)
	}
	w.log.Debug("job ended", "job", uid, "class", job.Spec.Class, "stage", job.EndStage, "arrived_s", float64(job.AcceptedMs)/1000,
		"took_s", time.Since(job.AcceptedAt).Seconds(), "run_s", job.RunEstimate(), "limit_s", limit, "tasks", job.Spec.Tasks, "cpus", job.Spec.CPUs, "begun_s", begun, "large", job.Large)
	w.state.Final[uid] = jobrecord.FinalRecord{Stage: job.EndStage, Done: job.Done, Ending: w.state.EndStateOf(job)}
	w.finalOrder = append(w.finalOrder, uid)
	if len(w.finalOrder) > keepFinal {
		delete(w.state.Final, w.finalOrder[0])
		w.finalOrder = w.finalOrder[1:]
	}
	most := w.state.Platform.Params.State.TxnOps - 2 // so many went with the end's own transaction
	for _, chunk := range job.Chunks {
		if chunk.Version == 0 {
			continue
		}
		if most--; most < 0 {
			w.garbage = append(w.garbage, jobrecord.ChunkKey(uid, chunk.Number))
		}
	}
	for _, ps := range job.Placements {
		for _, placement := range ps {
			d := w.state.InstructionsFor(placement.Worker.View.Holder)
			if placement.Exited {
				d.Clear = append(d.Clear, dispatch.Clear{TaskRef: placement.Ref, Token: placement.MaxToken})
			} else {
				d.Halt = append(d.Halt, dispatch.Halt{TaskRef: placement.Ref})
			}
		}
	}
	jobstate.Notify(w.state.SendSignal)
	w.state.ForgetJob(uid, job)
}

// reread finds out what became of a transaction whose conditions failed: often
// it had been applied, and the answer was lost.
func (o *Writer) reread(ctx context.Context, b *Transaction, keys []string) error {
	items := map[string]wire.Item{}
	for _, key := range keys {
		rctx, cancel := context.WithTimeout(ctx, jobrecord.TxnTimeout)
		it, err := o.store.Get(rctx, key)
		cancel()
		if err != nil && !errors.Is(err, statestore.ErrNotFound) {
			return err
		}
		items[key] = it // without a version if there is none
	}
	o.state.Mu.Lock()
	defer o.state.Mu.Unlock()
	if it, failed := items[b.page.Key]; failed && it.Version > b.page.Version {
		o.commit(b, it.Version) // nobody else writes this page, and no other write of it is open
		return nil
	}
	// What a successor wrote tells nothing of this transaction: its log records have the
	// same keys and numbers, and an end that it recorded may be another one. Jobs were
	// called done here that nobody had recorded as done.
	lost := func(shard int) bool { return slices.Contains(keys, o.state.Member.ShardKey(shard)) }
	for _, w := range b.logs {
		it, failed := items[jobrecord.LogKey(w.shard, w.slot.n)]
		if !failed || lost(w.shard) {
			continue
		}
		if r, err := jobrecord.ParseLog(it.Value); err == nil && r.Seq == w.seq && it.Version != 0 {
			o.commit(b, it.Version) // all of a transaction's keys share a version
			return nil
		}
		// Only the shard's owner writes there: an older state of ours.
		w.slot.version = it.Version
	}
	o.undo(b)
	for _, s := range b.chunkSaves {
		if it, failed := items[jobrecord.ChunkKey(s.c.Job.Spec.UID, s.c.Number)]; failed {
			s.c.Version = it.Version
		}
	}
	for _, job := range b.ended {
		it, failed := items[jobrecord.LivePrefix+job.Spec.UID]
		if failed && !lost(job.Shard) && o.state.Jobs[job.Spec.UID] == job {
			o.adoptLive(job, it)
		}
	}
	return nil
}

// adoptLive takes the living record of a job as it was found in the store.
func (w *Writer) adoptLive(job *jobstate.Job, it wire.Item) {
	uid := job.Spec.UID
	if it.Version == 0 {
		// Its end was recorded although the answer was lost.
		if job.EndStage != "" {
			w.endJob(job)
		} else {
			w.log.Error("a living job's record is gone", "job", uid)
			w.state.ForgetJob(uid, job)
		}
		return
	}
	var r jobrecord.LiveRecord
	if err := json.Unmarshal(it.Value, &r); err != nil {
		w.log.Error("unreadable job record", "key", it.Key, "err", err)
		return
	}
	w.state.UpdateRecord(job, &r, it.Version)
}
