// Package jobrecord has the records in which the state service holds jobs, their keys, and the
// store interface by which schedulers read and write them.
//
// A job has a live record from its acceptance to its end, and a final record ever after. What
// happens to its tasks is recorded in the log of its shard, where one record takes the changes
// of many jobs. A chunk of tasks gets a record of its own only when the slot of a log record
// that names it is reused.
//
// The package holds no state. Which records are written when is up to package shardlog.
package jobrecord

import (
	"hash/fnv"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobid"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// LiveRecord is an accepted job that has not ended.
type LiveRecord struct {
	Job        wire.Job `json:"job"`
	Shard      int      `json:"shard"`
	AcceptedMs int64    `json:"at"` // time of its acceptance, in milliseconds since 1970
	Cancelled  bool     `json:"cancelled,omitempty"`

	Constraints *jobspec.Constraints `json:"terms,omitempty"` // nil: it has none
}

// FinalRecord is how a job ended.
type FinalRecord struct {
	Stage string `json:"stage"` // as in wire.JobState
	Done  int    `json:"done"`  // tasks that completed

	Ending *jobspec.Ending `json:"end,omitempty"` // of a job with constraints
}

// Facts returns what jobs that depend on the ended job need to know.
func (f FinalRecord) Facts() jobspec.JobFacts {
	done := f.Stage == wire.StageDone
	facts := jobspec.JobFacts{Over: true, OK: done, Started: done}
	if f.Ending != nil {
		facts.StartedMs = f.Ending.StartMs
	}
	return facts
}

// HashShard returns the shard of a job. The jobs of a team with a limit or a guarantee share a
// shard, so that one leader counts all that the team uses.
func HashShard(job *wire.Job, teams []config.Team, shards int) int {
	key := job.UID
	for _, t := range teams {
		if t.Name == job.Team && (t.CPUsMax > 0 || t.GPUsMax > 0 || t.CPUs > 0 || t.GPUs > 0) {
			key = t.Name
		}
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(key)) // never fails
	return int(hash.Sum32() % uint32(shards))
}

// AcceptanceTxn returns the transaction that accepts a job, with its constraints unless they
// are nil. It fails if the job is known, live or ended, or if its number belongs to another.
// The time is in milliseconds since 1970.
func AcceptanceTxn(job *wire.Job, constraints *jobspec.Constraints, shard int, atMs int64) ([]wire.Guard, []wire.Op) {
	guards := []wire.Guard{{Key: LivePrefix + job.UID}, {Key: FinalPrefix + job.UID}}
	ops := []wire.Op{{Put: LivePrefix + job.UID, Value: LiveRecord{Job: *job, Shard: shard, AcceptedMs: atMs, Constraints: constraints}}}
	if constraints != nil {
		key := jobid.Key(constraints.Number, job.Tasks)
		guards = append(guards, wire.Guard{Key: key})
		ops = append(ops, wire.Op{Put: key, Value: jobid.Job{UID: job.UID, First: constraints.Number, Tasks: job.Tasks}})
	}
	return guards, ops
}
