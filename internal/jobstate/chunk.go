package jobstate

import (
	"sort"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobspec"
)

// TaskOutcome a task ended that is over and not done, as records have it.
type TaskOutcome uint8

const (
	OutcomeFailed    TaskOutcome = 1
	OutcomeTimedOut  TaskOutcome = 2
	OutcomeCancelled TaskOutcome = 3 // alone, by its user
)

func (h TaskOutcome) AccountingState() string {
	return [...]string{jobspec.Completed, jobspec.Failed, jobspec.Timeout, jobspec.Cancelled}[h&3]
}

type TaskFailure struct {
	Outcome  TaskOutcome
	ExitCode int
}

func (f TaskFailure) Triple(task int) []uint64 {
	return []uint64{uint64(task), uint64(f.Outcome), uint64(f.ExitCode)}
}

// SetFailed marks a task as over and not done.
func (chunk *Chunk) SetFailed(task int, h, exit uint64) {
	chunk.SetDone(task)
	if chunk.Failed == nil {
		chunk.Failed = map[int]TaskFailure{}
	}
	chunk.Failed[task] = TaskFailure{TaskOutcome(h & 3), int(exit & 0xff)}
}

// Chunk is a run of a job's tasks that share a record.
type Chunk struct {
	Number      int
	Version     uint64 // of its own record; 0: it has none
	SavedSeq    uint64 // log record up to which its own record speaks
	DoneBits    []byte
	NextAttempt uint64
	Placements  []*Placement
	Job         *Job
	Closed      bool                // the job has ended, or left this owner
	Failed      map[int]TaskFailure // tasks that are over and not done; their bits are set in done
}

func (chunk *Chunk) IsDone(task int) bool {
	i := task % jobrecord.ChunkSize
	return chunk.DoneBits[i/8]&(1<<(i%8)) != 0
}

func (chunk *Chunk) SetDone(task int) {
	i := task % jobrecord.ChunkSize
	chunk.DoneBits[i/8] |= 1 << (i % 8)
}

func (chunk *Chunk) Record(seq uint64) jobrecord.ChunkRecord {
	r := jobrecord.ChunkRecord{Seq: seq, Done: chunk.DoneBits, Next: chunk.NextAttempt}
	for t, f := range chunk.Failed {
		r.Failed = append(r.Failed, f.Triple(t)...)
	}
	index := map[string]int{}
	places := append([]*Placement(nil), chunk.Placements...)
	sort.Slice(places, func(i, j int) bool { return places[i].Attempt < places[j].Attempt })
	for _, placement := range places {
		if placement.Exited {
			continue
		}
		i, ok := index[placement.Worker.Name]
		if !ok {
			i = len(r.Machines)
			index[placement.Worker.Name] = i
			r.Machines = append(r.Machines, placement.Worker.Name)
		}
		r.Places = append(r.Places, uint64(placement.Task), placement.Attempt, uint64(i))
	}
	return r
}
