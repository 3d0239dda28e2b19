package jobspec

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// maxIndex is the largest index of an array's task, and maxSpans how many ranges
// may stand in one text.
const (
	maxIndex = 4_000_000
	maxSpans = 512
)

// span is first to last, both included, by step.
type span struct{ first, last, step int }

func (s span) len() int { return (s.last-s.first)/s.step + 1 }

// Ranges is a set of numbers in order, as Slurm writes it: "0-15:2,20".
type Ranges struct{ spans []span }

// ParseRanges reads "0-15:2,20". Numbers may stand in any order; none twice.
func ParseRanges(text string) (Ranges, error) {
	var r Ranges
	for _, part := range strings.Split(text, ",") {
		if len(r.spans) == maxSpans {
			return Ranges{}, fmt.Errorf("more than %d ranges", maxSpans)
		}
		bounds, step, stepped := strings.Cut(part, ":")
		from, to, ranged := strings.Cut(bounds, "-")
		s := span{step: 1}
		var err error
		if s.first, err = index(from); err != nil {
			return Ranges{}, err
		}
		s.last = s.first
		if ranged {
			if s.last, err = index(to); err != nil {
				return Ranges{}, err
			}
		}
		if stepped {
			if s.step, err = index(step); err != nil || s.step == 0 || !ranged {
				return Ranges{}, fmt.Errorf("%.40q: not a step", part)
			}
		}
		if s.last < s.first {
			return Ranges{}, fmt.Errorf("%.40q: ends before it begins", part)
		}
		s.last = s.first + (s.len()-1)*s.step
		r.spans = append(r.spans, s)
	}
	slices.SortFunc(r.spans, func(a, b span) int { return a.first - b.first })
	return r, r.check()
}

func index(s string) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil || n < 0 || n > maxIndex || s[0] == '+' {
		return 0, fmt.Errorf("%.40q: not a number from 0 to %d", s, maxIndex)
	}
	return n, nil
}

// check finds numbers that stand twice. Spans may lie within one another's gaps.
func (r Ranges) check() error {
	total := r.Len()
	if total > maxIndex {
		return errors.New("too many numbers")
	}
	end, nested := -1, false
	for _, s := range r.spans {
		nested = nested || s.first <= end
		end = max(end, s.last)
	}
	if !nested {
		return nil
	}
	seen := make(map[int]struct{}, total)
	for n := range r.All() {
		if _, twice := seen[n]; twice {
			return fmt.Errorf("%d stands twice", n)
		}
		seen[n] = struct{}{}
	}
	return nil
}

// Len is how many numbers there are.
func (r Ranges) Len() int {
	n := 0
	for _, s := range r.spans {
		n += s.len()
	}
	return n
}

// All lists the numbers, span by span: the order of an array's tasks.
func (r Ranges) All() func(yield func(int) bool) {
	return func(yield func(int) bool) {
		for _, s := range r.spans {
			for n := s.first; n <= s.last; n += s.step {
				if !yield(n) {
					return
				}
			}
		}
	}
}

// At is the k-th number of All, or -1.
func (r Ranges) At(k int) int {
	for _, s := range r.spans {
		if k < s.len() {
			return s.first + k*s.step
		}
		k -= s.len()
	}
	return -1
}

// Find is the place of a number in All, or -1.
func (r Ranges) Find(n int) int {
	before := 0
	for _, s := range r.spans {
		if n >= s.first && n <= s.last && (n-s.first)%s.step == 0 {
			return before + (n-s.first)/s.step
		}
		before += s.len()
	}
	return -1
}

// Bounds returns the least and the largest number; 0 and 0 if there is none.
func (r Ranges) Bounds() (least, most int) {
	for i, s := range r.spans {
		if i == 0 {
			least = s.first
		}
		least, most = min(least, s.first), max(most, s.last)
	}
	return least, most
}

// Step is the step of the first range, as SLURM_ARRAY_TASK_STEP has it.
func (r Ranges) Step() int {
	if len(r.spans) == 0 {
		return 1
	}
	return r.spans[0].step
}

// Cut keeps as many ranges as ParseRanges takes, and returns the first number
// that was left out, or 0.
func (r *Ranges) Cut() int {
	if len(r.spans) <= maxSpans {
		return 0
	}
	first := r.spans[maxSpans].first
	r.spans = r.spans[:maxSpans]
	return first
}

// String writes the ranges so that ParseRanges reads them.
func (r Ranges) String() string {
	var b strings.Builder
	for i, s := range r.spans {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.Itoa(s.first))
		if s.last > s.first {
			b.WriteByte('-')
			b.WriteString(strconv.Itoa(s.last))
			if s.step > 1 {
				b.WriteByte(':')
				b.WriteString(strconv.Itoa(s.step))
			}
		}
	}
	return b.String()
}

// RangesOf makes ranges of numbers, which it sorts; doubles count once.
func RangesOf(ns []int) Ranges {
	slices.Sort(ns)
	ns = slices.Compact(ns)
	var r Ranges
	for _, n := range ns {
		if k := len(r.spans) - 1; k >= 0 && r.spans[k].last == n-1 {
			r.spans[k].last = n
			continue
		}
		r.spans = append(r.spans, span{n, n, 1})
	}
	return r
}
