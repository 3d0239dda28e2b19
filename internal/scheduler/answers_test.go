package scheduler_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// scriptedStore is a fleet whose state service answers as a test says.
type scriptedStore struct {
	*fleet
	get    func(key string) (wire.Item, error)
	txn    func() (uint64, error)
	listed uint64 // revision of every listing
}

func (s *scriptedStore) Get(_ context.Context, key string) (wire.Item, error) { return s.get(key) }
func (s *scriptedStore) Txn(context.Context, []wire.Guard, ...wire.Op) (uint64, error) {
	return s.txn()
}

func (s *scriptedStore) BulkTxn(context.Context, []wire.Guard, ...wire.Op) (uint64, error) {
	return s.txn()
}

func (s *scriptedStore) List(ctx context.Context, prefix string) ([]wire.Item, uint64, error) {
	items, _, err := s.fleet.List(ctx, prefix)
	return items, s.listed, err
}

func notFound(string) (wire.Item, error) { return wire.Item{}, statestore.ErrNotFound }

// scripted returns an owner that has not loaded anything, with its store.
func scripted(t *testing.T) (*scheduler.Scheduler, *scriptedStore) {
	t.Helper()
	op, err := config.LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	f := newFleet(t, 0, 0)
	s := &scriptedStore{fleet: f, get: notFound, txn: func() (uint64, error) { return 0, statestore.ErrUnknown }, listed: 10}
	f.items = map[string][]wire.Item{}
	return newScheduler(f.cfg, op, s, f), s
}

const oneTask = `{"uid":"j-1","docket":"c","crew":"t","sort":"sweep","urgency":"normal","pieces":1,"cpus":1,"cards":0,"memoryGb":1,
	"kit":"i","pullGb":0.1,"builds":null,"yard":null,"together":false,"apart":false,"loaners":true,"reckonS":9,"markS":0,"stashS":0,"dueS":null}`

func live(t *testing.T, version uint64) (*wire.Job, wire.Item) {
	t.Helper()
	job, err := wire.ParseJob([]byte(oneTask))
	if err != nil {
		t.Fatal(err)
	}
	return job, wire.Item{Key: "live/j-1", Version: version, Value: json.RawMessage(fmt.Sprintf(`{"job":%s,"shard":0,"at":0}`, oneTask))}
}

// scriptedWithJob is an owner of j-1, whose record the store reads as it is at the time.
func scriptedWithJob(t *testing.T) (*scheduler.Scheduler, *scriptedStore, *wire.Item) {
	t.Helper()
	o, s := scripted(t)
	if err := o.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	job, record := live(t, 11)
	o.JobAccepted(job, nil, 0, 0, 11)
	s.get = func(string) (wire.Item, error) { return record, nil }
	return o, s, &record
}

// cancelledRecord is a living job's record once it is cancelled.
func cancelledRecord(record json.RawMessage) json.RawMessage {
	return json.RawMessage(strings.Replace(string(record), `"at":0`, `"at":0,"cancelled":true`, 1))
}

// A watch that lags tells a new owner of an acceptance when the job has ended under its
// predecessor: it is no living job again. One that was accepted after the listing is.
func TestLaggingWatchRevivesNoEndedJob(t *testing.T) {
	for version, alive := range map[uint64]bool{9: false, 10: false, 11: true} {
		o, _ := scripted(t)
		if err := o.Load(t.Context()); err != nil {
			t.Fatal(err)
		}
		job, _ := live(t, version)
		o.JobAccepted(job, nil, 0, 0, version)
		if s, ok := o.LocalState("j-1"); ok != alive {
			t.Errorf("accepted at %d, listed at 10: %+v, %v", version, s, ok)
		}
	}
}

// A cancel whose answer is lost may have been read, and told, by others: its owner, which
// had not heard of the job before, must not call it queued once its watch tells of the
// acceptance.
func TestLostCancelOfAnUnheardJobIsUnsure(t *testing.T) {
	o, s := scripted(t)
	if err := o.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	job, record := live(t, 11)
	s.get = func(string) (wire.Item, error) { return record, nil }
	if st, err := o.Cancel(t.Context(), "j-1"); err == nil {
		t.Fatalf("the cancel is answered %+v without an answer of the state service", st)
	}
	o.JobAccepted(job, nil, 0, 0, 11)
	if st, ok := o.LocalState("j-1"); ok {
		t.Errorf("the owner says %+v after a cancel that may have been applied", st)
	}
}

