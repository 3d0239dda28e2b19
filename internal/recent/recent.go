// Package recent remembers a bounded number of names, the latest ones.
package recent

// Set holds the names added last, at most so many. It is not safe for concurrent
// use.
type Set struct {
	most  int
	has   map[string]bool
	order []string
}

// NewSet returns an empty set that holds at most so many names.
func NewSet(most int) *Set { return &Set{most: most, has: map[string]bool{}} }

// Has reports whether the name is in the set.
func (s *Set) Has(name string) bool { return s.has[name] }

// Add adds a name, and forgets the oldest one if there are too many. A name that is
// there already stays as old as it is.
func (s *Set) Add(name string) {
	if s.has[name] {
		return
	}
	s.has[name] = true
	if s.order = append(s.order, name); len(s.order) > s.most {
		delete(s.has, s.order[0])
		s.order = s.order[1:]
	}
}
