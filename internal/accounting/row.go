// Package accounting defines the accounting rows of ended jobs and of the attempts of their tasks:
// who ran what, where, for how long, with which result and at which cost. The leader of a job's
// shard writes a row in the same transaction as the end of the job or attempt, so that each row
// is stored exactly once even if processes crash. Rows are packed into pages, which are read by
// day.
//
// The package builds and unpacks pages but does no I/O: package shardlog writes the pages to the
// state service, and package slurmapi serves them.
package accounting

import "github.com/wallrack/wallrack/internal/matching"

// Row is an ended job or an ended attempt of a task. Times are in milliseconds since 1970, 0 if
// unknown. A page stores a row as an array of its fields without names, so their order and types
// must never change.
type Row struct {
	_       struct{} `cbor:",toarray"`
	Kind    uint8    // RowJob or RowAttempt
	UID     string   // of the job
	Number  uint64   // job number; 0: the job has none
	Task    uint32   // of an attempt: index of the task
	Attempt uint64   // of an attempt: its number
	State   string   // Slurm's name of the final state
	Exit    int32    // exit code

	// Set for jobs only.
	Submit   int64 // time at which the job was accepted
	Eligible int64 // time from which the job waited only for resources
	Name     string
	User     string
	Team     string
	Class    string
	Priority string
	Tasks    uint32
	Array    string // array indices, in the syntax of jobspec.Ranges
	Done     uint32 // number of completed tasks

	Start int64 // for a job: start of its first task
	End   int64

	Worker string // for an attempt: name of the worker

	CPUs     float32 // per task
	GPUs     float32
	MemoryGB float32

	// Set for attempts only.
	Useful bool    // whether the attempt completed its task
	Price  float32 // price per hour of the share of the machine that the attempt occupies
}

// Kinds of row.
const (
	RowJob     = 1
	RowAttempt = 2
)

// Seconds returns the time from start to end in seconds, 0 if the job or attempt did not start.
func (r *Row) Seconds() float64 {
	if r.Start == 0 {
		return 0
	}
	return max(0, float64(r.End-r.Start)/1000)
}

// Cost returns the cost of an attempt: its run time times the price of its share of the machine.
func (r *Row) Cost() float64 { return r.Seconds() / 3600 * float64(r.Price) }

// MachineShare returns the share of a machine that a task occupies, from 0 to 1. It is the largest
// of the shares of CPUs, GPUs and memory.
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
