package reachability

import (
	"math"

	"github.com/bits-and-blooms/bloom/v3"
)

// NameSet is a set of names, stored as a Bloom filter: Has may return true for a name that was not
// added, but never returns false for one that was.
type NameSet struct {
	bloom.BloomFilter
}

const (
	bitsPerName = 15 // false positive rate of about one in a thousand
	minBits     = 64
	maxHashes   = 10
)

// NewNameSet returns the set of names, in at most maxBytes bytes but at least 8. If that is less
// than bitsPerName requires, the false positive rate is higher.
func NewNameSet(names []string, maxBytes int) *NameSet {
	bits := max(minBits, min(bitsPerName*len(names), 8*maxBytes))
	hashes := max(1, int(math.Round(float64(bits)/float64(max(1, len(names)))*math.Ln2)))
	set := &NameSet{*bloom.New(uint(bits), uint(min(hashes, maxHashes)))}
	for _, name := range names {
		set.AddString(name)
	}
	return set
}

// Has reports whether the name may be in the set. A nil set is empty.
func (s *NameSet) Has(name string) bool { return s != nil && s.TestString(name) }
