package shardlog

import (
	"math"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

// replayEntry is a job's entry in a log record, as read by a new owner.
type replayEntry struct {
	seq      uint64
	machines []string
	jobrecord.JobEntry
}

// readLogs makes the logs of shards of their records, and sorts the records'
// entries by job, oldest first.
func (w *Writer) ReadLogs(items []wire.Item, want map[int]bool) (map[int]*Log, map[string][]replayEntry) {
	logs := map[int]*Log{}
	for s := range want {
		logs[s] = &Log{}
	}
	entries := map[string][]replayEntry{}
	for _, it := range items {
		s, n, err := jobrecord.ParseLogKey(it.Key)
		l := logs[s]
		if err == nil && l == nil {
			w.quota.NoteRecord(it)
			continue // another owner's
		}
		var r jobrecord.LogRecord
		if err == nil {
			r, err = jobrecord.ParseLog(it.Value)
			w.quota.NoteRecord(it)
		}
		if err != nil {
			w.log.Error("unreadable log record", "key", it.Key, "err", err)
			if l == nil {
				continue
			}
		}
		l.next, l.seq = max(l.next, n+1), max(l.seq, r.Seq)
		l.slots = append(l.slots, &logSlot{n: n, version: it.Version, seq: r.Seq, chunks: map[*jobstate.Chunk]struct{}{}, read: r})
	}
	for _, l := range logs {
		sort.Slice(l.slots, func(a, b int) bool { return l.slots[a].seq < l.slots[b].seq })
		for _, sl := range l.slots {
			for _, e := range sl.read.Jobs {
				entries[e.UID] = append(entries[e.UID], replayEntry{sl.seq, sl.read.Machines, e})
			}
		}
	}
	return logs, entries
}

// replay applies a log record's entry, unless the chunk's own record is newer.
func (w *Writer) replay(job *jobstate.Job, e replayEntry, fence uint64) {
	newer := func(task uint64) bool {
		return task < uint64(job.Spec.Tasks) && e.seq > job.Chunks[task/jobrecord.ChunkSize].SavedSeq
	}
	for i := 0; i < len(e.Places); i += 3 {
		if newer(e.Places[i]) {
			w.addFound(job, int(e.Places[i]), e.Places[i+1], e.machines[e.Places[i+2]], fence)
		}
	}
	for i := 0; i < len(e.Gone); i += 2 {
		if !newer(e.Gone[i]) {
			continue
		}
		for _, placement := range job.Placements[int(e.Gone[i])] {
			if placement.Attempt == e.Gone[i+1] {
				w.state.RemovePlacement(placement)
				break
			}
		}
	}
	for _, t := range e.Done {
		if newer(t) {
			job.Chunks[t/jobrecord.ChunkSize].SetDone(int(t))
		}
	}
	for i := 0; i < len(e.Failed); i += 3 {
		if t := e.Failed[i]; newer(t) {
			job.Chunks[t/jobrecord.ChunkSize].SetFailed(int(t), e.Failed[i+1], e.Failed[i+2])
		}
	}
}

// touchSlot finds the chunks that a predecessor's record names.
func (w *Writer) touchSlot(s *logSlot) {
	for _, e := range s.read.Jobs {
		job := w.state.Jobs[e.UID]
		if job == nil {
			continue
		}
		name := func(task uint64) {
			if task < uint64(job.Spec.Tasks) {
				s.chunks[job.Chunks[task/jobrecord.ChunkSize]] = struct{}{}
			}
		}
		for i := 0; i < len(e.Places); i += 3 {
			name(e.Places[i])
		}
		for i := 0; i < len(e.Gone); i += 2 {
			name(e.Gone[i])
		}
		for _, t := range e.Done {
			name(t)
		}
		for i := 0; i < len(e.Failed); i += 3 {
			name(e.Failed[i])
		}
	}
	s.read = jobrecord.LogRecord{}
}

// admit makes a living job of its records.
func (w *Writer) Admit(r *jobrecord.LiveRecord, version uint64, chunks []wire.Item, entries []replayEntry, fence uint64) *jobstate.Job {
	spec := r.Job
	job := &jobstate.Job{
		Spec: &spec, Shard: r.Shard, Version: version, AcceptedMs: r.AtMs, Cancelled: r.Cancelled,
		AcceptedAt: time.Now().Add(-max(0, time.Since(time.UnixMilli(r.AtMs)))),
		Placements: map[int][]*jobstate.Placement{}, Avoid: map[int]time.Time{}, Zones: map[string]int{},
		Resources: matching.Resources{CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB},
		Class:     w.state.ClassOf(spec.Class), Team: w.state.Teams[spec.Team],
	}
	if r.Terms != nil {
		job.Constraints = jobstate.NewConstraintState(r.Terms)
	}
	if r.Cancelled && w.state.Cancellations != nil {
		w.state.Cancellations.RecordCancelled(spec.UID)
	}
	if job.Team == nil {
		job.Team = &jobstate.Team{}
	}
	job.Large = job.Class.Sizes.Add(float64(spec.Tasks) * spec.CPUs)
	for n := 0; n*jobrecord.ChunkSize < spec.Tasks; n++ {
		job.Chunks = append(job.Chunks, &jobstate.Chunk{Number: n, DoneBits: make([]byte, jobrecord.ChunkSize/8), NextAttempt: 1, Job: job})
	}
	for _, it := range chunks {
		_, num, _ := strings.Cut(strings.TrimPrefix(it.Key, jobrecord.ChunkPrefix), "/")
		n, err := strconv.Atoi(num)
		if err != nil || n < 0 || n >= len(job.Chunks) {
			w.log.Error("chunk beyond its job", "key", it.Key)
			continue
		}
		chunk := job.Chunks[n]
		chunk.Version = it.Version
		rec, err := jobrecord.ParseChunk(it.Value, spec.Tasks)
		if err != nil {
			w.log.Error("unreadable chunk record", "key", it.Key, "err", err)
			continue
		}
		copy(chunk.DoneBits, rec.Done)
		for i := 0; i < len(rec.Failed); i += 3 {
			if t := rec.Failed[i]; t/jobrecord.ChunkSize == uint64(n) {
				chunk.SetFailed(int(t), rec.Failed[i+1], rec.Failed[i+2])
			}
		}
		chunk.NextAttempt, chunk.SavedSeq = max(1, rec.Next), rec.Seq
		for i := 0; i < len(rec.Places); i += 3 {
			w.addFound(job, int(rec.Places[i]), rec.Places[i+1], rec.Machines[rec.Places[i+2]], fence)
		}
	}
	for _, e := range entries {
		w.replay(job, e, fence)
	}
	w.state.CancelTasks(job)
	for _, chunk := range job.Chunks {
		for _, placement := range append([]*jobstate.Placement(nil), chunk.Placements...) {
			if chunk.IsDone(placement.Task) && chunk.Failed[placement.Task].Outcome != jobstate.OutcomeCancelled {
				w.state.RemovePlacement(placement)
				continue
			}
			w.state.CountUse(placement, 1)
		}
	}
	for t := spec.Tasks - 1; t >= 0; t-- {
		if job.Chunks[t/jobrecord.ChunkSize].IsDone(t) {
			job.Finished++
			if _, failed := job.Chunks[t/jobrecord.ChunkSize].Failed[t]; !failed {
				job.Done++
			}
		} else if len(job.Placements[t]) == 0 {
			job.Pending = append(job.Pending, t)
		}
	}
	if job.Done > 0 {
		job.RecordBegin(time.Now()) // earlier, under a predecessor: nobody knows when
	}
	if fence == 0 && !spec.Service() && (job.Constraints == nil || w.state.WaitReason(job, time.Now()) == "") {
		work := float64(spec.Tasks) * spec.CPUs * job.RunEstimate()
		w.state.AdmittedWork += work
		a := w.state.Arriving[spec.Class]
		if a == nil {
			a = &jobstate.ArrivingWork{}
			w.state.Arriving[spec.Class] = a
		}
		a.Admitted += work
		a.Rank = spec.Rank()
	}
	w.state.Jobs[spec.UID] = job
	w.state.JobOrder = append(w.state.JobOrder, job)
	w.state.FinishJob(job)
	return job
}

// found attaches a place that the store knows of.
func (w *Writer) addFound(job *jobstate.Job, task int, attempt uint64, machine string, fence uint64) {
	chunk := job.Chunks[task/jobrecord.ChunkSize]
	chunk.NextAttempt = max(chunk.NextAttempt, attempt+1)
	for _, placement := range job.Placements[task] {
		if placement.Attempt == attempt {
			return
		}
	}
	w.state.AddPlacement(&jobstate.Placement{Job: job, Chunk: chunk, Task: task, Attempt: attempt, Worker: w.state.WorkerOf(machine), State: jobstate.PlacementUnconfirmed,
		MaxToken: fence - 1, Session: math.MaxUint64, CreatedAt: time.Now(), InStore: true})
}
