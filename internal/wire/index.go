package wire

// Index assigns consecutive indices from 0 to names, in the order in which they are first looked up.
type Index struct {
	indices map[string]int
}

// Of returns the index of a name. A new name is assigned the next unused index.
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
