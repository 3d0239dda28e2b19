package jobid_test

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/wallrack/wallrack/internal/jobid"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// Controllers that lose responses and restart never allocate a number twice. Each number of a job
// finds the job, and a number without a job finds none.
func TestNumbersStayUniqueWhenResponsesAreLost(t *testing.T) {
	ctx := t.Context()
	rnd := rand.New(rand.NewPCG(1, 2))
	store := testkit.NewStore()
	view := &testkit.View{Store: store, LoseResponse: func() bool { return rnd.IntN(4) == 0 }, Hold: func() bool { return rnd.IntN(6) == 0 }}
	clean := &testkit.View{Store: store}
	allocators := []*jobid.Allocator{jobid.New(view), jobid.New(view), jobid.New(view)}
	allocated := map[uint64]bool{}
	var jobs []jobid.Job
	for n := range 400 {
		i := rnd.IntN(len(allocators))
		if rnd.IntN(20) == 0 {
			allocators[i] = jobid.New(view) // the controller restarted
			view.ApplyHeld()
		}
		count, take := 1+rnd.IntN(50), allocators[i].Take
		if n%2 == 0 {
			take = allocators[i].Next
		}
		first, err := take(ctx, count)
		if errors.Is(err, statestore.ErrUnavailable) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		for k := range count {
			if allocated[first+uint64(k)] {
				t.Fatalf("%d was allocated twice", first+uint64(k))
			}
			allocated[first+uint64(k)] = true
		}
		if ok, err := jobid.New(clean).Allocated(ctx, first, count); err != nil || !ok {
			t.Fatalf("allocated number %d is reported as not allocated, %v", first, err)
		}
		if n%3 > 0 { // the other numbers are never used by a job
			job := jobid.Job{UID: "j-" + string(rune('a'+n%26)), First: first, Tasks: count}
			accept(t, clean, job)
			jobs = append(jobs, job)
		}
	}
	allocator := jobid.New(clean)
	checkFound(t, allocator, jobs, allocated)
	if ok, err := allocator.Allocated(ctx, 1<<40, 1); ok || err != nil {
		t.Errorf("a number beyond the counter: allocated %v, %v", ok, err)
	}
}

// accept writes the key of a job, as its acceptance does.
func accept(t *testing.T, store *testkit.View, job jobid.Job) {
	t.Helper()
	key := jobid.Key(job.First, job.Tasks)
	if _, err := store.Txn(t.Context(), []wire.Guard{{Key: key}}, wire.Op{Put: key, Value: job}); err != nil {
		t.Fatal(err)
	}
}

// checkFound fails the test unless Find returns each job for all its numbers, and ErrNotFound for
// the other allocated numbers.
func checkFound(t *testing.T, allocator *jobid.Allocator, jobs []jobid.Job, allocated map[uint64]bool) {
	t.Helper()
	used := map[uint64]bool{}
	for _, job := range jobs {
		for k := range job.Tasks {
			n := job.First + uint64(k)
			used[n] = true
			if got, err := allocator.Find(t.Context(), n); err != nil || got != job {
				t.Fatalf("%d finds %+v, want %+v: %v", n, got, job, err)
			}
		}
	}
	for n := range allocated {
		if _, err := allocator.Find(t.Context(), n); !used[n] && !errors.Is(err, statestore.ErrNotFound) {
			t.Fatalf("number %d without a job: %v", n, err)
		}
	}
}
