package jobrecord

import (
	"errors"
	"fmt"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/config"
)

// ChunkSize is the number of tasks in a chunk: its record fits the smallest value limit.
const ChunkSize = 96

const (
	valueLimitShare = 0.9 // share of the state service's value limit that a record may take
	valueSlackBytes = 64  // bytes that a record must leave of that share
)

// MaxRecordBytes returns how many bytes a record may have.
func MaxRecordBytes(cfg *config.Platform) int {
	return int(cfg.Params.State.ValueKB*1024*valueLimitShare) - valueSlackBytes
}

// Placements and failures stand in records as plain numbers, one after the other:
//
//	placement: task, attempt, index into the record's list of workers
//	removed placement: task, attempt
//	failure: task, jobstate.TaskOutcome, exit code
const (
	numbersPerPlacement = 3
	numbersPerRemoval   = 2
	numbersPerFailure   = 3
)

// ChunkRecord is the state of a chunk's tasks as of the shard's log record Seq: which are over,
// and on which workers the others may be.
type ChunkRecord struct {
	Seq         uint64   `json:"seq"`
	DoneBits    []byte   `json:"done"` // a bit for each task that is over
	NextAttempt uint64   `json:"next"` // attempts below it may have been used
	Workers     []string `json:"machines,omitempty"`
	Placements  []uint64 `json:"places,omitempty"` // placements
	Failed      []uint64 `json:"failed,omitempty"` // failures
}

// LogRecord is one write of a shard's log.
type LogRecord struct {
	Seq     uint64     `json:"seq"`
	Workers []string   `json:"m,omitempty"`
	Jobs    []JobEntry `json:"j"`
	QuotaMark
}

// JobEntry is what a log record states of a job's tasks.
type JobEntry struct {
	UID        string   `json:"u"`
	Placements []uint64 `json:"p,omitempty"` // new placements
	Removed    []uint64 `json:"x,omitempty"` // removed placements
	Done       []uint64 `json:"d,omitempty"` // tasks that completed
	Failed     []uint64 `json:"f,omitempty"` // failures
}

// QuotaMark is what a log record states of its writer. Without it a later leader could not know
// that the quota leases on record are older than tasks started by a leader that used none.
type QuotaMark struct {
	LeasesQuota bool `json:"l,omitempty"` // the writer starts tasks within leased limits only
	// UnleasedVersion is the version of the latest record of a writer that leases no limits,
	// until the quota leases account for its tasks: the log record itself may be overwritten.
	UnleasedVersion uint64 `json:"u,omitempty"`
}

// ParseLog reads a log record. Task numbers are not checked, since the record doesn't state how
// many tasks a job has. On an error the record holds what could be read: its Seq still counts.
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

// ParseChunk reads the own record of a chunk of a job with so many tasks.
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

// workersInRange reports whether the workers of all placements are in a list of that length.
func workersInRange(placements []uint64, workers int) bool {
	for i := numbersPerPlacement - 1; i < len(placements); i += numbersPerPlacement {
		if placements[i] >= uint64(workers) {
			return false
		}
	}
	return true
}
