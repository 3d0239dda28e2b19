// Package accounting keeps a record of every job and of every attempt of its tasks: who ran
// what, where, how long, how it ended and what it cost. The leader of a job's shard writes a
// row in the transaction that records the end itself, so each row stands exactly once whatever
// crashes. Rows are packed into pages, which are read by day.
//
// The package builds and reads pages. It does no input or output: package shardlog writes the
// pages to the state service, and package slurmapi serves them.
package accounting

import "github.com/wallrack/wallrack/internal/matching"

// Row is a job or an attempt of a task that ended. Times are in milliseconds since 1970, 0 if
// not known. A page holds a row as an array of its fields: their order and types never change.
type Row struct {
	_       struct{} `cbor:",toarray"`
	Kind    uint8    // RowJob or RowAttempt
	UID     string   // of the job
	Number  uint64   // of the job; 0: it has none
	Task    uint32   // of an attempt
	Attempt uint64   // of an attempt
	State   string   // Slurm's name for how it ended
	Exit    int32    // exit code

	// Of a job only.
	Submit   int64 // acceptance
	Eligible int64 // since when it waited for resources only
	Name     string
	User     string
	Team     string
	Class    string
	Priority string
	Tasks    uint32
	Array    string // indices of an array's tasks, as jobspec.Ranges
	Done     uint32 // tasks that completed

	Start int64 // of a job: of its first task
	End   int64

	Worker string // of an attempt: name of the worker

	CPUs     float32 // of one task
	GPUs     float32
	MemoryGB float32

	// Of an attempt only.
	Useful bool    // it completed its task
	Price  float32 // per hour, of its share of the machine
}

// Kinds of row.
const (
	RowJob     = 1
	RowAttempt = 2
)

// Seconds returns the time from start to end; 0 if it did not start.
func (r *Row) Seconds() float64 {
	if r.Start == 0 {
		return 0
	}
	return max(0, float64(r.End-r.Start)/1000)
}

// Cost returns what an attempt's share of its machine cost.
func (r *Row) Cost() float64 { return r.Seconds() / 3600 * float64(r.Price) }

// MachineShare returns the share of a machine that a task takes, from 0 to 1: that of the resource of
// which it takes the largest one.
func MachineShare(task, machine matching.Resources) float64 {
	share := 0.0
	for _, amount := range [...]struct{ part, whole float64 }{
		{task.CPUs, machine.CPUs}, {task.GPUs, machine.GPUs}, {task.MemoryGB, machine.MemoryGB},
	} {
		if amount.whole > 0 {
			share = max(share, amount.part/amount.whole)
		}
	}
	return min(1, share)
}
