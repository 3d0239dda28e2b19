package jobrecord

import (
	"fmt"
	"hash/fnv"
	"strings"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobid"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/wire"
)

func ValueBytes(cfg *config.Platform) int { return int(cfg.Params.State.ValueKB*1024*0.9) - 64 }

func (f FinalRecord) Facts() jobspec.JobFacts {
	out := jobspec.JobFacts{Over: true, OK: f.Stage == wire.StageDone, Started: f.Stage == wire.StageDone}
	if f.Ending != nil {
		out.StartedMs = f.Ending.StartMs
	}
	return out
}

// QuotaMark is what a log record says of its writer. A later owner could not tell otherwise
// that the rows of lent limits are from before an owner that did not lend started more.
type QuotaMark struct {
	LeasesQuota bool `json:"l,omitempty"` // it starts tasks within lent parts only
	// UnleasedVersion is the version of the latest record of one that does not, while that is
	// not made good in the rows yet: the log record itself may be written over.
	UnleasedVersion uint64 `json:"u,omitempty"`
}

// Keys of the state service. A job is under liveKey from its acceptance to its
// end and under finalKey ever after. What happens to its tasks is recorded in
// the log of its shard: many jobs' changes make one record. A chunk of tasks
// gets a record of its own only when a log record that names it is reused.
const (
	LivePrefix  = "live/"
	FinalPrefix = "final/"
	ChunkPrefix = "task/"
	LogPrefix   = "log/"

	ChunkSize = 96 // tasks in a chunk: its record fits the smallest value limit
)

// LiveRecord is an accepted job that has not ended.
type LiveRecord struct {
	Job       wire.Job `json:"job"`
	Shard     int      `json:"shard"`
	AtMs      int64    `json:"at"` // time of day of the acceptance
	Cancelled bool     `json:"cancelled,omitempty"`

	Terms *jobspec.Constraints `json:"terms,omitempty"`
}

// FinalRecord is how a job ended.
type FinalRecord struct {
	Stage string `json:"stage"`
	Done  int    `json:"done"`

	Ending *jobspec.Ending `json:"end,omitempty"` // of a job with terms
}

// ChunkRecord is the tasks of a chunk: which are done, and on which machines
// the others may be, as of the shard's log record Seq.
type ChunkRecord struct {
	Seq      uint64   `json:"seq"`
	Done     []byte   `json:"done"`
	Next     uint64   `json:"next"` // attempts below it may have been used
	Machines []string `json:"machines,omitempty"`
	Places   []uint64 `json:"places,omitempty"` // triples: task, attempt, index into Machines
	Failed   []uint64 `json:"failed,omitempty"` // triples: task, how, exit code
}

// LogRecord is one write of a shard's log.
type LogRecord struct {
	Seq      uint64     `json:"seq"`
	Machines []string   `json:"m,omitempty"`
	Jobs     []JobEntry `json:"j"`
	QuotaMark
}

// JobEntry is what changed of a job's tasks.
type JobEntry struct {
	UID    string   `json:"u"`
	Places []uint64 `json:"p,omitempty"` // new places, triples as in a chunk's record
	Gone   []uint64 `json:"x,omitempty"` // places that are no more, pairs: task, attempt
	Done   []uint64 `json:"d,omitempty"` // tasks
	Failed []uint64 `json:"f,omitempty"` // triples: task, how, exit code
}

func LogKey(shard, n int) string { return fmt.Sprintf("%s%03d/%05d", LogPrefix, shard, n) }

func ParseLogKey(key string) (shard, n int, err error) {
	if _, err := fmt.Sscanf(strings.TrimPrefix(key, LogPrefix), "%d/%d", &shard, &n); err != nil || n < 0 {
		return 0, 0, fmt.Errorf("not a log key: %.60q", key)
	}
	return shard, n, nil
}

// ParseLog reads a log record. Tasks are checked against their jobs later.
func ParseLog(data json.RawMessage) (LogRecord, error) {
	var r LogRecord
	if err := json.Unmarshal(data, &r); err != nil {
		return r, err
	}
	for _, e := range r.Jobs {
		if len(e.Places)%3 != 0 || len(e.Gone)%2 != 0 || len(e.Failed)%3 != 0 {
			return r, fmt.Errorf("malformed entry of a log record")
		}
		for i := 2; i < len(e.Places); i += 3 {
			if e.Places[i] >= uint64(len(r.Machines)) {
				return r, fmt.Errorf("malformed place in a log record")
			}
		}
	}
	return r, nil
}

func ChunkKey(uid string, n int) string { return fmt.Sprintf("%s%s/%05d", ChunkPrefix, uid, n) }

// HashShard says which shard a job belongs to: jobs of a team with a limit stay
// together, so that one owner counts all that the team uses.
func HashShard(job *wire.Job, teams []config.Team, shards int) int {
	key := job.UID
	for _, t := range teams {
		if t.Name == job.Team && (t.CPUsMax > 0 || t.GPUsMax > 0 || t.CPUs > 0 || t.GPUs > 0) {
			key = t.Name
		}
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(key)) // never fails
	return int(h.Sum32() % uint32(shards))
}

// AcceptanceTxn is the transaction that accepts a job, with its terms if it has any:
// it fails if the job is known, living or ended, or its number belongs to another.
func AcceptanceTxn(job *wire.Job, t *jobspec.Constraints, shard int, atMs int64) ([]wire.Guard, []wire.Op) {
	guards := []wire.Guard{{Key: LivePrefix + job.UID}, {Key: FinalPrefix + job.UID}}
	ops := []wire.Op{{Put: LivePrefix + job.UID, Value: LiveRecord{Job: *job, Shard: shard, AtMs: atMs, Terms: t}}}
	if t != nil {
		key := jobid.Key(t.Number, job.Tasks)
		guards = append(guards, wire.Guard{Key: key})
		ops = append(ops, wire.Op{Put: key, Value: jobid.Job{UID: job.UID, First: t.Number, Tasks: job.Tasks}})
	}
	return guards, ops
}

func ParseChunk(data json.RawMessage, tasks int) (ChunkRecord, error) {
	var r ChunkRecord
	if err := json.Unmarshal(data, &r); err != nil {
		return r, err
	}
	if len(r.Places)%3 != 0 || len(r.Failed)%3 != 0 || len(r.Done) > (ChunkSize+7)/8 {
		return r, fmt.Errorf("malformed chunk record")
	}
	for i := 0; i < len(r.Places); i += 3 {
		if r.Places[i] >= uint64(tasks) || r.Places[i+2] >= uint64(len(r.Machines)) {
			return r, fmt.Errorf("malformed place in a chunk record")
		}
	}
	return r, nil
}
