// Package capacity checks the figures in docs/CAPACITY.md against measurements. Tests of other
// packages define Series, which measure how a quantity (bytes, allocations, writes) grows with a
// number (machines, jobs, tasks). The page's table of slopes lists the fixed part and the slope of
// each series. Check compares the exact series with the page; Bench prints all series.
package capacity

import (
	"math"
	"slices"
)

// Line is a straight line fitted to measurements: fixed part + slope × number.
type Line struct {
	Fixed, Slope float64
	// Error is the largest distance of a measurement from the line, divided by the
	// largest measurement.
	Error float64
	// SlopeRatio is the slope between the last two measurements divided by the slope between the
	// first two: 1 for linear growth or if the slope between the first two is 0, more for faster
	// growth.
	SlopeRatio float64
}

// Fit fits a line to the values measured at sizes, by least squares.
func Fit(sizes []int, values []float64) Line {
	n := float64(len(sizes))
	var meanX, meanY float64
	for i, size := range sizes {
		meanX += float64(size) / n
		meanY += values[i] / n
	}
	var xy, xx float64
	for i, size := range sizes {
		dx := float64(size) - meanX
		xy += dx * (values[i] - meanY)
		xx += dx * dx
	}
	line := Line{Slope: xy / xx, SlopeRatio: 1}
	line.Fixed = meanY - line.Slope*meanX
	var maxDistance, maxValue float64
	for i, size := range sizes {
		maxDistance = max(maxDistance, math.Abs(values[i]-line.Fixed-line.Slope*float64(size)))
		maxValue = max(maxValue, math.Abs(values[i]))
	}
	if maxValue > 0 {
		line.Error = maxDistance / maxValue
	}
	last := len(sizes) - 1
	slopeBetween := func(from, to int) float64 {
		return (values[to] - values[from]) / float64(sizes[to]-sizes[from])
	}
	if first := slopeBetween(0, 1); first != 0 {
		line.SlopeRatio = slopeBetween(last-1, last) / first
	}
	return line
}

// median returns the median of an odd number of values.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// Median calls measure measureRounds times and returns the median of the results.
func Median(measure func() float64) float64 {
	values := make([]float64, measureRounds)
	for i := range values {
		values[i] = measure()
	}
	return median(values)
}
