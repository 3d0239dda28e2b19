package jobrecord_test

import (
	"context"
	"errors"
	"testing"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

func TestMalformedLogRecordsAreRejected(t *testing.T) {
	for data, valid := range map[string]bool{
		`{"seq":1,"j":[]}`: true,
		`{"seq":1,"m":["n-1"],"j":[{"u":"j-1","p":[0,1,0],"x":[0,1],"f":[2,1,7]}]}`: true,
		`{"seq":1,"m":["n-1"],"j":[{"u":"j-1","p":[0,1]}]}`:                         false, // incomplete element
		`{"seq":1,"m":["n-1"],"j":[{"u":"j-1","p":[0,1,1]}]}`:                       false, // worker index out of range
		`{"seq":1,"j":[{"u":"j-1","x":[0]}]}`:                                       false,
		`{"seq":1,"j":[{"u":"j-1","f":[2,1]}]}`:                                     false,
		`{"seq":"1"}`:                                                               false,
	} {
		if _, err := jobrecord.ParseLog([]byte(data)); (err == nil) != valid {
			t.Errorf("%s: %v", data, err)
		}
	}
	record, err := jobrecord.ParseLog([]byte(`{"seq":41,"j":[{"u":"j-1","x":[0]}]}`))
	if err == nil || record.Seq != 41 {
		t.Errorf("a malformed record has sequence number %d, %v", record.Seq, err)
	}
}

func TestMalformedChunkRecordsAreRejected(t *testing.T) {
	const tasks = 3
	for data, valid := range map[string]bool{
		`{"seq":1,"done":"BQ==","next":2}`:                                 true,
		`{"seq":1,"done":"","next":2,"machines":["n-1"],"places":[2,1,0]}`: true,
		`{"seq":1,"done":"","next":2,"machines":["n-1"],"places":[2,1]}`:   false, // incomplete element
		`{"seq":1,"done":"","next":2,"machines":["n-1"],"places":[3,1,0]}`: false, // task number out of range
		`{"seq":1,"done":"","next":2,"machines":["n-1"],"places":[2,1,1]}`: false, // worker index out of range
		`{"seq":1,"done":"","next":2,"failed":[0]}`:                        false,
		`{"seq":1,"done":"AAAAAAAAAAAAAAAAAA==","next":2}`:                 false, // more bits than a chunk has tasks
		`[]`: false,
	} {
		if _, err := jobrecord.ParseChunk([]byte(data), tasks); (err == nil) != valid {
			t.Errorf("%s: %v", data, err)
		}
	}
}

func TestLogKeysRoundTrip(t *testing.T) {
	for _, slot := range []int{0, 7, 99999, 100000} {
		key := jobrecord.LogKey(12, slot)
		if shard, got, err := jobrecord.ParseLogKey(key); shard != 12 || got != slot || err != nil {
			t.Errorf("%s: shard %d, slot %d, %v", key, shard, got, err)
		}
	}
	for _, key := range []string{"", "log/", "log/1", "log/1/-2", "live/j-1"} {
		if _, _, err := jobrecord.ParseLogKey(key); err == nil {
			t.Errorf("%q is accepted as a log key", key)
		}
	}
}

func TestJobsOfTeamWithLimitOrGuaranteeShareShard(t *testing.T) {
	teams := []config.Team{{Name: "limited", CPUsMax: 10}, {Name: "guaranteed", GPUs: 1}, {Name: "free"}}
	for team, shared := range map[string]bool{"limited": true, "guaranteed": true, "free": false, "unknown": false} {
		shards := map[int]bool{}
		for _, uid := range []string{"j-1", "j-2", "j-3", "j-4", "j-5", "j-6", "j-7", "j-8"} {
			shards[jobrecord.HashShard(&wire.Job{UID: uid, Team: team}, teams, 64)] = true
		}
		if (len(shards) == 1) != shared {
			t.Errorf("jobs of team %s are in %d shards", team, len(shards))
		}
	}
}

// fakeReader is a state service that holds the given values, each with version 5.
type fakeReader map[string]string

func (i fakeReader) Get(_ context.Context, key string) (wire.Item, error) {
	value, ok := i[key]
	if !ok {
		return wire.Item{}, statestore.ErrNotFound
	}
	return wire.Item{Key: key, Value: []byte(value), Version: 5}, nil
}

func TestReadDistinguishesMissingFromUnreadableRecord(t *testing.T) {
	store := fakeReader{"live/j-1": `{"shard":3,"cancelled":true}`, "live/j-2": `{`, "final/j-3": `{"stage":"done","done":2}`}
	if r, version, err := jobrecord.ReadLive(t.Context(), store, "j-1"); r.Shard != 3 || !r.Cancelled || version != 5 || err != nil {
		t.Errorf("the live record is read as %+v, version %d, %v", r, version, err)
	}
	if _, _, err := jobrecord.ReadLive(t.Context(), store, "j-2"); err == nil || errors.Is(err, statestore.ErrNotFound) {
		t.Errorf("reading an undecodable record: %v", err)
	}
	if _, _, err := jobrecord.ReadLive(t.Context(), store, "j-3"); !errors.Is(err, statestore.ErrNotFound) {
		t.Errorf("reading the live record of an ended job: %v", err)
	}
	if r, err := jobrecord.ReadFinal(t.Context(), store, "j-3"); r.Done != 2 || err != nil {
		t.Errorf("the final record is read as %+v, %v", r, err)
	}
	if _, err := jobrecord.ReadFinal(t.Context(), store, "j-1"); !errors.Is(err, statestore.ErrNotFound) {
		t.Errorf("reading the final record of a live job: %v", err)
	}
}
