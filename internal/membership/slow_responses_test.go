package membership_test

import (
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// slowStore is a state service whose responses are late.
type slowStore struct {
	*testkit.View
	renewalDelay time.Duration
	claimsHang   bool // claims get no response, nor do the reads that follow them
	hangs        atomic.Bool
}

func (s *slowStore) RenewLease(ctx context.Context, lease uint64) error {
	if err := s.View.RenewLease(ctx, lease); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(s.renewalDelay):
		return nil
	}
}

func (s *slowStore) Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error) {
	if s.claimsHang && strings.HasPrefix(ops[0].Put, "c/shard/") {
		s.hangs.Store(true)
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return s.View.Txn(ctx, guards, ops...)
}

func (s *slowStore) Get(ctx context.Context, key string) (wire.Item, error) {
	if s.hangs.Load() && strings.HasPrefix(key, "c/shard/") {
		<-ctx.Done()
		return wire.Item{}, ctx.Err()
	}
	return s.View.Get(ctx, key)
}

func TestLeaseIsNotLostByLateResponses(t *testing.T) {
	for name, store := range map[string]*slowStore{
		"renewals": {renewalDelay: ttl / 2},
		"claims":   {claimsHang: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store.View = &testkit.View{Store: testkit.NewStore()}
				ctx, cancel := context.WithCancel(t.Context())
				member := membership.New(store, "a", ttl, 4, 1, slog.New(slog.DiscardHandler))
				done := startMember(ctx, member)
				time.Sleep(3 * time.Second)
				for end := time.Now().Add(2 * time.Minute); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					if member.LeaseRemaining() <= 0 {
						t.Error("the lease is not certain to hold")
						break
					}
				}
				cancel()
				<-done
			})
		})
	}
}
