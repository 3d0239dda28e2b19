package owner

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/wallrack/wallrack/internal/machine"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	txnBytes   = 56 << 10 // below the state service's limit for a transaction
	txnTimeout = 2 * time.Second
	keepFinal  = 20_000 // ended jobs that are remembered for quick answers
)

// write records changes, one transaction at a time.
func (o *Owner) write(ctx context.Context) {
	for n := 0; ctx.Err() == nil; {
		more, err := o.writeOnce(ctx)
		switch {
		case err != nil:
			o.log.Debug("write failed", "err", err)
			n++
			statestore.Backoff(ctx, n, 50*time.Millisecond, time.Second)
		case more:
			n = 0
		default:
			n = 0
			select {
			case <-ctx.Done():
			case <-o.flush:
			}
		}
	}
}

type chunkWrite struct {
	c   *chunk
	j   *job
	gen uint64
}

// writeOnce records as much as fits one transaction.
func (o *Owner) writeOnce(ctx context.Context) (more bool, err error) {
	o.writing.Lock()
	defer o.writing.Unlock()
	claimed := o.member.Claimed()
	if len(claimed) == 0 {
		return false, nil
	}
	maxOps := o.cfg.Params.State.TxnOps
	var guards []wire.Guard
	var ops []wire.Op
	shards := map[int]bool{}
	size := 0
	var chunks []chunkWrite
	var ended []*job
	var trash int
	guardShard := func(s int) {
		if !shards[s] {
			shards[s] = true
			guards = append(guards, wire.Guard{Key: o.member.ShardKey(s), Version: o.loaded[s]})
		}
	}
	o.mu.Lock()
	for _, j := range o.order {
		if j.ended == "" {
			continue
		}
		need := 2 + min(len(j.chunks), maxOps-2)
		if len(ops)+need > maxOps {
			more = true
			continue
		}
		if size += 200 + 80*need; size > txnBytes {
			more = true
			break
		}
		guardShard(j.shard)
		uid := j.spec.UID
		guards = append(guards, wire.Guard{Key: liveKey + uid, Version: j.version})
		ops = append(ops, wire.Op{Put: finalKey + uid, Value: finalRecord{Stage: j.ended, Done: j.done}}, wire.Op{Delete: liveKey + uid})
		for i, c := range j.chunks {
			if c.version == 0 && o.dirty[c] == nil {
				continue
			}
			if i < need-2 {
				ops = append(ops, wire.Op{Delete: chunkKey(uid, c.n)})
			}
		}
		ended = append(ended, j)
	}
	for c, j := range o.dirty {
		if j.ended != "" {
			continue
		}
		rec := c.record()
		n := 300 + len(rec.Done)*2 + 16*len(rec.Machines) + 8*len(rec.Places)
		if len(ops) >= maxOps || size+n > txnBytes {
			more = true
			break
		}
		size += n
		key := chunkKey(j.spec.UID, c.n)
		guardShard(j.shard)
		guards = append(guards, wire.Guard{Key: key, Version: c.version})
		ops = append(ops, wire.Op{Put: key, Value: rec})
		chunks = append(chunks, chunkWrite{c, j, c.gen})
		if len(chunks) >= maxOps {
			more = true
			break
		}
	}
	if len(ops) == 0 {
		for trash < len(o.garbage) && len(ops) < maxOps {
			ops = append(ops, wire.Op{Delete: o.garbage[trash]})
			trash++
		}
		for s := range o.loaded {
			guardShard(s)
		}
	}
	o.mu.Unlock()
	if len(ops) == 0 {
		return false, nil
	}
	// The records above are encoded here, before anything else changes them:
	// record() copied what it needs, but for the bitmaps.
	for i := range ops {
		if ops[i].Value != nil {
			o.mu.Lock()
			data, err := json.Marshal(ops[i].Value)
			o.mu.Unlock()
			if err != nil {
				return false, err
			}
			ops[i].Value = json.RawMessage(data)
		}
	}
	tctx, cancel := context.WithTimeout(ctx, txnTimeout)
	rev, err := o.store.Txn(tctx, guards, ops...)
	cancel()
	var conflict *statestore.Conflict
	if errors.As(err, &conflict) {
		return true, o.reread(ctx, conflict.Keys)
	}
	if err != nil {
		return true, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.garbage = o.garbage[trash:]
	for _, w := range chunks {
		w.c.version = rev
		w.c.flushed = max(w.c.flushed, w.gen)
		if w.c.gen == w.gen {
			delete(o.dirty, w.c)
		} else {
			more = true
		}
		o.recorded(w.c)
	}
	for _, j := range ended {
		o.endLocked(j, maxOps)
	}
	return more || len(o.garbage) > 0 || len(o.dirty) > 0, nil
}

// recorded acts on what has just been written of a chunk.
func (o *Owner) recorded(c *chunk) {
	for _, p := range append([]*place(nil), c.places...) {
		if p.gen > c.flushed {
			continue
		}
		switch {
		case p.exited:
			holder, ref := p.mach.view.Holder, p.ref
			o.detachQuiet(p)
			d := o.direction(holder)
			d.Clear = append(d.Clear, ref)
			poke(o.out)
		case p.state == placeWriting:
			p.state = placeRecorded
			o.tell(p, false)
		}
	}
}

// detachQuiet ends the place of a finished task; its record may keep it.
func (o *Owner) detachQuiet(p *place) {
	gen, wasDirty := p.chunk.gen, o.dirty[p.chunk] != nil
	o.detach(p)
	if !wasDirty && p.job.ended == "" {
		// A done task's place needs no settling, so this alone is no
		// reason to write.
		p.chunk.gen = gen
		delete(o.dirty, p.chunk)
	}
}

// endLocked forgets a job whose end is recorded.
func (o *Owner) endLocked(j *job, maxOps int) {
	uid := j.spec.UID
	o.final[uid] = finalRecord{Stage: j.ended, Done: j.done}
	o.finalQ = append(o.finalQ, uid)
	if len(o.finalQ) > keepFinal {
		delete(o.final, o.finalQ[0])
		o.finalQ = o.finalQ[1:]
	}
	for i := maxOps - 2; i < len(j.chunks); i++ {
		if j.chunks[i].version != 0 {
			o.garbage = append(o.garbage, chunkKey(uid, j.chunks[i].n))
		}
	}
	for _, ps := range j.places {
		for _, p := range ps {
			d := o.direction(p.mach.view.Holder)
			if p.exited {
				d.Clear = append(d.Clear, p.ref)
			} else {
				d.Halt = append(d.Halt, machine.Halt{Ref: p.ref})
			}
		}
	}
	poke(o.out)
	o.forget(uid, j)
}

// reread finds out what became of keys whose condition failed: mostly an
// earlier write of ours whose answer was lost.
func (o *Owner) reread(ctx context.Context, keys []string) error {
	for _, key := range keys {
		rctx, cancel := context.WithTimeout(ctx, txnTimeout)
		it, err := o.store.Get(rctx, key)
		cancel()
		missing := errors.Is(err, statestore.ErrNotFound)
		if err != nil && !missing {
			return err
		}
		o.mu.Lock()
		o.adopt(key, it, missing)
		o.mu.Unlock()
	}
	return nil
}

func (o *Owner) adopt(key string, it wire.Item, missing bool) {
	for c, j := range o.dirty {
		if chunkKey(j.spec.UID, c.n) == key {
			// Only the shard's owner writes chunks, so this is an older
			// state of ours; the version makes any still later copy fail.
			c.version = it.Version
		}
	}
	for uid, j := range o.jobs {
		if liveKey+uid != key {
			continue
		}
		if missing {
			// Its end was recorded although the answer was lost.
			if j.ended != "" {
				o.endLocked(j, o.cfg.Params.State.TxnOps)
			} else {
				o.log.Error("a living job's record is gone", "job", uid)
				o.forget(uid, j)
			}
			return
		}
		var r liveRecord
		if err := json.Unmarshal(it.Value, &r); err != nil {
			o.log.Error("unreadable job record", "key", key, "err", err)
			return
		}
		j.version = max(j.version, it.Version)
		if r.Cancelled {
			o.cancelLocked(j)
		}
		return
	}
}

// direct sends what was gathered for the holders.
func (o *Owner) direct(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-o.out:
		}
		o.mu.Lock()
		pend := o.pend
		o.pend = map[string]*machine.Direction{}
		o.mu.Unlock()
		for holder, d := range pend {
			if holder == "" {
				continue
			}
			if holder == o.member.Name() {
				o.sendDirection(ctx, holder, d)
				continue
			}
			go o.sendDirection(ctx, holder, d) // bounded by its time limit
		}
	}
}

func (o *Owner) sendDirection(ctx context.Context, holder string, d *machine.Direction) {
	dctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	un, err := o.holders.Direct(dctx, holder, *d)
	if err != nil {
		// Sweeps and later views repeat whatever still matters.
		o.log.Debug("holder did not take directions", "holder", holder, "err", err)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, ref := range un.Refs {
		uid, n, err := wire.ParseTask(ref.Task)
		j := o.jobs[uid]
		if err != nil || j == nil {
			continue
		}
		for _, p := range append([]*place(nil), j.places[n]...) {
			if p.attempt == ref.Attempt && p.mach.name == ref.Machine && p.state == placeGranted && !p.haltAt.IsZero() {
				o.detach(p)
			}
		}
	}
}
