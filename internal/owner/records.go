package owner

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"sort"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/wire"
)

// Keys of the state service. A job is under liveKey from its acceptance to its
// end and under finalKey ever after; its tasks are recorded in chunks.
const (
	liveKey  = "live/"
	finalKey = "final/"
	taskKey  = "task/"

	chunkSize = 128 // tasks in a chunk: its record fits the smallest value limit
)

// liveRecord is an accepted job that has not ended.
type liveRecord struct {
	Job       wire.Job `json:"job"`
	Shard     int      `json:"shard"`
	AtMs      int64    `json:"at"` // time of day of the acceptance
	Cancelled bool     `json:"cancelled,omitempty"`
}

// finalRecord is how a job ended.
type finalRecord struct {
	Stage string `json:"stage"`
	Done  int    `json:"done"`
}

// chunkRecord is the tasks of a chunk: which are done, and on which machines
// the others may be.
type chunkRecord struct {
	Done     []byte   `json:"done"`
	Next     uint64   `json:"next"` // attempts below it may have been used
	Machines []string `json:"machines,omitempty"`
	Places   []uint64 `json:"places,omitempty"` // triples: task, attempt, index into Machines
}

func chunkKey(uid string, n int) string { return fmt.Sprintf("%s%s/%05d", taskKey, uid, n) }

// ShardOf says which shard a job belongs to: jobs of a team with a limit stay
// together, so that one owner counts all that the team uses.
func ShardOf(job *wire.Job, teams []config.Team, shards int) int {
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

// AcceptTxn is the transaction that accepts a job: it fails if the job is
// known, living or ended.
func AcceptTxn(job *wire.Job, shard int, atMs int64) ([]wire.Guard, wire.Op) {
	return []wire.Guard{{Key: liveKey + job.UID}, {Key: finalKey + job.UID}},
		wire.Op{Put: liveKey + job.UID, Value: liveRecord{Job: *job, Shard: shard, AtMs: atMs}}
}

// Reader reads keys.
type Reader interface {
	Get(ctx context.Context, key string) (wire.Item, error)
}

func (c *chunk) record() chunkRecord {
	r := chunkRecord{Done: c.done, Next: c.next}
	index := map[string]int{}
	places := append([]*place(nil), c.places...)
	sort.Slice(places, func(i, j int) bool { return places[i].attempt < places[j].attempt })
	for _, p := range places {
		i, ok := index[p.mach.name]
		if !ok {
			i = len(r.Machines)
			index[p.mach.name] = i
			r.Machines = append(r.Machines, p.mach.name)
		}
		r.Places = append(r.Places, uint64(p.task), p.attempt, uint64(i))
	}
	return r
}

func parseChunk(data json.RawMessage, tasks int) (chunkRecord, error) {
	var r chunkRecord
	if err := json.Unmarshal(data, &r); err != nil {
		return r, err
	}
	if len(r.Places)%3 != 0 || len(r.Done) > (chunkSize+7)/8 {
		return r, fmt.Errorf("malformed chunk record")
	}
	for i := 0; i < len(r.Places); i += 3 {
		if r.Places[i] >= uint64(tasks) || r.Places[i+2] >= uint64(len(r.Machines)) {
			return r, fmt.Errorf("malformed place in a chunk record")
		}
	}
	return r, nil
}
