package testkit_test

import (
	"testing"

	"github.com/wallrack/wallrack/internal/wire"
)

// Reads that happen before the test records a lost response count like reads after it. A lost-response
// case requires that another controller reads the written key before the writer knows of the write. The
// store applies the write and wakes the watches before it reports the loss to the test, so other
// controllers may read the key in between. If these reads were ignored, such a case would fail at random:
// with 50 yields between the write and the report, it fails in 10 of 10 runs.
func TestReadsBeforeLossIsRecordedCount(t *testing.T) {
	w := newCluster(t, 1)
	writer, other := &node{name: "a"}, &node{name: "b"}
	const key, older, version = "c/shard/000", 17, 18
	type read struct {
		by      *node
		version uint64
	}
	for _, c := range []struct {
		name          string
		before, after []read
		want          string
	}{
		{"another controller after the loss", nil, []read{{other, version}}, "b"},
		{"another controller before the loss", []read{{other, version}}, nil, "b"},
		{"an older version before the loss", []read{{other, older}}, nil, ""},
		{"a newer version before the loss", []read{{other, version + 1}}, nil, "b"},
		{"the writer first", []read{{writer, version}, {other, version}}, nil, ""},
		{"the writer before the loss, another controller after it", []read{{writer, version}}, []read{{other, version}}, ""},
		{"no read", nil, nil, ""},
	} {
		l := &responseLoss{w: w, prefix: "c/shard/"}
		l.arm(writer.name, 1)
		for _, r := range c.before {
			l.onRead(r.by, key, r.version)
		}
		if !l.lose(writer, wire.Txn{Then: []wire.Op{{Put: key}}}, version) {
			t.Fatalf("%s: the response is not lost", c.name)
		}
		for _, r := range c.after {
			l.onRead(r.by, key, r.version)
		}
		if got := l.lost[0].firstReader; got != c.want {
			t.Errorf("%s: first read by %q, not %q", c.name, got, c.want)
		}
	}
}
