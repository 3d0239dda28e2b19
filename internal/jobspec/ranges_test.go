package jobspec_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/jobspec"
)

// Parsing the text of a set yields the same set, and At and IndexOf are inverse to each other.
func TestRangesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		numbers := rapid.SliceOfNDistinct(rapid.IntRange(0, 900), 1, 60, rapid.ID[int]).Draw(t, "numbers")
		written := jobspec.RangesOf(slices.Clone(numbers)).String()
		read, err := jobspec.ParseRanges(written)
		if err != nil {
			t.Fatalf("%s: %v", written, err)
		}
		slices.Sort(numbers)
		if got := slices.Collect(read.All()); !slices.Equal(got, numbers) || read.Len() != len(numbers) {
			t.Fatalf("%s is parsed as %v, want %v", written, got, numbers)
		}
		for k, n := range numbers {
			if read.At(k) != n || read.IndexOf(n) != k {
				t.Fatalf("%s: At(%d) is %d, IndexOf(%d) is %d", read.String(), k, read.At(k), n, read.IndexOf(n))
			}
		}
		if lowest, highest := read.Bounds(); lowest != numbers[0] || highest != numbers[len(numbers)-1] {
			t.Fatalf("bounds %d, %d of %v", lowest, highest, numbers)
		}
	})
}

// The ranges of an array may be interleaved, but no index may occur twice.
func TestParseRangesAcceptsSlurmSyntaxOnly(t *testing.T) {
	const invalid = -1
	for text, numbers := range map[string]int{
		"0-15:2,20": 9, "7": 1, "1-10:3": 4, "0-8:2,1-9:2": 10, "5,3": 2,
		"": invalid, "1-": invalid, "3-1": invalid, "1:2": invalid, "1-5:0": invalid, "0-4,2": invalid,
		"0-8:2,4": invalid, "-1": invalid, "+1": invalid, "1-9999999": invalid, "a": invalid,
	} {
		r, err := jobspec.ParseRanges(text)
		if numbers == invalid && err == nil || numbers != invalid && (err != nil || r.Len() != numbers) {
			t.Errorf("%q is parsed as %d numbers, %v", text, r.Len(), err)
		}
	}
}

func FuzzParseRanges(f *testing.F) {
	for _, s := range []string{"0-15:2,20", "1", "0-4000000", "1-5:2,2-6:2", "9-1", ",", "0--1"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		r, err := jobspec.ParseRanges(text)
		if err != nil {
			return
		}
		again, err := jobspec.ParseRanges(r.String())
		if err != nil || again.Len() != r.Len() {
			t.Fatalf("%q is formatted as %q: %v", text, r.String(), err)
		}
	})
}
