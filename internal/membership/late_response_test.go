package membership_test

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// takeoverStore is a state service in which another controller takes over the shards between a
// claim and its response.
type takeoverStore struct {
	*testkit.View
	takenOver atomic.Bool
}

func (l *takeoverStore) Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error) {
	revision, err := l.View.Txn(ctx, guards, ops...)
	if l.takenOver.Load() || err != nil || !strings.HasPrefix(ops[0].Put, "c/shard/") {
		return revision, err
	}
	l.takenOver.Store(true)
	clean := &testkit.View{Store: l.Store}
	for _, op := range ops {
		record := map[string]any{}
		if err := json.Unmarshal([]byte(l.RawValue(op.Put)), &record); err != nil {
			return 0, err
		}
		for field, value := range record {
			if value == "a" {
				record[field] = "b"
			} else if number, ok := value.(float64); ok {
				record[field] = number + 1
			}
		}
		if _, err := clean.Txn(ctx, nil, wire.Op{Delete: op.Put}); err != nil {
			return 0, err
		}
		if _, err := clean.Txn(ctx, nil, wire.Op{Put: op.Put, Value: record}); err != nil {
			return 0, err
		}
	}
	time.Sleep(time.Second) // until the watch has reported all of these changes
	return revision, nil
}

// Guards against a controller that regards itself as the leader for good because the response
// to its claim arrives after the watch has reported the next leader.
func TestLateResponseToClaimDoesNotHideNewerLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &takeoverStore{View: &testkit.View{Store: testkit.NewStore()}}
		member := membership.New(store, "a", ttl, 4, 1, slog.New(slog.NewTextHandler(io.Discard, nil)))
		ctx, cancel := context.WithCancel(context.Background())
		done := startMember(ctx, member)
		time.Sleep(3 * time.Second)
		if !store.takenOver.Load() {
			t.Error("nothing was claimed")
		}
		if leaders := member.ShardLeaders(); !slices.Equal(leaders, []string{"b"}) || len(member.LedShards()) > 0 {
			t.Errorf("leaders %v, led here %v", leaders, member.LedShards())
		}
		cancel()
		<-done
	})
}
