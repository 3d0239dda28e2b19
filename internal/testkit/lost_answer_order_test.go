package testkit_test

import (
	"testing"

	"github.com/wallrack/wallrack/internal/wire"
)

// A case that loses the answer of a write asserts that another controller reads what was written
// before its writer knows of it. Now and then a run failed with "1 answers of writes of c/shard/
// were lost, and 0 read by others in the meantime". The product was right: two controllers had
// read the key. The write is applied, and wakes the watches, before the case is told of it; a
// goroutine that is held up in between tells of it after the reads, which were not looked at
// then. Traces show "c reads c/shard/000 version 18; 0 lost so far". With 50 yields between the
// two, 10 of 10 runs failed.

// Reads that come before the case is told of a lost answer count like those after it.
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
		{"another after it", nil, []read{{other, version}}, "b"},
		{"another before it", []read{{other, version}}, nil, "b"},
		{"an older version before it", []read{{other, older}}, nil, ""},
		{"a newer version before it", []read{{other, version + 1}}, nil, "b"},
		{"its writer first", []read{{writer, version}, {other, version}}, nil, ""},
		{"its writer before it, another after it", []read{{writer, version}}, []read{{other, version}}, ""},
		{"nobody", nil, nil, ""},
	} {
		l := &responseLoss{w: w, prefix: "c/shard/"}
		l.arm(writer.name, 1)
		for _, r := range c.before {
			l.onRead(r.by, key, r.version)
		}
		if !l.lose(writer, wire.Txn{Then: []wire.Op{{Put: key}}}, version) {
			t.Fatalf("%s: the answer is not lost", c.name)
		}
		for _, r := range c.after {
			l.onRead(r.by, key, r.version)
		}
		if got := l.lost[0].firstReader; got != c.want {
			t.Errorf("%s: read first by %q, not %q", c.name, got, c.want)
		}
	}
}
