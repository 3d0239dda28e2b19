// Package jobrecord defines the records and keys under which the state service stores jobs, and
// the store interfaces by which schedulers read and write them.
//
// A job has a live record from its acceptance to its end, and afterwards a permanent final
// record. Changes to its tasks are recorded in the log of its shard, in which one record holds
// changes of many jobs. A chunk of tasks gets its own record only when the slot of a log record
// that names the chunk is reused.
//
// The package holds no state. Package shardlog decides which records are written and when.
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
	AcceptedMs int64    `json:"at"` // time of acceptance in milliseconds since 1970
	Cancelled  bool     `json:"cancelled,omitempty"`

	Constraints *jobspec.Constraints `json:"terms,omitempty"` // nil: the job has none
}

// FinalRecord describes how a job ended.
type FinalRecord struct {
	Stage string `json:"stage"` // as in wire.JobState
	Done  int    `json:"done"`  // tasks that completed

	Ending *jobspec.Ending `json:"end,omitempty"` // nil: the job has no constraints
}

// Facts returns the facts of the ended job from which dependencies on it are evaluated.
func (f FinalRecord) Facts() jobspec.JobFacts {
	done := f.Stage == wire.StageDone
	facts := jobspec.JobFacts{Over: true, OK: done, Started: done}
	if f.Ending != nil {
		facts.StartedMs = f.Ending.StartMs
	}
	return facts
}

// HashShard returns the shard of a job by a hash. The jobs of a team with a limit or a
// guarantee share a shard, so that one leader counts everything that the team uses.
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

// AcceptanceTxn returns the guards and operations of the transaction that accepts a job. If
// constraints is not nil, they are stored in the live record, and the job's number is claimed.
// The transaction fails if the job was accepted before, whether it is live or has ended, or if
// the number belongs to another job. atMs is the time of acceptance in milliseconds since 1970.
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
