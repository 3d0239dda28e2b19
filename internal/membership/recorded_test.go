package membership

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
)

// Controllers of different versions share the records, so their form must not change.
func TestRecordedForms(t *testing.T) {
	recorded.Check(t, "node", nodeRecord{Lease: 7, Token: 12, JoinedMs: 1700000000123, ShortIncarnations: 2})
	recorded.Check(t, "node_least", nodeRecord{Lease: 7, Token: 12})
	recorded.Check(t, "shard", shardRecord{Node: "a", Token: 12, Lease: 7})
	recorded.Check(t, "shard_least", shardRecord{})
	recorded.Check(t, "term", tokenRecord{Highest: 8200, HighestUnreserved: 12, LowestReserved: 4109, HighestFirstReserve: 8199})
	recorded.Check(t, "term_least", tokenRecord{Highest: 12})
	recorded.Check(t, "moves", transfersRecord{At: []int64{1700000000123, 1700000060456}})
	recorded.Check(t, "moves_least", transfersRecord{})
}

func TestRecordedKeys(t *testing.T) {
	for got, want := range map[string]string{
		keyPrefix: "c/", tokenKey: "c/term", nodePrefix: "c/node/", shardPrefix: "c/shard/", linkPrefix: "c/link/", transfersKey: "c/moves",
		shardKey(0): "c/shard/000", shardKey(17): "c/shard/017", shardKey(1234): "c/shard/1234", (*Member)(nil).ShardKey(5): "c/shard/005",
	} {
		if got != want {
			t.Errorf("key %q, want %q", got, want)
		}
	}
	if shard, ok := shardOfKey("c/shard/017"); shard != 17 || !ok {
		t.Errorf("c/shard/017 is read as %d, %v", shard, ok)
	}
}

// The records that controllers write when they join, claim shards, reserve tokens, announce
// links and transfer shards.
func TestRecordedByControllers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := testkit.NewStore()
		start := func(name string) (*Member, <-chan error) {
			member := New(&testkit.View{Store: store}, name, 7*time.Second, 2, 1, slog.New(slog.NewTextHandler(io.Discard, nil)))
			ended := make(chan error, 1)
			go func() { ended <- member.Run(ctx) }()
			time.Sleep(time.Second)
			return member, ended
		}
		a, aEnded := start("a")
		_, bEnded := start("b")
		if err := a.AnnounceLinks(ctx, map[string]int{"out": 3}); err != nil {
			t.Error(err)
		}
		want := map[string]string{
			"c/link/a":    `{"out":3}`,
			"c/node/a":    `{"lease":1,"term":1,"joined":946684800000}`,
			"c/node/b":    `{"lease":2,"term":2,"joined":946684801000}`,
			"c/shard/000": `{"node":"a","term":1,"lease":1}`,
			"c/shard/001": `{"node":"a","term":1,"lease":1}`,
			"c/term":      `{"n":4098,"low":2,"floor":4098,"first":4098}`,
		}
		checkStored(t, store, want)
		if err := a.TransferShards(ctx, "b"); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
		want["c/moves"] = `{"at":[946684802000]}`
		want["c/shard/000"] = `{"node":"b","term":2,"lease":2}`
		want["c/shard/001"] = `{"node":"b","term":2,"lease":2}`
		want["c/term"] = `{"n":4099,"low":2,"floor":4098,"first":4099}`
		checkStored(t, store, want)
		cancel()
		for name, ended := range map[string]<-chan error{"a": aEnded, "b": bEnded} {
			if err := <-ended; !errors.Is(err, context.Canceled) {
				t.Errorf("%s ended with %v", name, err)
			}
		}
	})
}

// checkStored compares all stored records with want, by key.
func checkStored(t *testing.T, store *testkit.Store, want map[string]string) {
	t.Helper()
	got := map[string]string{}
	for _, key := range store.Keys("") {
		got[key] = store.RawValue(key)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("stored %q, want %q", got, want)
	}
}
