package slurmtask_test

import (
	"testing"

	"github.com/wallrack/wallrack/internal/slurmtask"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
)

// The JSON form of the context, which is stored with the task spec.
func TestRecordedContext(t *testing.T) {
	recorded.CheckFull(t, "context-full", slurmtask.Context{
		Number: 4100, Tasks: 16, Array: "0-30:2", Name: "tips", User: "erin",
		Output: "%x-%A_%a.out", Error: "%x-%A_%a.err", Step: true, Cluster: "main",
	})
	recorded.Check(t, "context-none", slurmtask.Context{Number: 1, Tasks: 1})
}
