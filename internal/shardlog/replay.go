package shardlog

import (
	"math"
	"sort"
	"time"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/wire"
)

// LogEntry is a job's entry in a log record of a predecessor.
type LogEntry struct {
	seq     uint64   // sequence number of the record
	workers []string // workers named by the record
	jobrecord.JobEntry
}

// ReadLogs builds the logs of the shards from the log records in items, and returns the
// records' entries by job, oldest first. It passes the quota mark of every log record, of
// whatever shard, to the quota manager. An unreadable record is logged; its slot is
// retained, with the sequence number if that could be read.
func (w *Writer) ReadLogs(items []wire.Item, shards []int) (map[int]*Log, map[string][]LogEntry) {
	logs := map[int]*Log{}
	for _, shard := range shards {
		logs[shard] = &Log{}
	}
	for _, item := range items {
		w.readRecord(item, logs)
	}
	entries := map[string][]LogEntry{}
	for _, shardLog := range logs {
		slots := shardLog.slots
		sort.Slice(slots, func(a, b int) bool { return slots[a].seq < slots[b].seq })
		for _, slot := range slots {
			for _, entry := range slot.predecessorRecord.Jobs {
				entries[entry.UID] = append(entries[entry.UID], LogEntry{slot.seq, slot.predecessorRecord.Workers, entry})
			}
		}
	}
	return logs, entries
}

// readRecord adds a log record to the log of its shard, if logs contains the shard.
func (w *Writer) readRecord(item wire.Item, logs map[int]*Log) {
	shard, number, err := jobrecord.ParseLogKey(item.Key)
	shardLog := logs[shard]
	if err == nil && shardLog == nil {
		w.quota.NoteRecord(item)
		return // the shard of another leader
	}
	var record jobrecord.LogRecord
	if err == nil {
		record, err = jobrecord.ParseLog(item.Value)
		w.quota.NoteRecord(item)
	}
	if err != nil {
		w.log.Error("unreadable log record", "key", item.Key, "err", err)
		if shardLog == nil {
			return
		}
	}
	shardLog.nextSlot, shardLog.seq = max(shardLog.nextSlot, number+1), max(shardLog.seq, record.Seq)
	shardLog.slots = append(shardLog.slots, &logSlot{number: number, version: item.Version, seq: record.Seq, chunks: map[*jobstate.Chunk]struct{}{}, predecessorRecord: record})
}

// replay applies a log entry to a job, except for the tasks whose chunk record already covers
// the entry. token is the fencing token of the failover.
func (w *Writer) replay(job *jobstate.Job, entry *LogEntry, token uint64) {
	uncovered := func(task uint64) bool {
		return task < uint64(job.Spec.Tasks) && entry.seq > chunkOf(job, task).SavedSeq
	}
	for i := 0; i < len(entry.Placements); i += 3 {
		if task := entry.Placements[i]; uncovered(task) {
			w.addPlacement(job, int(task), entry.Placements[i+1], entry.workers[entry.Placements[i+2]], token)
		}
	}
	for i := 0; i < len(entry.Removed); i += 2 {
		if task := entry.Removed[i]; uncovered(task) {
			w.removePlacement(job, int(task), entry.Removed[i+1])
		}
	}
	for _, task := range entry.Done {
		if uncovered(task) {
			chunkOf(job, task).SetOver(int(task))
		}
	}
	for i := 0; i < len(entry.Failed); i += 3 {
		if task := entry.Failed[i]; uncovered(task) {
			chunkOf(job, task).SetFailed(int(task), entry.Failed[i+1], entry.Failed[i+2])
		}
	}
}

// chunkOf returns the chunk of a task of the job.
func chunkOf(job *jobstate.Job, task uint64) *jobstate.Chunk {
	return job.Chunks[task/jobrecord.ChunkSize]
}

// addPlacement adds a placement that the state service has recorded, unless the job already has
// it. The placement is unconfirmed: a predecessor may have granted its start under any fencing
// token lower than token.
func (w *Writer) addPlacement(job *jobstate.Job, task int, attempt uint64, worker string, token uint64) {
	chunk := chunkOf(job, uint64(task))
	chunk.NextAttempt = max(chunk.NextAttempt, attempt+1)
	for _, placement := range job.Placements[task] {
		if placement.Attempt == attempt {
			return
		}
	}
	w.state.AddPlacement(&jobstate.Placement{
		Job: job, Chunk: chunk, Task: task, Attempt: attempt, Worker: w.state.WorkerOf(worker), State: jobstate.PlacementUnconfirmed,
		MaxToken: token - 1, Session: math.MaxUint64, CreatedAt: time.Now(), InStore: true,
	})
}

// removePlacement removes the task's placement with the given attempt, if it exists.
func (w *Writer) removePlacement(job *jobstate.Job, task int, attempt uint64) {
	for _, placement := range job.Placements[task] {
		if placement.Attempt == attempt {
			w.state.RemovePlacement(placement)
			return
		}
	}
}

// resolveChunks adds to the slot the chunks of live jobs that are named by its predecessorRecord,
// and discards that record.
func (w *Writer) resolveChunks(slot *logSlot) {
	for i := range slot.predecessorRecord.Jobs {
		entry := &slot.predecessorRecord.Jobs[i]
		job := w.state.Jobs[entry.UID]
		if job == nil {
			continue
		}
		add := func(task uint64) {
			if task < uint64(job.Spec.Tasks) {
				slot.chunks[chunkOf(job, task)] = struct{}{}
			}
		}
		for i := 0; i < len(entry.Placements); i += 3 {
			add(entry.Placements[i])
		}
		for i := 0; i < len(entry.Removed); i += 2 {
			add(entry.Removed[i])
		}
		for _, task := range entry.Done {
			add(task)
		}
		for i := 0; i < len(entry.Failed); i += 3 {
			add(entry.Failed[i])
		}
	}
	slot.predecessorRecord = jobrecord.LogRecord{}
}
