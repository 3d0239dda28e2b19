package quotalease

import "math"

// milliPerUnit is the number of thousandths in a CPU or GPU. Amounts are whole numbers so that
// sums are exact.
const milliPerUnit = 1000

// roundingTolerance is the rounding error of sums of CPUs that is ignored, in thousandths.
const roundingTolerance = 1e-2

// Kinds of resources that a team's limit counts, as indices of an Amount.
const (
	cpus = iota
	gpus
	kinds
)

// Amount is an amount of CPUs and of GPUs, in thousandths. It is never below zero.
type Amount [kinds]int64

// AmountOf returns the amount in use, rounded up.
func AmountOf(cpuCount, gpuCount float64) Amount {
	up := func(v float64) int64 { return max(0, int64(math.Ceil(v*milliPerUnit-roundingTolerance))) }
	return Amount{up(cpuCount), up(gpuCount)}
}

// LimitOf returns a limit, rounded down; 0 means that the kind is not limited.
func LimitOf(cpuCount, gpuCount float64) Amount {
	down := func(v float64) int64 { return max(0, int64(math.Floor(v*milliPerUnit+roundingTolerance))) }
	return Amount{down(cpuCount), down(gpuCount)}
}

// Fits reports whether a is at most b in each kind.
func (a Amount) Fits(b Amount) bool { return a[cpus] <= b[cpus] && a[gpus] <= b[gpus] }

// Less orders amounts by CPUs, then by GPUs.
func (a Amount) Less(b Amount) bool {
	return a[cpus] < b[cpus] || a[cpus] == b[cpus] && a[gpus] < b[gpus]
}

// IsZero reports whether a is zero in each kind.
func (a Amount) IsZero() bool { return a == Amount{} }

// Add returns the sum of a and b.
func (a Amount) Add(b Amount) Amount { return a.perKind(b, func(x, y int64) int64 { return x + y }) }

// Sub returns a minus b in each kind, 0 where b is more.
func (a Amount) Sub(b Amount) Amount {
	return a.perKind(b, func(x, y int64) int64 { return max(0, x-y) })
}

// Min returns the lesser of each kind.
func (a Amount) Min(b Amount) Amount {
	return a.perKind(b, func(x, y int64) int64 { return min(x, y) })
}

// Max returns the greater of each kind.
func (a Amount) Max(b Amount) Amount {
	return a.perKind(b, func(x, y int64) int64 { return max(x, y) })
}

// countedBy returns a without the kinds that are not limited.
func (a Amount) countedBy(limit Amount) Amount {
	return a.perKind(limit, func(x, y int64) int64 {
		if y == 0 {
			return 0
		}
		return x
	})
}

// perKind applies f to each kind of a and b.
func (a Amount) perKind(b Amount, f func(x, y int64) int64) Amount {
	return Amount{f(a[cpus], b[cpus]), f(a[gpus], b[gpus])}
}
