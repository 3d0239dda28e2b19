package soak

import (
	"fmt"
	"strconv"
	"strings"
)

// maxSeeds is the largest number of seeds of one command.
const maxSeeds = 10_000

// ParseSeeds parses a list of seeds and ranges, such as "7" or "1-50,60".
func ParseSeeds(text string) ([]uint64, error) {
	var seeds []uint64
	for part := range strings.SplitSeq(text, ",") {
		first, last, isRange := strings.Cut(part, "-")
		if !isRange {
			last = first
		}
		from, err := strconv.ParseUint(first, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%q is not a seed or a range of seeds, such as 7 or 1-50", part)
		}
		to, err := strconv.ParseUint(last, 10, 64)
		if err != nil || to < from {
			return nil, fmt.Errorf("%q is not a range of seeds, such as 1-50", part)
		}
		if to-from >= maxSeeds || uint64(len(seeds))+to-from >= maxSeeds {
			return nil, fmt.Errorf("%q: more than %d seeds", part, maxSeeds)
		}
		for seed := from; seed <= to; seed++ {
			seeds = append(seeds, seed)
		}
	}
	return seeds, nil
}
