package wire

// Index maps names to dense indices, in order of first sight.
type Index struct {
	indices map[string]int
}

// Of returns the index of a name.
func (x *Index) Of(name string) int {
	i, ok := x.indices[name]
	if !ok {
		if x.indices == nil {
			x.indices = map[string]int{}
		}
		i = len(x.indices)
		x.indices[name] = i
	}
	return i
}
