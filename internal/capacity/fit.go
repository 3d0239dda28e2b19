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
	// Bend is the slope between the last two measurements over that between the first
	// two: 1 for a straight line, more if it grows faster than the number.
	Bend float64
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
	line := Line{Slope: xy / xx, Bend: 1}
	line.Fixed = meanY - line.Slope*meanX
	var farthest, largest float64
	for i, size := range sizes {
		farthest = max(farthest, math.Abs(values[i]-line.Fixed-line.Slope*float64(size)))
		largest = max(largest, math.Abs(values[i]))
	}
	if largest > 0 {
		line.Error = farthest / largest
	}
	last := len(sizes) - 1
	rise := func(from, to int) float64 {
		return (values[to] - values[from]) / float64(sizes[to]-sizes[from])
	}
	if first := rise(0, 1); first != 0 {
		line.Bend = rise(last-1, last) / first
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
	values := make([]float64, rounds)
	for i := range values {
		values[i] = measure()
	}
	return median(values)
}
