package jobrecord

import (
	"errors"
	"fmt"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/config"
)

// ChunkSize is the number of tasks in a chunk. It is small enough for a chunk record to fit the
// lowest value size limit of a state service.
const ChunkSize = 96

const (
	valueLimitShare = 0.9 // share of the state service's value size limit that a record may use
	valueSlackBytes = 64  // bytes of that share that remain unused
)

// MaxRecordBytes returns the maximum size of a record in bytes.
func MaxRecordBytes(cfg *config.Platform) int {
	return int(cfg.Params.State.ValueKB*1024*valueLimitShare) - valueSlackBytes
}

// Records encode placements, removed placements and failures as flat lists of numbers, with
// these numbers for each element:
//
//	placement: task, attempt, index into the record's list of workers
//	removed placement: task, attempt
//	failure: task, jobstate.TaskOutcome, exit code
const (
	numbersPerPlacement = 3
	numbersPerRemoval   = 2
	numbersPerFailure   = 3
)

// ChunkRecord is the state of a chunk's tasks as of the shard's log record Seq: which tasks are
// over, and on which workers the others may be.
type ChunkRecord struct {
	Seq         uint64   `json:"seq"`
	DoneBits    []byte   `json:"done"` // one bit for each task; set if the task is over: done, failed or cancelled
	NextAttempt uint64   `json:"next"` // lower attempt numbers may have been used
	Workers     []string `json:"machines,omitempty"`
	Placements  []uint64 `json:"places,omitempty"` // encoded placements
	Failed      []uint64 `json:"failed,omitempty"` // encoded failures
}

// LogRecord is one record of a shard's log.
type LogRecord struct {
	Seq     uint64     `json:"seq"`
	Workers []string   `json:"m,omitempty"`
	Jobs    []JobEntry `json:"j"`
	QuotaMark
}

// JobEntry lists the changes to a job's tasks in a log record.
type JobEntry struct {
	UID        string   `json:"u"`
	Placements []uint64 `json:"p,omitempty"` // added placements, encoded
	Removed    []uint64 `json:"x,omitempty"` // removed placements, encoded
	Done       []uint64 `json:"d,omitempty"` // numbers of the tasks that completed
	Failed     []uint64 `json:"f,omitempty"` // failures, encoded
}

// QuotaMark describes how the writer of a log record uses quota leases. Without it, a new leader
// could not tell that a predecessor without quota leases has started tasks which the quota leases
// recorded before do not cover.
type QuotaMark struct {
	LeasesQuota bool `json:"l,omitempty"` // the writer starts tasks only within leased limits
	// UnleasedVersion is the version of the latest log record whose writer did not lease
	// limits; 0: none. It is repeated in later records until the quota leases account for the
	// tasks of that writer, because its own record may be overwritten.
	UnleasedVersion uint64 `json:"u,omitempty"`
}

// ParseLog decodes a log record. It does not check task numbers, because the record does not
// contain the number of tasks of a job. On an error it also returns the part that could be
// decoded; its Seq is valid if it was decoded, else 0.
func ParseLog(data json.RawMessage) (LogRecord, error) {
	var record LogRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return record, fmt.Errorf("read log record: %w", err)
	}
	for _, entry := range record.Jobs {
		if len(entry.Placements)%numbersPerPlacement != 0 || len(entry.Removed)%numbersPerRemoval != 0 || len(entry.Failed)%numbersPerFailure != 0 {
			return record, errors.New("read log record: malformed entry")
		}
		if !workersInRange(entry.Placements, len(record.Workers)) {
			return record, errors.New("read log record: malformed placement")
		}
	}
	return record, nil
}

// ParseChunk decodes the record of a chunk of a job with the given number of tasks.
func ParseChunk(data json.RawMessage, tasks int) (ChunkRecord, error) {
	var record ChunkRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return record, fmt.Errorf("read chunk record: %w", err)
	}
	if len(record.Placements)%numbersPerPlacement != 0 || len(record.Failed)%numbersPerFailure != 0 || len(record.DoneBits) > (ChunkSize+7)/8 {
		return record, errors.New("read chunk record: malformed")
	}
	if !workersInRange(record.Placements, len(record.Workers)) {
		return record, errors.New("read chunk record: malformed placement")
	}
	for i := 0; i < len(record.Placements); i += numbersPerPlacement {
		if record.Placements[i] >= uint64(tasks) {
			return record, errors.New("read chunk record: malformed placement")
		}
	}
	return record, nil
}

// workersInRange reports whether all placements refer to one of the given number of workers.
func workersInRange(placements []uint64, workers int) bool {
	for i := numbersPerPlacement - 1; i < len(placements); i += numbersPerPlacement {
		if placements[i] >= uint64(workers) {
			return false
		}
	}
	return true
}
