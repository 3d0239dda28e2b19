package jobspec

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

const (
	maxIndex = 4_000_000 // largest index of an array's task, and maximum number of tasks
	maxSpans = 512       // maximum number of ranges in one text
)

// span is an arithmetic sequence of numbers: from first to last, both included, in steps of
// step.
type span struct{ first, last, step int }

func (s span) len() int { return (s.last-s.first)/s.step + 1 }

// Ranges is a set of non-negative numbers, in the order of the tasks of an array. Slurm writes
// it as "0-15:2,20". The zero value is the empty set, which ParseRanges returns only with an
// error.
type Ranges struct{ spans []span }

// ParseRanges parses a set in Slurm's syntax. The ranges may be in any order. A number must not
// occur twice or exceed four million, and the set must not have more numbers than that. Users
// see the errors.
func ParseRanges(text string) (Ranges, error) {
	var r Ranges
	for _, part := range strings.Split(text, ",") {
		if len(r.spans) == maxSpans {
			return Ranges{}, fmt.Errorf("more than %d ranges", maxSpans)
		}
		s, err := parseSpan(part)
		if err != nil {
			return Ranges{}, err
		}
		r.spans = append(r.spans, s)
	}
	slices.SortFunc(r.spans, func(a, b span) int { return a.first - b.first })
	return r, r.checkDistinct()
}

// parseSpan parses "first", "first-last" or "first-last:step".
func parseSpan(text string) (span, error) {
	bounds, step, hasStep := strings.Cut(text, ":")
	first, last, hasLast := strings.Cut(bounds, "-")
	s := span{step: 1}
	var err error
	if s.first, err = parseIndex(first); err != nil {
		return span{}, err
	}
	s.last = s.first
	if hasLast {
		if s.last, err = parseIndex(last); err != nil {
			return span{}, err
		}
	}
	if hasStep {
		if s.step, err = parseIndex(step); err != nil || s.step == 0 || !hasLast {
			return span{}, fmt.Errorf("%.40q: not a step", text)
		}
	}
	if s.last < s.first {
		return span{}, fmt.Errorf("%.40q: ends before it begins", text)
	}
	s.last = s.first + (s.len()-1)*s.step
	return s, nil
}

func parseIndex(text string) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > maxIndex || text[0] == '+' {
		return 0, fmt.Errorf("%.40q: not a number from 0 to %d", text, maxIndex)
	}
	return n, nil
}

// checkDistinct returns an error if a number occurs twice, or if there are too many numbers.
// Spans may be interleaved, as in "0-8:2,1-9:2"; only if their bounds overlap does it compare
// the numbers one by one.
func (r Ranges) checkDistinct() error {
	total := r.Len()
	if total > maxIndex {
		return errors.New("too many numbers")
	}
	end, overlapping := -1, false
	for _, s := range r.spans {
		overlapping = overlapping || s.first <= end
		end = max(end, s.last)
	}
	if !overlapping {
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

// Len returns the number of elements.
func (r Ranges) Len() int {
	n := 0
	for _, s := range r.spans {
		n += s.len()
	}
	return n
}

// All iterates over the numbers in the order of the tasks of an array: span by span, each in
// ascending order.
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

// At returns the number at position k in the order of All, counted from 0, or -1 if there is
// none.
func (r Ranges) At(k int) int {
	for _, s := range r.spans {
		if k < s.len() {
			return s.first + k*s.step
		}
		k -= s.len()
	}
	return -1
}

// IndexOf is the inverse of At: it returns the position of a number in the order of All, or -1
// if the set does not contain the number.
func (r Ranges) IndexOf(n int) int {
	before := 0
	for _, s := range r.spans {
		if n >= s.first && n <= s.last && (n-s.first)%s.step == 0 {
			return before + (n-s.first)/s.step
		}
		before += s.len()
	}
	return -1
}

// Bounds returns the lowest and the highest number, or 0 and 0 for the empty set.
func (r Ranges) Bounds() (lowest, highest int) {
	for i, s := range r.spans {
		if i == 0 {
			lowest = s.first
		}
		lowest, highest = min(lowest, s.first), max(highest, s.last)
	}
	return lowest, highest
}

// Step returns the step of the first range, as in SLURM_ARRAY_TASK_STEP, or 1 for the empty
// set.
func (r Ranges) Step() int {
	if len(r.spans) == 0 {
		return 1
	}
	return r.spans[0].step
}

// Truncate removes the ranges beyond the maximum number that ParseRanges accepts. It returns
// the first number that it removed, or 0 if it removed none.
func (r *Ranges) Truncate() int {
	if len(r.spans) <= maxSpans {
		return 0
	}
	first := r.spans[maxSpans].first
	r.spans = r.spans[:maxSpans]
	return first
}

// String returns the set in the syntax of ParseRanges.
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

// RangesOf returns the set of the given numbers, which must not be negative. It sorts the
// slice, moves the distinct numbers to its front and overwrites the rest.
func RangesOf(numbers []int) Ranges {
	slices.Sort(numbers)
	numbers = slices.Compact(numbers)
	var r Ranges
	for _, n := range numbers {
		if last := len(r.spans) - 1; last >= 0 && r.spans[last].last == n-1 {
			r.spans[last].last = n
			continue
		}
		r.spans = append(r.spans, span{n, n, 1})
	}
	return r
}
