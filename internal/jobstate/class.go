package jobstate

import (
	"time"
)

const (
	sizesKept = 128 // jobs of a class by which its largest are told
	largestOf = 10  // one in so many jobs of a class counts as one of its largest
)

// Class is what was learnt of a class of jobs.
type Class struct {
	Name          string
	EstimateRatio float64 // real run time to the owner's estimate
	RunTimes      Average
	StartAims     []float64 // aims for its tasks' starts, in seconds
	Sizes         Sizes
}

type CachedImage struct {
	SizeGB float64
	UsedAt time.Time
}

// Sizes are the sizes, in CPUs of all tasks, of a class's last jobs.
type Sizes struct {
	last []float64
	next int
}

// Add notes a job's size and tells whether it is one of the class's largest: of
// several of one size the first is.
func (s *Sizes) Add(size float64) (large bool) {
	above := 0
	for _, x := range s.last {
		if x >= size {
			above++
		}
	}
	large = above*largestOf < len(s.last)+1
	if len(s.last) < sizesKept {
		s.last = append(s.last, size)
	} else {
		s.last[s.next] = size
		s.next = (s.next + 1) % sizesKept
	}
	return large
}
