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

// commit applies to the state a transaction that was written at the given revision.
func (w *Writer) commit(txn *transaction, revision uint64) {
	w.pending = nil
	w.chunkDeletions = w.chunkDeletions[txn.chunkDeletionsTaken:]
	w.state.StandaloneRows = w.state.StandaloneRows[min(txn.unattachedRowsTaken, len(w.state.StandaloneRows)):]
	if txn.page.Key != "" {
		txn.pageBuilder.Applied(txn.page, revision)
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
			w.removeEndedJob(job)
		}
	}
}

// commitLog appends a written log record to its log and applies its changes.
func (w *Writer) commitLog(write *logWrite, revision uint64) {
	if write.slotIsNew {
		write.log.nextSlot++
	} else {
		write.log.slots = write.log.slots[1:]
	}
	write.slot.version, write.slot.seq, write.slot.chunks = revision, write.seq, write.chunks
	write.log.slots = append(write.log.slots, write.slot)
	for _, change := range write.changes {
		w.applyRecordedChange(change)
	}
}

// applyRecordedChange carries out a change that has just been written. A placement is sent to
// its worker, and a finished task is forgotten there, only after the change is recorded.
func (w *Writer) applyRecordedChange(change jobstate.Change) {
	placement := change.Placement
	if _, attached := placement.Worker.Placements[placement]; !attached {
		return
	}
	switch {
	case change.Kind == jobstate.TaskFinished:
		w.state.ForgetTask(placement)
	case change.Kind == jobstate.PlacementAdded && placement.State == jobstate.PlacementRecording && !placement.Exited:
		placement.State = jobstate.PlacementRecorded
		w.state.AssignPlacement(placement, false)
	}
}

// undo handles a transaction that was definitely not applied: it queues the changes again.
// Changes of a log that was lost in the meantime are dropped, even if this controller leads the
// shard again: the replay has already determined the outcome of their placements, and their
// accounting rows would be counted twice.
func (w *Writer) undo(txn *transaction) {
	w.pending = nil
	for _, change := range txn.unloggedChanges {
		w.state.StandaloneRows = append(w.state.StandaloneRows, *change.Row)
	}
	for i := range txn.logWrites {
		write := &txn.logWrites[i]
		if w.logs[write.shard] == write.log {
			w.state.UnwrittenChanges[write.shard] = append(write.changes, w.state.UnwrittenChanges[write.shard]...)
		}
	}
	for _, job := range txn.endedJobs {
		job.EndWriteSent = false
	}
}

// resolveConflict handles a transaction whose guards failed for some keys. It finds out whether
// the transaction was already applied by an earlier attempt whose response was lost, and
// commits or undoes it.
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
			w.applyStoredRecord(job, item)
		}
	}
	return nil
}

// readKeys reads the keys. A missing key gets an item with version 0.
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

// appliedRevision returns the revision at which a transaction was applied, if the items stored
// under its failed keys prove that it was. Otherwise it updates the versions of the
// transaction's log slots.
func (w *Writer) appliedRevision(txn *transaction, keys []string, items map[string]wire.Item) (revision uint64, applied bool) {
	if item, failed := items[txn.page.Key]; failed && item.Version > txn.page.Version {
		return item.Version, true // only this controller writes the page, and it has no other write pending
	}
	for i := range txn.logWrites {
		write := &txn.logWrites[i]
		item, failed := items[jobrecord.LogKey(write.shard, write.slot.number)]
		if !failed || w.shardLost(keys, write.shard) {
			continue
		}
		if record, err := jobrecord.ParseLog(item.Value); err == nil && record.Seq == write.seq && item.Version != 0 {
			return item.Version, true // all keys written by a transaction get the same version
		}
		// Only the shard's leader writes this key, so the record is an older one of this
		// controller.
		write.slot.version = item.Version
	}
	return 0, false
}

// shardLost reports whether the shard's key is among the failed keys. Records written by a
// successor say nothing about this controller's transaction: the successor's log records have
// the same keys and sequence numbers, and it may have recorded a different end of a job.
// Without this check the controller would report jobs as done whose completion was never
// recorded.
func (w *Writer) shardLost(failedKeys []string, shard int) bool {
	return slices.Contains(failedKeys, w.state.Membership.ShardKey(shard))
}

// applyStoredRecord applies a job's live record, as read from the state service, to the job.
// item has version 0 if the record does not exist.
func (w *Writer) applyStoredRecord(job *jobstate.Job, item wire.Item) {
	uid := job.Spec.UID
	if item.Version == 0 {
		if job.EndStage != "" {
			w.removeEndedJob(job) // its end was recorded, but the response was lost
		} else {
			w.log.Error("live record of job is missing", "job", uid)
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
