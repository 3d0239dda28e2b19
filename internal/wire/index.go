package wire

// Index maps names to dense indices, in order of first sight.
type Index struct {
	of map[string]int
}

// Of returns the index of a name.
func (x *Index) Of(name string) int {
	i, ok := x.of[name]
	if !ok {
		if x.of == nil {
			x.of = map[string]int{}
		}
		i = len(x.of)
		x.of[name] = i
	}
	return i
}
