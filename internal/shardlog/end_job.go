package shardlog

import (
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/wire"
)

// maxCachedFinalRecords is the number of ended jobs whose final records are kept in memory, so
// that queries for them need no read.
const maxCachedFinalRecords = 20_000

// removeEndedJob removes from the state a job whose end is recorded, and instructs the
// dispatchers to have its remaining tasks on workers forgotten or halted.
func (w *Writer) removeEndedJob(job *jobstate.Job) {
	w.reportEnd(job)
	w.cacheFinalRecord(job)
	w.queueRemainingChunks(job)
	for _, placements := range job.Placements {
		for _, placement := range placements {
			instructions := w.state.InstructionsFor(placement.Worker.View.Dispatcher)
			if placement.Exited {
				instructions.Forget = append(instructions.Forget, dispatch.Forget{TaskRef: placement.Ref, MaxStartToken: placement.MaxToken})
			} else {
				instructions.Halt = append(instructions.Halt, dispatch.Halt{TaskRef: placement.Ref})
			}
		}
	}
	jobstate.Notify(w.state.SendSignal)
	w.state.ForgetJob(job.Spec.UID, job)
}

// reportEnd counts and logs a job's end. The `wallrack bound` command parses the log line.
func (w *Writer) reportEnd(job *jobstate.Job) {
	limit, begun := w.state.FirstDeadline(job), 0.0
	if !job.StartedAt.IsZero() {
		begun = job.StartedAt.Sub(job.AcceptedAt).Seconds()
	}
	if job.EndStage == wire.StageDone {
		w.state.EndedTally.Record(job, true, time.Now(), limit)
	}
	w.log.Debug("job ended", "job", job.Spec.UID, "class", job.Spec.Class, "stage", job.EndStage, "arrived_s", float64(job.AcceptedMs)/1000,
		"took_s", time.Since(job.AcceptedAt).Seconds(), "run_s", job.RunEstimate(), "limit_s", limit, "tasks", job.Spec.Tasks, "cpus", job.Spec.CPUs, "begun_s", begun, "large", job.Large)
}

// cacheFinalRecord keeps a job's final record in memory. Only the last maxCachedFinalRecords
// are kept.
func (w *Writer) cacheFinalRecord(job *jobstate.Job) {
	uid := job.Spec.UID
	w.state.FinalRecords[uid] = jobrecord.FinalRecord{Stage: job.EndStage, Done: job.Done, Ending: w.state.EndStateOf(job)}
	w.finalRecordOrder = append(w.finalRecordOrder, uid)
	if len(w.finalRecordOrder) > maxCachedFinalRecords {
		delete(w.state.FinalRecords, w.finalRecordOrder[0])
		w.finalRecordOrder = w.finalRecordOrder[1:]
	}
}

// queueRemainingChunks queues for deletion the chunk records that did not fit into the
// transaction of the job's end.
func (w *Writer) queueRemainingChunks(job *jobstate.Job) {
	deleted := w.state.Platform.Params.State.TxnOps - minEndChanges // chunk records that the end's transaction deleted
	for _, chunk := range job.Chunks {
		if chunk.Version == 0 {
			continue
		}
		if deleted--; deleted < 0 {
			w.chunkDeletions = append(w.chunkDeletions, jobrecord.ChunkKey(job.Spec.UID, chunk.Number))
		}
	}
}
