package accounting_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/accounting"
)

// makeRows returns n rows: every tenth one of a job, the others of attempts.
func makeRows(n int, rnd *rand.Rand) []accounting.Row {
	out := make([]accounting.Row, n)
	for i := range out {
		start := int64(1_700_000_000_000 + i*37)
		out[i] = accounting.Row{
			Kind: accounting.RowAttempt, UID: fmt.Sprintf("j-%06d", i/10), Number: uint64(i / 10 * 100),
			Task: uint32(i % 10), Attempt: 1 + uint64(rnd.IntN(3)), State: "COMPLETED",
			Start: start, End: start + int64(rnd.IntN(90_000)), Worker: fmt.Sprintf("n-%06d", rnd.IntN(1300)),
			CPUs: 2, MemoryGB: 4, Useful: true, Price: 0.37,
		}
		if i%10 == 9 {
			out[i] = accounting.Row{
				Kind: accounting.RowJob, UID: out[i].UID, Number: out[i].Number, State: "COMPLETED",
				Submit: start - 5000, Eligible: start - 5000, Team: "payouts", Class: "tip-split", Priority: "production",
				Tasks: 9, Done: 9, Start: start, End: start + 90_000, CPUs: 2, MemoryGB: 4,
			}
		}
	}
	return out
}

// writePages writes all rows in batches, starting before midnight and ending after it. A fifth of
// the writes, chosen at random, fails and is repeated. It returns the pages by key, and the keys
// in the order of their first writes.
func writePages(t *testing.T, rnd *rand.Rand, all []accounting.Row, maxBytes int) (pages map[string]string, keys []string) {
	t.Helper()
	builder := accounting.NewPageBuilder(9, maxBytes)
	pages = map[string]string{}
	now := time.Date(2026, 11, 30, 23, 59, 0, 0, time.UTC)
	for from := 0; from < len(all); {
		to, capacity := from, builder.Capacity()
		for to < len(all) && to < from+1+rnd.IntN(60) && capacity >= all[to].MaxEncodedBytes() {
			capacity -= all[to].MaxEncodedBytes()
			to++
		}
		write, err := builder.Add(all[from:to], now)
		if err != nil {
			t.Fatal(err)
		}
		if len(write.Value)+2 > maxBytes {
			t.Fatalf("a page of %d bytes", len(write.Value))
		}
		if rnd.IntN(5) == 0 {
			continue // the write failed; the same rows are added again
		}
		if _, exists := pages[write.Key]; exists != (write.Version > 0) {
			t.Fatalf("%s exists: %v, but it is written over version %d", write.Key, exists, write.Version)
		}
		if write.Version == 0 {
			keys = append(keys, write.Key)
		}
		pages[write.Key] = write.Value
		builder.Applied(write, uint64(from+1))
		from = to
		now = now.Add(3 * time.Second)
	}
	return pages, keys
}

func TestRowsAreStoredOnceAndInOrderDespiteFailedWrites(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 4))
	all := makeRows(3000, rnd)
	pages, keys := writePages(t, rnd, all, 7<<10)
	reader, err := accounting.NewReader()
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	n, days, bytes := 0, map[string]bool{}, 0
	for _, key := range keys {
		days[key[:len("acct/20261130")]] = true
		bytes += len(pages[key])
		if err := reader.Unpack(pages[key], func(r *accounting.Row) {
			if n >= len(all) || *r != all[n] {
				t.Fatalf("row %d is %+v", n, *r)
			}
			n++
		}); err != nil {
			t.Fatal(err)
		}
	}
	if n != len(all) || len(days) != 2 {
		t.Errorf("%d of %d rows on %d days", n, len(all), len(days))
	}
	t.Logf("%.1f bytes a row in %d pages", float64(bytes)/float64(n), len(keys))
}

// Pages come from the network: malformed ones must neither crash the reader nor exhaust memory.
func FuzzUnpack(f *testing.F) {
	builder := accounting.NewPageBuilder(1, 7<<10)
	write, err := builder.Add(makeRows(30, rand.New(rand.NewPCG(1, 1))), time.Unix(0, 0))
	if err != nil {
		f.Fatal(err)
	}
	for _, s := range []string{write.Value, write.Value[:len(write.Value)/2], "1:", "2:AAAA", "1:%%", ""} {
		f.Add(s)
	}
	reader, err := accounting.NewReader()
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, text string) {
		n := 0
		if err := reader.Unpack(text, func(*accounting.Row) { n++ }); err == nil && text == write.Value && n != 30 {
			t.Errorf("%d rows", n)
		}
	})
}

// BenchmarkUnpack unpacks pages with a million rows, as a client does.
func BenchmarkUnpack(b *testing.B) {
	builder := accounting.NewPageBuilder(1, 14<<10)
	all := makeRows(1_000_000, rand.New(rand.NewPCG(1, 2)))
	pages := map[string]string{}
	for from := 0; from < len(all); from += 60 {
		write, err := builder.Add(all[from:min(from+60, len(all))], time.Unix(0, 0))
		if err != nil {
			b.Fatal(err)
		}
		pages[write.Key] = write.Value
		builder.Applied(write, uint64(from+1))
	}
	bytes := 0
	for _, page := range pages {
		bytes += len(page)
	}
	reader, err := accounting.NewReader()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		n := 0
		for _, page := range pages {
			if err := reader.Unpack(page, func(*accounting.Row) { n++ }); err != nil {
				b.Fatal(err)
			}
		}
		if n != len(all) {
			b.Fatal(n)
		}
	}
	b.ReportMetric(float64(bytes)/float64(len(all)), "bytes/row")
	b.ReportMetric(float64(len(pages)), "pages")
}
