package jobspec

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

const (
	maxIndex = 4_000_000 // largest index of an array's task, and largest number of tasks
	maxSpans = 512       // ranges in one text
)

// span is the numbers from first to last, both included, by step.
type span struct{ first, last, step int }

func (s span) len() int { return (s.last-s.first)/s.step + 1 }

// Ranges is a set of numbers from 0 in the order in which an array's tasks have them, which
// Slurm writes as "0-15:2,20". The zero value is empty; ParseRanges never returns that without
// an error.
type Ranges struct{ spans []span }

// ParseRanges reads a set as Slurm writes it. The ranges may stand in any order; no number may
// stand twice, be larger than four million, or be one of more than that. Users see its errors.
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

// parseSpan reads "first", "first-last" or "first-last:step".
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

// checkDistinct returns an error if a number stands twice, or if there are too many. Spans may lie
// in one another's gaps; only then the numbers are looked at one by one.
func (r Ranges) checkDistinct() error {
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

// Len returns how many numbers there are.
func (r Ranges) Len() int {
	n := 0
	for _, s := range r.spans {
		n += s.len()
	}
	return n
}

// All returns the numbers, span by span: in the order of an array's tasks.
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

// At returns the k-th number of All, counted from 0, or -1 if there are fewer.
func (r Ranges) At(k int) int {
	for _, s := range r.spans {
		if k < s.len() {
			return s.first + k*s.step
		}
		k -= s.len()
	}
	return -1
}

// IndexOf is the inverse of At: it returns the position of a number in All, or -1.
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

// Step returns the step of the first range, as in SLURM_ARRAY_TASK_STEP; 1 if there is none.
func (r Ranges) Step() int {
	if len(r.spans) == 0 {
		return 1
	}
	return r.spans[0].step
}

// Truncate drops the ranges beyond the number that ParseRanges takes, and returns the first number
// that it dropped, or 0 if it dropped none.
func (r *Ranges) Truncate() int {
	if len(r.spans) <= maxSpans {
		return 0
	}
	first := r.spans[maxSpans].first
	r.spans = r.spans[:maxSpans]
	return first
}

// String returns the ranges as ParseRanges reads them.
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

// RangesOf returns the set of the numbers, which must not be negative. It sorts the slice and
// overwrites what follows its distinct numbers.
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
