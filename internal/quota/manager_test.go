package quota_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/quota"
	"github.com/wallrack/wallrack/internal/wire"
)

// slowStore is a state service whose writes and watches end some time after their context.
type slowStore struct {
	jobrecord.Store
	writeStarted chan struct{} // receives a value when a write has started
	ended        atomic.Int32  // writes and watches that have ended
}

func (s *slowStore) endAfterDelay(ctx context.Context) {
	<-ctx.Done()
	time.Sleep(20 * time.Millisecond)
	s.ended.Add(1)
}

func (s *slowStore) Txn(ctx context.Context, _ []wire.Guard, _ ...wire.Op) (uint64, error) {
	jobstate.Notify(s.writeStarted)
	s.endAfterDelay(ctx)
	return 0, ctx.Err()
}

func (s *slowStore) Watch(ctx context.Context, _ string, _ time.Duration, _ func([]wire.Item), _ func([]wire.Event)) {
	s.endAfterDelay(ctx)
}

// leader is the membership of a controller that leads shard 0.
type leader struct{ jobstate.Membership }

func (leader) LeaseRemaining() time.Duration { return time.Hour }
func (leader) ShardKey(int) string           { return "c/shard/000" }

func newManager(spread int, store jobrecord.Store) (*jobstate.State, *quota.Manager) {
	platform := &config.Platform{Params: config.Params{Teams: []config.Team{{Name: "capped", CPUsMax: 8}, {Name: "free"}}}}
	log := slog.New(slog.DiscardHandler)
	state := jobstate.New(platform, &config.Operator{Shards: 1, ShardControllers: spread}, leader{}, nil, log)
	state.Loaded[0] = 1
	manager := quota.New(state, store, log)
	manager.OwnershipChanged()
	return state, manager
}

// Run returns only after its write and its watch have ended: nothing changes the state after
// it.
func TestRunWaitsForItsRequests(t *testing.T) {
	store := &slowStore{writeStarted: make(chan struct{}, 1)}
	_, manager := newManager(2, store)
	ctx, cancel := context.WithCancel(t.Context())
	returned := make(chan struct{})
	go func() { defer close(returned); manager.Run(ctx) }()
	<-store.writeStarted
	cancel()
	<-returned
	if ended := store.ended.Load(); ended != 2 {
		t.Errorf("Run returned when %d of the write and the watch had ended", ended)
	}
}

// With one leader no limit is leased, and nothing is read or written; with several, the limits
// of the teams that have one are leased.
func TestLimitsAreLeasedOnlyToSeveralLeaders(t *testing.T) {
	for _, c := range []struct {
		spread int
		leased bool
	}{{1, false}, {2, true}} {
		state, manager := newManager(c.spread, nil)
		if leased := state.Teams["capped"].Leased != nil; leased != c.leased {
			t.Errorf("spread %d: the limit is leased: %v, want %v", c.spread, leased, c.leased)
		}
		if state.Teams["free"].Leased != nil {
			t.Errorf("spread %d: a team without a limit leases it", c.spread)
		}
		if mark := manager.Mark(0); mark.LeasesQuota != c.leased {
			t.Errorf("spread %d: mark of log records: %+v", c.spread, mark)
		}
		if !c.leased {
			manager.Run(t.Context()) // returns at once, without a store
		}
	}
}
