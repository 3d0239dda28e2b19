package quotalease_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/quotalease"
)

// Records of unknown shards, without versions, and with impossible amounts are refused.
func TestParseRefusesInvalidRecords(t *testing.T) {
	for _, c := range []struct{ data, want string }{
		{`{"rows":[{"shard":3,"term":7}]}`, "unknown shard 3"},
		{`{"rows":[{"shard":-1,"term":7}]}`, "unknown shard -1"},
		{`{"rows":[{"shard":1,"term":7},{"shard":1,"term":8}]}`, "given twice"},
		{`{"rows":[{"shard":1}]}`, "has no term"},
		{`{"rows":[{"shard":1,"term":7,"teams":{"a":[-1]}}]}`, "out of bounds"},
		{`{"rows":[{"shard":1,"term":7,"teams":{"a":[1,2,3,4,5,6,7]}}]}`, "7 numbers"},
		{`{"rows":7}`, ""},
	} {
		if _, err := quotalease.Parse([]byte(c.data), shards); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want an error with %q", c.data, err, c.want)
		}
	}
}

// FuzzParse parses arbitrary data, and checks that a parsed record can be parsed again after
// it is encoded.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"rows":[{"shard":1,"term":7,"teams":{"a":[8000,0,9000,0,1000],"b":[0,1]}},{"shard":2,"term":2}]}`))
	f.Add([]byte(`{"rows":[{"shard":1,"term":7,"teams":{"a":null}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := quotalease.Parse(data, shards)
		if err != nil {
			return
		}
		again, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := quotalease.Parse(again, shards); err != nil {
			t.Fatalf("%v: %s, of %s", err, again, data)
		}
	})
}

// Settings whose parts fit the records are accepted, and those whose parts may not fit are
// refused.
func TestMorePartsThanFitRecordsAreRefused(t *testing.T) {
	many := map[string]quotalease.Amount{}
	for i := range 410 {
		many[fmt.Sprintf("team-%03d", i)] = quotalease.LimitOf(640, 16)
	}
	if err := quotalease.CheckSize(many, 6, 14745); err != nil {
		t.Error(err)
	}
	if err := quotalease.CheckSize(many, 64, 14745); err == nil || !strings.Contains(err.Error(), "64 shards") {
		t.Errorf("64 shards: %v", err)
	}
}
