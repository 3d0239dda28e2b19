package shardlog

import (
	"strconv"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

// JobRecords holds the stored records of a live job.
type JobRecords struct {
	Live    *jobrecord.LiveRecord
	Version uint64      // of Live
	Chunks  []wire.Item // chunk records of the predecessor
	Entries []LogEntry  // log entries of the predecessor, oldest first
}

// Admit creates a live job from its records and adds it to the state. token is the fencing
// token of the failover in which the records were read, or 0 for a job accepted under this
// leader; only the latter's work is counted as arriving. Unreadable chunk records are logged
// and skipped.
func (w *Writer) Admit(records *JobRecords, token uint64) *jobstate.Job {
	job := w.newJob(records.Live, records.Version)
	for _, item := range records.Chunks {
		w.loadChunk(job, item, token)
	}
	for i := range records.Entries {
		w.replay(job, &records.Entries[i], token)
	}
	w.state.CancelTasks(job)
	w.pruneAndCountPlacements(job)
	countAndQueueTasks(job)
	if job.Done > 0 {
		job.RecordStarted(time.Now()) // it began under a predecessor, at a time that is not recorded
	}
	if token == 0 {
		w.recordArrival(job)
	}
	w.state.Jobs[job.Spec.UID] = job
	w.state.JobOrder = append(w.state.JobOrder, job)
	w.state.FinishJob(job)
	return job
}

// newJob creates a job from its live record, with chunks in their initial state.
func (w *Writer) newJob(record *jobrecord.LiveRecord, version uint64) *jobstate.Job {
	spec := record.Job
	job := &jobstate.Job{
		Spec: &spec, Shard: record.Shard, Version: version, AcceptedMs: record.AcceptedMs, Cancelled: record.Cancelled,
		AcceptedAt: time.Now().Add(-max(0, time.Since(time.UnixMilli(record.AcceptedMs)))),
		Placements: map[int][]*jobstate.Placement{}, AvoidUntil: map[int]time.Time{},
		Resources: matching.Resources{CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB},
		Class:     w.state.ClassOf(spec.Class), Team: w.state.Teams[spec.Team],
	}
	if record.Constraints != nil {
		job.Constraints = jobstate.NewConstraintState(record.Constraints)
	}
	if record.Cancelled && w.state.Cancellations != nil {
		w.state.Cancellations.RecordCancelled(spec.UID)
	}
	if job.Team == nil {
		job.Team = &jobstate.Team{}
	}
	job.Large = job.Class.Sizes.Add(float64(spec.Tasks) * spec.CPUs)
	for number := 0; number*jobrecord.ChunkSize < spec.Tasks; number++ {
		job.Chunks = append(job.Chunks, &jobstate.Chunk{Number: number, DoneBits: make([]byte, jobrecord.ChunkSize/8), NextAttempt: 1, Job: job})
	}
	return job
}

// loadChunk applies a chunk record to its job.
func (w *Writer) loadChunk(job *jobstate.Job, item wire.Item, token uint64) {
	_, suffix, _ := strings.Cut(strings.TrimPrefix(item.Key, jobrecord.ChunkPrefix), "/")
	number, err := strconv.Atoi(suffix)
	if err != nil || number < 0 || number >= len(job.Chunks) {
		w.log.Error("chunk record beyond the job's tasks", "key", item.Key)
		return
	}
	chunk := job.Chunks[number]
	chunk.Version = item.Version
	record, err := jobrecord.ParseChunk(item.Value, job.Spec.Tasks)
	if err != nil {
		w.log.Error("unreadable chunk record", "key", item.Key, "err", err)
		return
	}
	copy(chunk.DoneBits, record.DoneBits)
	for i := 0; i < len(record.Failed); i += 3 {
		if task := record.Failed[i]; task/jobrecord.ChunkSize == uint64(number) {
			chunk.SetFailed(int(task), record.Failed[i+1], record.Failed[i+2])
		}
	}
	chunk.NextAttempt, chunk.SavedSeq = max(1, record.NextAttempt), record.Seq
	for i := 0; i < len(record.Placements); i += 3 {
		w.addPlacement(job, int(record.Placements[i]), record.Placements[i+1], record.Workers[record.Placements[i+2]], token)
	}
}

// pruneAndCountPlacements removes the placements of finished tasks, except of cancelled ones,
// which may still be running, and adds the resources of the remaining placements to the usage
// counts.
func (w *Writer) pruneAndCountPlacements(job *jobstate.Job) {
	for _, chunk := range job.Chunks {
		for _, placement := range append([]*jobstate.Placement(nil), chunk.Placements...) {
			if chunk.IsOver(placement.Task) && chunk.Failed[placement.Task].Outcome != jobstate.OutcomeCancelled {
				w.state.RemovePlacement(placement)
				continue
			}
			w.state.CountUse(placement, 1)
		}
	}
}

// countAndQueueTasks counts the job's finished tasks and adds the tasks without a placement to
// its pending ones.
func countAndQueueTasks(job *jobstate.Job) {
	for task := job.Spec.Tasks - 1; task >= 0; task-- {
		chunk := chunkOf(job, uint64(task))
		if chunk.IsOver(task) {
			job.Finished++
			if _, failed := chunk.Failed[task]; !failed {
				job.Done++
			}
		} else if len(job.Placements[task]) == 0 {
			job.Pending = append(job.Pending, task)
		}
	}
}

// recordArrival adds the work of a job that was just accepted to the arriving work, unless the
// job is a service or its own constraints keep it waiting.
func (w *Writer) recordArrival(job *jobstate.Job) {
	spec := job.Spec
	if spec.Service() || job.Constraints != nil && w.state.WaitReason(job, time.Now()) != "" {
		return
	}
	work := float64(spec.Tasks) * spec.CPUs * job.RunEstimate()
	w.state.AdmittedWork += work
	arriving := w.state.Arriving[spec.Class]
	if arriving == nil {
		arriving = &jobstate.ArrivingWork{}
		w.state.Arriving[spec.Class] = arriving
	}
	arriving.Admitted += work
	arriving.Rank = spec.Rank()
}
