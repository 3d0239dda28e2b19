package jobstate

import (
	"cmp"
	"slices"

	"github.com/wallrack/wallrack/internal/jobrecord"
)

// Chunk is jobrecord.ChunkSize consecutive tasks of a job, which share a record.
type Chunk struct {
	Number      int
	Version     uint64 // version of the chunk's own record; 0 if there is none
	SavedSeq    uint64 // sequence number of the last log record that the chunk's own record includes
	DoneBits    []byte // one bit for each task; set if the task is over
	NextAttempt uint64 // lowest attempt number that was never used
	Placements  []*Placement
	Job         *Job
	Closed      bool                // the job has ended or another leader has taken it over: nothing may be written
	Failed      map[int]TaskFailure // tasks that are over and did not complete, by task; DoneBits includes them
}

// IsOver reports whether a task of the chunk is over: done, failed or cancelled individually.
func (c *Chunk) IsOver(task int) bool {
	i := task % jobrecord.ChunkSize
	return c.DoneBits[i/8]&(1<<(i%8)) != 0
}

// SetOver marks a task of the chunk as over.
func (c *Chunk) SetOver(task int) {
	i := task % jobrecord.ChunkSize
	c.DoneBits[i/8] |= 1 << (i % 8)
}

// SetFailed marks a task of the chunk as over and not completed. The outcome and the exit code
// are encoded as in records; bits beyond their ranges are dropped.
func (c *Chunk) SetFailed(task int, outcome, exitCode uint64) {
	c.SetOver(task)
	if c.Failed == nil {
		c.Failed = map[int]TaskFailure{}
	}
	c.Failed[task] = TaskFailure{Outcome: TaskOutcome(outcome & outcomeMask), ExitCode: int(exitCode & exitCodeMask)}
}

// Record returns the chunk's own record as of the shard's log record seq. Placements are in the
// order of their attempts; exited ones are omitted, because the log records their end.
func (c *Chunk) Record(seq uint64) jobrecord.ChunkRecord {
	record := jobrecord.ChunkRecord{Seq: seq, DoneBits: c.DoneBits, NextAttempt: c.NextAttempt}
	for task, failure := range c.Failed {
		record.Failed = append(record.Failed, failure.Triple(task)...)
	}
	workerIndex := map[string]int{}
	placements := slices.Clone(c.Placements)
	slices.SortFunc(placements, func(a, b *Placement) int { return cmp.Compare(a.Attempt, b.Attempt) })
	for _, placement := range placements {
		if placement.Exited {
			continue
		}
		i, ok := workerIndex[placement.Worker.Name]
		if !ok {
			i = len(record.Workers)
			workerIndex[placement.Worker.Name] = i
			record.Workers = append(record.Workers, placement.Worker.Name)
		}
		record.Placements = append(record.Placements, uint64(placement.Task), placement.Attempt, uint64(i))
	}
	return record
}
