package quotalease

import "math"

// thousandths is how finely amounts are recorded. Whole numbers keep sums exact.
const thousandths = 1000

// rounding is what sums of CPUs may be off by, in thousandths.
const rounding = 1e-2

// Kinds of what a team's limit counts, as indices of an Amount.
const (
	cpus = iota
	gpus
	kinds
)

// Amount is an amount of CPUs and of GPUs, in thousandths. It is never below zero.
type Amount [kinds]int64

// AmountOf returns an amount in use, rounded up.
func AmountOf(cpuCount, gpuCount float64) Amount {
	up := func(v float64) int64 { return max(0, int64(math.Ceil(v*thousandths-rounding))) }
	return Amount{up(cpuCount), up(gpuCount)}
}

// LimitOf returns a limit, rounded down; 0 of a kind is no limit of it.
func LimitOf(cpuCount, gpuCount float64) Amount {
	down := func(v float64) int64 { return max(0, int64(math.Floor(v*thousandths+rounding))) }
	return Amount{down(cpuCount), down(gpuCount)}
}

// Fits reports whether a is at most b, of each kind.
func (a Amount) Fits(b Amount) bool { return a[cpus] <= b[cpus] && a[gpus] <= b[gpus] }

// Less orders amounts: by CPUs, then by GPUs.
func (a Amount) Less(b Amount) bool {
	return a[cpus] < b[cpus] || a[cpus] == b[cpus] && a[gpus] < b[gpus]
}

// IsZero reports whether a is nothing of any kind.
func (a Amount) IsZero() bool { return a == Amount{} }

// Add returns a and b together.
func (a Amount) Add(b Amount) Amount { return a.each(b, func(x, y int64) int64 { return x + y }) }

// Sub returns what of a is beyond b, of each kind: 0 where b is more.
func (a Amount) Sub(b Amount) Amount {
	return a.each(b, func(x, y int64) int64 { return max(0, x-y) })
}

// Min returns the lesser of each kind.
func (a Amount) Min(b Amount) Amount { return a.each(b, func(x, y int64) int64 { return min(x, y) }) }

// Max returns the greater of each kind.
func (a Amount) Max(b Amount) Amount { return a.each(b, func(x, y int64) int64 { return max(x, y) }) }

// within returns what of a the limit counts.
func (a Amount) within(limit Amount) Amount {
	return a.each(limit, func(x, y int64) int64 {
		if y == 0 {
			return 0
		}
		return x
	})
}

// each applies f to each kind of a and b.
func (a Amount) each(b Amount, f func(x, y int64) int64) Amount {
	return Amount{f(a[cpus], b[cpus]), f(a[gpus], b[gpus])}
}
