package scheduler_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// scriptedStore is a state service whose responses are set by the test. Other requests go to a
// fake cluster.
type scriptedStore struct {
	*fakeCluster
	get    func(key string) (wire.Item, error)
	txn    func() (uint64, error)
	listed uint64 // revision returned by every listing
}

func (s *scriptedStore) Get(_ context.Context, key string) (wire.Item, error) { return s.get(key) }

func (s *scriptedStore) Txn(context.Context, []wire.Guard, ...wire.Op) (uint64, error) {
	return s.txn()
}

func (s *scriptedStore) BulkTxn(context.Context, []wire.Guard, ...wire.Op) (uint64, error) {
	return s.txn()
}

func (s *scriptedStore) List(ctx context.Context, prefix string) ([]wire.Item, uint64, error) {
	items, _, err := s.fakeCluster.List(ctx, prefix)
	return items, s.listed, err
}

// notFound is a get function that finds no key.
func notFound(string) (wire.Item, error) { return wire.Item{}, statestore.ErrNotFound }

// newScriptedScheduler returns a scheduler that has loaded no shard, and its store.
func newScriptedScheduler(t *testing.T) (*scheduler.Scheduler, *scriptedStore) {
	t.Helper()
	operator, err := config.LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	cluster := newCluster(t, 0, 0)
	store := &scriptedStore{fakeCluster: cluster, get: notFound, txn: func() (uint64, error) { return 0, statestore.ErrUnknown }, listed: 10}
	cluster.items = map[string][]wire.Item{}
	return newScheduler(cluster.platform, operator, store, cluster), store
}

// oneTaskJob is the submission of job j-1, which has one task.
const oneTaskJob = `{"uid":"j-1","docket":"c","crew":"t","sort":"sweep","urgency":"normal","pieces":1,"cpus":1,"cards":0,"memoryGb":1,
	"kit":"i","pullGb":0.1,"builds":null,"yard":null,"together":false,"apart":false,"loaners":true,"reckonS":9,"markS":0,"stashS":0,"dueS":null}`

// acceptedJob returns j-1 and its live record with the given version.
func acceptedJob(t *testing.T, version uint64) (*wire.Job, wire.Item) {
	t.Helper()
	job, err := wire.ParseJob([]byte(oneTaskJob))
	if err != nil {
		t.Fatal(err)
	}
	return job, wire.Item{Key: "live/j-1", Version: version, Value: json.RawMessage(fmt.Sprintf(`{"job":%s,"shard":0,"at":0}`, oneTaskJob))}
}

// newScriptedSchedulerWithJob returns a scheduler that leads the shard of j-1, its store, and
// the job's live record in the store, which the test may change.
func newScriptedSchedulerWithJob(t *testing.T) (*scheduler.Scheduler, *scriptedStore, *wire.Item) {
	t.Helper()
	leader, store := newScriptedScheduler(t)
	if err := leader.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	job, record := acceptedJob(t, 11)
	leader.JobAccepted(job, nil, 0, 0, 11)
	store.get = func(string) (wire.Item, error) { return record, nil }
	return leader, store, &record
}

// cancelledRecord returns the live record of a job with the job cancelled.
func cancelledRecord(record json.RawMessage) json.RawMessage {
	return json.RawMessage(strings.Replace(string(record), `"at":0`, `"at":0,"cancelled":true`, 1))
}