// A cancel of a job that is accepted between its two reads is not answered "queued".
func TestCancelIsNeverAnsweredQueued(t *testing.T) {
	o, s := scripted(t)
	if err := o.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	_, record := live(t, 11)
	reads := 0
	s.get = func(key string) (wire.Item, error) {
		if reads++; reads > 1 && key == record.Key {
			return record, nil
		}
		return wire.Item{}, statestore.ErrNotFound
	}
	st, err := o.Cancel(t.Context(), "j-1")
	if reads < 2 {
		t.Fatal("the acceptance was not met")
	}
	if !errors.Is(err, statestore.ErrNotFound) {
		t.Errorf("answered %+v, %v", st, err)
	}
}

// A cancel that surely failed leaves the job known as it was; one without an answer does not,
// until the job's record is seen to be another.
func TestOnlyAnOpenCancelMakesTheJobUnsure(t *testing.T) {
	shardTaken := &statestore.Conflict{Keys: []string{"c/shard/000"}}
	for _, c := range []struct {
		name     string
		outcomes []error // of the cancels, one after the other
		renewed  error   // what comes of writing the record anew
		sure     bool    // whether the job is known after the cancels
		settled  bool    // and after that
	}{
		{name: "refused", outcomes: []error{statestore.ErrUnavailable}, sure: true, settled: true},
		{name: "no budget", outcomes: []error{statestore.ErrBusy}, sure: true, settled: true},
		{name: "shard taken", outcomes: []error{shardTaken}, sure: true, settled: true},
		{name: "no answer", outcomes: []error{statestore.ErrUnknown}, settled: true},
		{name: "no answer, then refused", outcomes: []error{statestore.ErrUnknown, statestore.ErrUnavailable}, settled: true},
		{name: "refused, then no answer", outcomes: []error{statestore.ErrUnavailable, statestore.ErrUnknown}, settled: true},
		{name: "no answer, record not renewed", outcomes: []error{statestore.ErrUnknown}, renewed: statestore.ErrUnavailable},
		{name: "no answer, record perhaps renewed", outcomes: []error{statestore.ErrUnknown}, renewed: statestore.ErrUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o, s, _ := scriptedWithJob(t)
				for _, outcome := range c.outcomes {
					s.txn = func() (uint64, error) { return 0, outcome }
					if st, err := o.Cancel(t.Context(), "j-1"); err == nil {
						t.Fatalf("the cancel is answered %+v", st)
					}
				}
				if st, ok := o.LocalState("j-1"); ok != c.sure || ok && st.Stage != wire.StageQueued {
					t.Errorf("after the cancels: %+v, %v", st, ok)
				}
				writes := 0
				s.txn = func() (uint64, error) { writes++; return 12, c.renewed }
				o.ResolveCancels(t.Context())
				if writes > 0 {
					t.Error("written anew before the user could ask again")
				}
				time.Sleep(10 * time.Second)
				o.ResolveCancels(t.Context())
				if st, ok := o.LocalState("j-1"); ok != c.settled || ok && st.Stage != wire.StageQueued {
					t.Errorf("settled: %+v, %v", st, ok)
				}
				o.ResolveCancels(t.Context())
				if again := !c.settled; (writes > 0) == c.sure || (writes > 1) != again {
					t.Errorf("written anew %d times", writes)
				}
			})
		})
	}
}

// A cancel without an answer was applied: that its record is cancelled is found when it
// would be written anew.
func TestAppliedCancelIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, record := scriptedWithJob(t)
		if st, err := s.Cancel(t.Context(), "j-1"); err == nil {
			t.Fatalf("the cancel is answered %+v", st)
		}
		record.Version = 12
		record.Value = cancelledRecord(record.Value)
		time.Sleep(10 * time.Second)
		s.ResolveCancels(t.Context())
		if st, ok := s.LocalState("j-1"); !ok || st.Stage != wire.StageCancelled {
			t.Errorf("%+v, %v", st, ok)
		}
	})
}

// While a cancel is under way that will be refused, another is found to have been applied.
func TestRefusedCancelBesideAnAppliedOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, s, record := scriptedWithJob(t)
		s.txn = func() (uint64, error) {
			time.Sleep(10 * time.Second)
			record.Version = 12
			record.Value = cancelledRecord(record.Value)
			o.ResolveCancels(t.Context())
			if st, ok := o.LocalState("j-1"); !ok || st.Stage != wire.StageCancelled {
				t.Errorf("the applied cancel is not found: %+v, %v", st, ok)
			}
			return 0, statestore.ErrUnavailable
		}
		if st, err := o.Cancel(t.Context(), "j-1"); err == nil {
			t.Errorf("the refused cancel is answered %+v", st)
		}
		if st, ok := o.LocalState("j-1"); !ok || st.Stage != wire.StageCancelled {
			t.Errorf("%+v, %v", st, ok)
		}
	})
}
