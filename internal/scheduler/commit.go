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
func (o *Owner) commit(b *batch, rev uint64) {
	o.open = nil
	o.garbage = o.garbage[b.trash:]
	o.loose = o.loose[min(b.loose, len(o.loose)):]
	if b.page.Key != "" {
		b.book.Done(b.page, rev)
		usage.Add(usage.AccountRows, len(b.rows))
		usage.Add(usage.AccountWrites, 1)
		usage.Add(usage.AccountBytes, len(b.page.Value))
	}
	for _, s := range b.saves {
		s.c.version, s.c.saved = rev, max(s.c.saved, s.seq)
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
		if o.jobs[j.spec.UID] == j {
			o.endLocked(j)
		}
	}
}

// recorded acts on a change that has just been written.
func (o *Owner) recorded(c change) {
	p := c.p
	if _, attached := p.mach.places[p]; !attached {
		return
	}
	switch {
	case c.kind == doneChange:
		o.clear(p)
	case c.kind == placeChange && p.state == placeWriting && !p.exited:
		p.state = placeRecorded
		o.tell(p, false)
	}
}

// undo puts what a transaction that surely was not applied wanted to write
// back to where it came from.
func (o *Owner) undo(b *batch) {
	o.open = nil
	for _, c := range b.unlogged {
		o.loose = append(o.loose, *c.row)
	}
	for _, w := range b.logs {
		w.log.queue = append(w.changes, w.log.queue...)
	}
	for _, j := range b.ended {
		j.ending = false
	}
}

// endLocked forgets a job whose end is recorded.
func (o *Owner) endLocked(j *job) {
	uid := j.spec.UID
	limit, begun := o.firstLimit(j), 0.0
	if !j.begunAt.IsZero() {
		begun = j.begunAt.Sub(j.accepted).Seconds()
	}
	if j.ended == wire.StageDone {
		o.over.note(j, true, time.Now(), limit)
	}
	o.log.Debug("job ended", "job", uid, "class", j.spec.Class, "stage", j.ended, "arrived_s", float64(j.atMs)/1000,
		"took_s", time.Since(j.accepted).Seconds(), "run_s", j.runEstimate(), "limit_s", limit, "tasks", j.spec.Tasks, "cpus", j.spec.CPUs, "begun_s", begun, "large", j.large)
	o.final[uid] = finalRecord{Stage: j.ended, Done: j.done, Ending: o.ending(j)}
	o.finalQ = append(o.finalQ, uid)
	if len(o.finalQ) > keepFinal {
		delete(o.final, o.finalQ[0])
		o.finalQ = o.finalQ[1:]
	}
	most := o.cfg.Params.State.TxnOps - 2 // so many went with the end's own transaction
	for _, c := range j.chunks {
		if c.version == 0 {
			continue
		}
		if most--; most < 0 {
			o.garbage = append(o.garbage, chunkKey(uid, c.n))
		}
	}
	for _, ps := range j.places {
		for _, p := range ps {
			d := o.direction(p.mach.view.Holder)
			if p.exited {
				d.Clear = append(d.Clear, dispatch.Clear{Ref: p.ref, Token: p.token})
			} else {
				d.Halt = append(d.Halt, dispatch.Halt{Ref: p.ref})
			}
		}
	}
	poke(o.out)
	o.forget(uid, j)
}

// reread finds out what became of a transaction whose conditions failed: often
// it had been applied, and the answer was lost.
func (o *Owner) reread(ctx context.Context, b *batch, keys []string) error {
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
		it, failed := items[slotKey(w.shard, w.slot.n)]
		if !failed || lost(w.shard) {
			continue
		}
		if r, err := parseLog(it.Value); err == nil && r.Seq == w.seq && it.Version != 0 {
			o.commit(b, it.Version) // all of a transaction's keys share a version
			return nil
		}
		// Only the shard's owner writes there: an older state of ours.
		w.slot.version = it.Version
	}
	o.undo(b)
	for _, s := range b.saves {
		if it, failed := items[chunkKey(s.c.job.spec.UID, s.c.n)]; failed {
			s.c.version = it.Version
		}
	}
	for _, j := range b.ended {
		it, failed := items[liveKey+j.spec.UID]
		if failed && !lost(j.shard) && o.jobs[j.spec.UID] == j {
			o.adoptLive(j, it)
		}
	}
	return nil
}

// adoptLive takes the living record of a job as it was found in the store.
func (o *Owner) adoptLive(j *job, it wire.Item) {
	uid := j.spec.UID
	if it.Version == 0 {
		// Its end was recorded although the answer was lost.
		if j.ended != "" {
			o.endLocked(j)
		} else {
			o.log.Error("a living job's record is gone", "job", uid)
			o.forget(uid, j)
		}
		return
	}
	var r liveRecord
	if err := json.Unmarshal(it.Value, &r); err != nil {
		o.log.Error("unreadable job record", "key", it.Key, "err", err)
		return
	}
	o.takeRecord(j, &r, it.Version)
}

// takeRecord takes a newer living record of a job.
func (o *Owner) takeRecord(j *job, r *liveRecord, version uint64) {
	j.version = max(j.version, version)
	o.retermed(j, r)
	if r.Cancelled {
		o.cancelLocked(j)
	} else {
		j.cancels.passed(version)
	}
}
