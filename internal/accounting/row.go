// Package accounting keeps a record of every job and of every attempt of its
// tasks: who ran what, where, how long, how it ended and what it cost. Rows are
// written by the owner in the transaction that records the end itself, so each
// is there exactly once whatever crashes; they are read by day, in pages.
package accounting

import (
	"encoding/base64"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// Row is a job, or an attempt of a task, that ended. Times are milliseconds since
// 1970, 0 if they are not known.
type Row struct {
	_        struct{} `cbor:",toarray"`
	Kind     uint8    // RowJob or RowAttempt
	UID      string
	Number   uint64 // the job's
	Task     uint32 // of an attempt
	Attempt  uint64
	State    string // Slurm's name for how it ended
	Exit     int32
	Submit   int64 // of a job, as all to Start but Machine
	Eligible int64 // when nothing but room kept it from starting
	Name     string
	User     string
	Team     string
	Class    string
	Priority string
	Tasks    uint32
	Array    string
	Done     uint32
	Start    int64 // of a job: of its first task
	End      int64
	Machine  string // of an attempt, as all below
	CPUs     float32
	GPUs     float32
	MemoryGB float32
	Useful   bool    // the attempt completed its task
	Price    float32 // per hour, of the part of the machine that it took
}

// Kinds of row.
const (
	RowJob     = 1
	RowAttempt = 2
)

// Seconds is how long it ran.
func (r *Row) Seconds() float64 {
	if r.Start == 0 {
		return 0
	}
	return max(0, float64(r.End-r.Start)/1000)
}

// Cost is what an attempt's part of its machine cost.
func (r *Row) Cost() float64 { return r.Seconds() / 3600 * float64(r.Price) }

// Share is the part of a machine that a task takes, by the resource of which it
// takes most.
func Share(cpus, gpus, memory, ofCPUs, ofGPUs, ofMemory float64) float64 {
	part := 0.0
	for _, p := range [][2]float64{{cpus, ofCPUs}, {gpus, ofGPUs}, {memory, ofMemory}} {
		if p[1] > 0 {
			part = max(part, p[0]/p[1])
		}
	}
	return min(1, part)
}

// format leads a page's text; readers refuse what they do not know.
const format = "1:"

// maxRaw bounds what a page may unpack to: pages come from the network.
const maxRaw = 4 << 20

func newEncoder() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(64<<10), zstd.WithLowerEncoderMem(true))
}

// encode appends rows to a page's raw bytes.
func encode(raw []byte, rows []Row) ([]byte, error) {
	for i := range rows {
		data, err := cbor.Marshal(rows[i])
		if err != nil {
			return nil, fmt.Errorf("accounting row: %w", err)
		}
		raw = append(raw, data...)
	}
	return raw, nil
}

// Reader reads pages; goroutines may share one.
type Reader struct{ d *zstd.Decoder }

// NewReader returns a reader; Close gives back what it holds.
func NewReader() (*Reader, error) {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(0), zstd.WithDecoderMaxMemory(maxRaw))
	if err != nil {
		return nil, fmt.Errorf("accounting: %w", err)
	}
	return &Reader{d}, nil
}

// Close ends the reader.
func (rd *Reader) Close() { rd.d.Close() }

// Unpack reads a page's text and hands its rows to each, in order.
func (rd *Reader) Unpack(text string, each func(*Row)) error {
	b64, ok := strings.CutPrefix(text, format)
	if !ok {
		return errors.New("accounting page: unknown format")
	}
	packed, err := base64.StdEncoding.DecodeString(b64)
	if err != nil {
		return fmt.Errorf("accounting page: %w", err)
	}
	raw, err := rd.d.DecodeAll(packed, nil)
	if err != nil {
		return fmt.Errorf("accounting page: %w", err)
	}
	for len(raw) > 0 {
		var r Row
		if raw, err = cbor.UnmarshalFirst(raw, &r); err != nil {
			return fmt.Errorf("accounting page: %w", err)
		}
		each(&r)
	}
	return nil
}

// Day is the key's part for a day, in UTC.
func Day(at time.Time) string { return at.UTC().Format("20060102") }

// Key prefixes the pages in the state service.
const Key = "acct/"

// DayPrefix prefixes the pages of a day, once the day is checked.
func DayPrefix(day string) (string, error) {
	if _, err := time.Parse("20060102", day); err != nil {
		return "", fmt.Errorf("day: %.20q is not YYYYMMDD", day)
	}
	return Key + day + "/", nil
}
