package matching_test

import (
	"testing"

	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
)

// The encoding of resources and matrices, which controllers exchange, does not change.
func TestRecorded(t *testing.T) {
	recorded.Check(t, "shape_full", matching.Resources{CPUs: 2.5, GPUs: 1, MemoryGB: 12.25})
	recorded.Check(t, "shape_empty", matching.Resources{})
	recorded.Check(t, "matrix_full", matching.WaitMatrix{
		{WaitS: 0, Free: matching.Resources{CPUs: 1.5, MemoryGB: 3}},
		{WaitS: 20.5, Free: matching.Resources{CPUs: 4, GPUs: 1, MemoryGB: 8.25}},
	})
	recorded.Check(t, "matrix_empty", matching.WaitMatrix{})
	recorded.Check(t, "matrix_none", matching.WaitMatrix(nil))
}
