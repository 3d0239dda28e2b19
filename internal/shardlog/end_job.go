package shardlog

import (
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/wire"
)

const maxCachedFinalRecords = 20_000 // ended jobs that are kept in memory, so that queries for them need no read

// removeEndedJob forgets a job whose end is recorded, and has what is left of it on workers cleared
// or halted.
func (w *Writer) removeEndedJob(job *jobstate.Job) {
	w.reportEnd(job)
	w.cacheFinalRecord(job)
	w.queueRemainingChunks(job)
	for _, placements := range job.Placements {
		for _, placement := range placements {
			instructions := w.state.InstructionsFor(placement.Worker.View.Dispatcher)
			if placement.Exited {
				instructions.Clear = append(instructions.Clear, dispatch.Clear{TaskRef: placement.Ref, Token: placement.MaxToken})
			} else {
				instructions.Halt = append(instructions.Halt, dispatch.Halt{TaskRef: placement.Ref})
			}
		}
	}
	jobstate.Notify(w.state.SendSignal)
	w.state.ForgetJob(job.Spec.UID, job)
}

// reportEnd counts a job's end and logs it. `wallrack bound` reads the line.
func (w *Writer) reportEnd(job *jobstate.Job) {
	limit, begun := w.state.FirstLimit(job), 0.0
	if !job.BegunAt.IsZero() {
		begun = job.BegunAt.Sub(job.AcceptedAt).Seconds()
	}
	if job.EndStage == wire.StageDone {
		w.state.EndedTally.Record(job, true, time.Now(), limit)
	}
	w.log.Debug("job ended", "job", job.Spec.UID, "class", job.Spec.Class, "stage", job.EndStage, "arrived_s", float64(job.AcceptedMs)/1000,
		"took_s", time.Since(job.AcceptedAt).Seconds(), "run_s", job.RunEstimate(), "limit_s", limit, "tasks", job.Spec.Tasks, "cpus", job.Spec.CPUs, "begun_s", begun, "large", job.Large)
}

// cacheFinalRecord keeps a job's end in memory, for the last maxFinal jobs.
func (w *Writer) cacheFinalRecord(job *jobstate.Job) {
	uid := job.Spec.UID
	w.state.FinalRecords[uid] = jobrecord.FinalRecord{Stage: job.EndStage, Done: job.Done, Ending: w.state.EndStateOf(job)}
	w.finalRecordOrder = append(w.finalRecordOrder, uid)
	if len(w.finalRecordOrder) > maxCachedFinalRecords {
		delete(w.state.FinalRecords, w.finalRecordOrder[0])
		w.finalRecordOrder = w.finalRecordOrder[1:]
	}
}

// queueRemainingChunks queues the chunk records for deletion that were too many for the
// transaction of the job's end.
func (w *Writer) queueRemainingChunks(job *jobstate.Job) {
	deleted := w.state.Platform.Params.State.TxnOps - minEndChanges // with the end
	for _, chunk := range job.Chunks {
		if chunk.Version == 0 {
			continue
		}
		if deleted--; deleted < 0 {
			w.chunkDeletions = append(w.chunkDeletions, jobrecord.ChunkKey(job.Spec.UID, chunk.Number))
		}
	}
}
