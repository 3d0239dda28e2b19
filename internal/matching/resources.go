package matching

import "math"

// Resources is an amount of each resource.
type Resources struct {
	CPUs     float64 `json:"c"`
	GPUs     float64 `json:"g,omitempty"`
	MemoryGB float64 `json:"m"`
}

// tolerance is the rounding error by which an amount may exceed the free one and still fit.
const tolerance = 1e-6

// Fits reports whether r fits into free.
func (r Resources) Fits(free Resources) bool {
	return r.CPUs <= free.CPUs+tolerance && r.GPUs <= free.GPUs+tolerance && r.MemoryGB <= free.MemoryGB+tolerance
}

// Add returns r plus factor times other.
func (r Resources) Add(other Resources, factor float64) Resources {
	return Resources{r.CPUs + factor*other.CPUs, r.GPUs + factor*other.GPUs, r.MemoryGB + factor*other.MemoryGB}
}

// CountFitting returns how many times r fits into free at once, at most limit.
func (r Resources) CountFitting(free Resources, limit int) int {
	count := float64(limit)
	for _, kind := range [...]struct{ needed, free float64 }{{r.CPUs, free.CPUs}, {r.GPUs, free.GPUs}, {r.MemoryGB, free.MemoryGB}} {
		if kind.needed > 0 {
			count = math.Min(count, math.Floor((kind.free+tolerance)/kind.needed))
		}
	}
	return max(0, int(count))
}

// Scale returns factor times r.
func (r Resources) Scale(factor float64) Resources { return Resources{}.Add(r, factor) }
