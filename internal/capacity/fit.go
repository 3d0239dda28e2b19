// Package capacity holds docs/CAPACITY.md to what is measured. Each package's tests
// measure how something (bytes, allocations, writes) grows with a number (machines,
// jobs, tasks): a Series. Its fixed part and slope stand in the page's table of slopes;
// Check compares exact ones with the page, Bench prints all.
package capacity

import (
	"math"
	"slices"
)

// Line is a straight line fitted to measurements: fixed part + slope × number.
type Line struct {
	Fixed, Slope float64
	// Error is the largest distance of a measurement from the line, as a share of the
	// largest measurement.
	Error float64
	// SlopeRatio is the slope between the last two measurements over that between the first
	// two: 1 for a straight line, more if it grows faster than the number.
	SlopeRatio float64
}

// Fit returns the line through values measured at sizes by least squares.
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

// median returns the middle one of an odd number of values.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// Median is the middle one of some measurements of a value that varies a little.
func Median(measure func() float64) float64 {
	values := make([]float64, measureRounds)
	for i := range values {
		values[i] = measure()
	}
	return median(values)
}
