package jobid_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/wallrack/wallrack/internal/jobid"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// Controllers that lose answers, and start anew, never give a number twice; every
// number of a job finds it, and one that no job has finds none.
func TestNumbersStayUniqueWhenAnswersAreLost(t *testing.T) {
	ctx := t.Context()
	rnd := rand.New(rand.NewPCG(1, 2))
	store := testkit.NewStore()
	view := &testkit.View{Store: store, Lose: func() bool { return rnd.IntN(4) == 0 }, Late: func() bool { return rnd.IntN(6) == 0 }}
	clean := &testkit.View{Store: store}
	allocators := []*jobid.Allocator{jobid.New(view), jobid.New(view), jobid.New(view)}
	given := map[uint64]bool{}
	var jobs []jobid.Job
	for n := range 400 {
		b := rnd.IntN(len(allocators))
		if rnd.IntN(20) == 0 {
			allocators[b] = jobid.New(view) // it crashed
			view.Deliver()
		}
		count, take := 1+rnd.IntN(50), allocators[b].Take
		if n%2 == 0 {
			take = allocators[b].Next
		}
		first, err := take(ctx, count)
		if errors.Is(err, statestore.ErrUnavailable) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		for k := range count {
			if given[first+uint64(k)] {
				t.Fatalf("%d was given twice", first+uint64(k))
			}
			given[first+uint64(k)] = true
		}
		if ok, err := jobid.New(clean).Given(ctx, first, count); err != nil || !ok {
			t.Fatalf("%d is said to be nobody's, %v", first, err)
		}
		if n%3 > 0 { // the others' jobs never came
			j := jobid.Job{UID: "j-" + string(rune('a'+n%26)), First: first, Tasks: count}
			key := jobid.Key(first, count)
			if _, err := clean.Txn(ctx, []wire.Guard{{Key: key}}, wire.Op{Put: key, Value: j}); err != nil {
				t.Fatal(err)
			}
			jobs = append(jobs, j)
		}
	}
	allocator := jobid.New(clean)
	owned := map[uint64]bool{}
	for _, j := range jobs {
		for k := range j.Tasks {
			n := j.First + uint64(k)
			owned[n] = true
			if got, err := allocator.Find(ctx, n); err != nil || got != j {
				t.Fatalf("%d finds %+v, not %+v: %v", n, got, j, err)
			}
		}
	}
	for n := range given {
		if _, err := allocator.Find(ctx, n); !owned[n] && !errors.Is(err, statestore.ErrNotFound) {
			t.Fatalf("%d, which no job has: %v", n, err)
		}
	}
	if ok, err := allocator.Given(context.Background(), 1<<40, 1); ok || err != nil {
		t.Errorf("a number from beyond the counter: %v, %v", ok, err)
	}
}
