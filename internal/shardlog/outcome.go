package shardlog

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/wire"
)

// commit applies a transaction that was written at a revision to the state.
func (w *Writer) commit(txn *transaction, revision uint64) {
	w.pending = nil
	w.garbage = w.garbage[txn.garbageTaken:]
	w.state.UnattachedRows = w.state.UnattachedRows[min(txn.unattachedRowsTaken, len(w.state.UnattachedRows)):]
	if txn.page.Key != "" {
		txn.book.Applied(txn.page, revision)
		usage.CountEvents(usage.AccountingRows, len(txn.rows))
		usage.CountEvents(usage.AccountingWrites, 1)
		usage.CountEvents(usage.AccountingBytes, len(txn.page.Value))
	}
	for _, save := range txn.chunkSaves {
		save.chunk.Version, save.chunk.SavedSeq = revision, max(save.chunk.SavedSeq, save.seq)
	}
	for i := range txn.logWrites {
		w.commitLog(&txn.logWrites[i], revision)
	}
	for _, job := range txn.endedJobs {
		if w.state.Jobs[job.Spec.UID] == job {
			w.endJob(job)
		}
	}
}

// commitLog moves a log record that was written to the end of its log, and applies its
// changes.
func (w *Writer) commitLog(write *logWrite, revision uint64) {
	if write.slotIsNew {
		write.log.nextSlot++
	} else {
		write.log.slots = write.log.slots[1:]
	}
	write.slot.version, write.slot.seq, write.slot.chunks = revision, write.seq, write.chunks
	write.log.slots = append(write.log.slots, write.slot)
	for _, change := range write.changes {
		w.applyRecorded(change)
	}
}

// applyRecorded acts on a change that has just been written: only now a placement is sent
// to its worker, or a finished task cleared there.
func (w *Writer) applyRecorded(change jobstate.Change) {
	placement := change.Placement
	if _, attached := placement.Worker.Placements[placement]; !attached {
		return
	}
	switch {
	case change.Kind == jobstate.TaskFinished:
		w.state.ClearTask(placement)
	case change.Kind == jobstate.PlacementAdded && placement.State == jobstate.PlacementRecording && !placement.Exited:
		placement.State = jobstate.PlacementRecorded
		w.state.AssignPlacement(placement, false)
	}
}

// undo puts back what a transaction that surely was not applied was made of. Changes of a
// log that was lost meanwhile are dropped, also if the shard is led here again: the replay
// has found what became of their placements, and their accounting rows would count twice.
func (w *Writer) undo(txn *transaction) {
	w.pending = nil
	for _, change := range txn.unloggedChanges {
		w.state.UnattachedRows = append(w.state.UnattachedRows, *change.Row)
	}
	for i := range txn.logWrites {
		write := &txn.logWrites[i]
		if w.logs[write.shard] == write.log {
			w.state.Unwritten[write.shard] = append(write.changes, w.state.Unwritten[write.shard]...)
		}
	}
	for _, job := range txn.endedJobs {
		job.EndWriteSent = false
	}
}

// resolveConflict finds out whether a transaction whose conditions failed on some keys had
// been applied before, its response lost, and commits or undoes it.
func (w *Writer) resolveConflict(ctx context.Context, txn *transaction, keys []string) error {
	items, err := w.readKeys(ctx, keys)
	if err != nil {
		return err
	}
	w.state.Mu.Lock()
	defer w.state.Mu.Unlock()
	if revision, applied := w.appliedRevision(txn, keys, items); applied {
		w.commit(txn, revision)
		return nil
	}
	w.undo(txn)
	for _, save := range txn.chunkSaves {
		if item, failed := items[jobrecord.ChunkKey(save.chunk.Job.Spec.UID, save.chunk.Number)]; failed {
			save.chunk.Version = item.Version
		}
	}
	for _, job := range txn.endedJobs {
		item, failed := items[jobrecord.LivePrefix+job.Spec.UID]
		if failed && !w.shardLost(keys, job.Shard) && w.state.Jobs[job.Spec.UID] == job {
			w.adoptLive(job, item)
		}
	}
	return nil
}

// readKeys reads the keys; one that is missing gets an item without a version.
func (w *Writer) readKeys(ctx context.Context, keys []string) (map[string]wire.Item, error) {
	items := map[string]wire.Item{}
	for _, key := range keys {
		readCtx, cancel := context.WithTimeout(ctx, jobrecord.TxnTimeout)
		item, err := w.store.Get(readCtx, key)
		cancel()
		if err != nil && !errors.Is(err, statestore.ErrNotFound) {
			return nil, fmt.Errorf("read %s after a conflict: %w", key, err)
		}
		items[key] = item
	}
	return items, nil
}

// appliedRevision returns the revision at which a transaction was applied, if what is stored
// under its failed keys shows that it was. Else it notes the versions of its log slots.
func (w *Writer) appliedRevision(txn *transaction, keys []string, items map[string]wire.Item) (revision uint64, applied bool) {
	if item, failed := items[txn.page.Key]; failed && item.Version > txn.page.Version {
		return item.Version, true // only this controller writes this page, and no other write of it is pending
	}
	for i := range txn.logWrites {
		write := &txn.logWrites[i]
		item, failed := items[jobrecord.LogKey(write.shard, write.slot.number)]
		if !failed || w.shardLost(keys, write.shard) {
			continue
		}
		if record, err := jobrecord.ParseLog(item.Value); err == nil && record.Seq == write.seq && item.Version != 0 {
			return item.Version, true // all keys of a transaction share a version
		}
		// Only the shard's leader writes there: the record is an older one of ours.
		write.slot.version = item.Version
	}
	return 0, false
}

// shardLost reports whether the key of a shard is among the failed ones. What a successor
// wrote says nothing about a transaction of ours: its log records have the same keys and
// numbers, and an end that it recorded may be another one. Without this check, jobs were
// called done here that nobody had recorded as done.
func (w *Writer) shardLost(failedKeys []string, shard int) bool {
	return slices.Contains(failedKeys, w.state.Membership.ShardKey(shard))
}

// adoptLive takes the living record of a job as it was found in the state service.
func (w *Writer) adoptLive(job *jobstate.Job, item wire.Item) {
	uid := job.Spec.UID
	if item.Version == 0 {
		if job.EndStage != "" {
			w.endJob(job) // its end was recorded, and the response lost
		} else {
			w.log.Error("record of living job missing", "job", uid)
			w.state.ForgetJob(uid, job)
		}
		return
	}
	var record jobrecord.LiveRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		w.log.Error("unreadable job record", "key", item.Key, "err", err)
		return
	}
	w.state.UpdateRecord(job, &record, item.Version)
}
