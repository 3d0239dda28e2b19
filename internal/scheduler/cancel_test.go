package scheduler_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// A cancel whose response was lost may have been applied, and other controllers may have
// reported the job as cancelled. If the leader's watch returns the job's acceptance only after
// that, the leader must not report the job as queued.
func TestLostCancelResponseBeforeWatchLeavesJobStateUnknown(t *testing.T) {
	leader, store := newScriptedScheduler(t)
	if err := leader.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	job, record := acceptedJob(t, 11)
	store.get = func(string) (wire.Item, error) { return record, nil }
	if state, err := leader.Cancel(t.Context(), "j-1"); err == nil {
		t.Fatalf("the cancel is answered with %+v without a response of the state service", state)
	}
	leader.JobAccepted(job, nil, 0, 0, 11)
	if state, ok := leader.LocalState("j-1"); ok {
		t.Errorf("the leader reports %+v after a cancel that may have been applied", state)
	}
}

// The cancel of a job that is accepted between the cancel's two reads is not answered with
// "queued".
func TestCancelRacingAcceptanceIsNotAnsweredQueued(t *testing.T) {
	leader, store := newScriptedScheduler(t)
	if err := leader.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	_, record := acceptedJob(t, 11)
	reads := 0
	store.get = func(key string) (wire.Item, error) {
		if reads++; reads > 1 && key == record.Key {
			return record, nil
		}
		return wire.Item{}, statestore.ErrNotFound
	}
	state, err := leader.Cancel(t.Context(), "j-1")
	if reads < 2 {
		t.Fatal("the job was not accepted between two reads")
	}
	if !errors.Is(err, statestore.ErrNotFound) {
		t.Errorf("the cancel is answered with %+v, %v", state, err)
	}
}

// The state of a job stays known after a cancel that definitely failed. After a cancel without
// a response it is unknown until a newer version of the job's live record is seen.
func TestOnlyCancelWithUnknownOutcomeMakesJobStateUnknown(t *testing.T) {
	shardTaken := &statestore.ConflictError{Keys: []string{"c/shard/000"}}
	for _, c := range []struct {
		name     string
		outcomes []error // of the successive cancels
		renewed  error   // outcome of rewriting the live record
		known    bool    // whether the job's state is known after the cancels
		settled  bool    // whether it is known after the live record is rewritten
	}{
		{name: "refused", outcomes: []error{statestore.ErrUnavailable}, known: true, settled: true},
		{name: "no budget", outcomes: []error{statestore.ErrBusy}, known: true, settled: true},
		{name: "shard taken", outcomes: []error{shardTaken}, known: true, settled: true},
		{name: "no response", outcomes: []error{statestore.ErrUnknown}, settled: true},
		{name: "no response, then refused", outcomes: []error{statestore.ErrUnknown, statestore.ErrUnavailable}, settled: true},
		{name: "refused, then no response", outcomes: []error{statestore.ErrUnavailable, statestore.ErrUnknown}, settled: true},
		{name: "no response, record not renewed", outcomes: []error{statestore.ErrUnknown}, renewed: statestore.ErrUnavailable},
		{name: "no response, record perhaps renewed", outcomes: []error{statestore.ErrUnknown}, renewed: statestore.ErrUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				leader, store, _ := newScriptedSchedulerWithJob(t)
				for _, outcome := range c.outcomes {
					store.txn = func() (uint64, error) { return 0, outcome }
					if state, err := leader.Cancel(t.Context(), "j-1"); err == nil {
						t.Fatalf("the cancel is answered with %+v", state)
					}
				}
				if state, ok := leader.LocalState("j-1"); ok != c.known || ok && state.Stage != wire.StageQueued {
					t.Errorf("state after the cancels: %+v, %v", state, ok)
				}
				writes := 0
				store.txn = func() (uint64, error) { writes++; return 12, c.renewed }
				leader.ResolveCancels(t.Context())
				if writes > 0 {
					t.Error("the live record is rewritten before the user could repeat the cancel")
				}
				time.Sleep(10 * time.Second)
				leader.ResolveCancels(t.Context())
				if state, ok := leader.LocalState("j-1"); ok != c.settled || ok && state.Stage != wire.StageQueued {
					t.Errorf("after rewriting the live record: %+v, %v", state, ok)
				}
				leader.ResolveCancels(t.Context())
				if again := !c.settled; (writes > 0) == c.known || (writes > 1) != again {
					t.Errorf("the live record is rewritten %d times", writes)
				}
			})
		})
	}
}

// A cancel was applied although its response was lost. The leader detects this when it reads
// the live record in order to rewrite it.
func TestAppliedCancelWithLostResponseIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader, _, record := newScriptedSchedulerWithJob(t)
		if state, err := leader.Cancel(t.Context(), "j-1"); err == nil {
			t.Fatalf("the cancel is answered with %+v", state)
		}
		record.Version = 12
		record.Value = cancelledRecord(record.Value)
		time.Sleep(10 * time.Second)
		leader.ResolveCancels(t.Context())
		if state, ok := leader.LocalState("j-1"); !ok || state.Stage != wire.StageCancelled {
			t.Errorf("the job's state is %+v, %v", state, ok)
		}
	})
}

// While a cancel that will be rejected is in flight, the leader detects that another cancel was
// applied.
func TestAppliedCancelIsDetectedWhileAnotherIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader, store, record := newScriptedSchedulerWithJob(t)
		store.txn = func() (uint64, error) {
			time.Sleep(10 * time.Second)
			record.Version = 12
			record.Value = cancelledRecord(record.Value)
			leader.ResolveCancels(t.Context())
			if state, ok := leader.LocalState("j-1"); !ok || state.Stage != wire.StageCancelled {
				t.Errorf("the applied cancel is not detected: %+v, %v", state, ok)
			}
			return 0, statestore.ErrUnavailable
		}
		if state, err := leader.Cancel(t.Context(), "j-1"); err == nil {
			t.Errorf("the rejected cancel is answered with %+v", state)
		}
		if state, ok := leader.LocalState("j-1"); !ok || state.Stage != wire.StageCancelled {
			t.Errorf("the job's state is %+v, %v", state, ok)
		}
	})
}
