package jobstate

const (
	recentSizes  = 128  // number of a class's most recent jobs whose sizes are compared
	largestOneIn = 10   // one job in this many of a class counts as one of its largest
	maxClasses   = 1000 // maximum number of classes held, because users choose their names
)

// Class is a class of jobs and its measured run times and sizes.
type Class struct {
	Name            string
	EstimateRatio   float64   // measured run time divided by the user's estimate
	RunTimes        Average   // run times of its tasks, in seconds
	StartObjectives []float64 // objectives for the start of its tasks, in seconds from acceptance
	Sizes           Sizes
}

// ClassOf returns the class of that name, and adds it if it is new. Above maxClasses classes, a
// new class is returned but not added.
func (s *State) ClassOf(name string) *Class {
	class := s.Classes[name]
	if class != nil {
		return class
	}
	class = &Class{Name: name, EstimateRatio: 1}
	if len(s.Classes) > maxClasses {
		return class
	}
	for _, objective := range s.Platform.Params.Objectives {
		if objective.Kind == "wait" && objective.Class == name {
			class.StartObjectives = append(class.StartObjectives, objective.WithinS)
		}
	}
	s.Classes[name] = class
	return class
}

// Sizes holds the sizes, in CPUs of all tasks, of the most recent jobs of a class.
type Sizes struct {
	recent []float64
	next   int // index of the oldest size in recent, once recent is full
}

// Add adds a job's size and reports whether the job is one of the class's largest. Among jobs of
// equal size, the first counts as the largest.
func (s *Sizes) Add(size float64) (large bool) {
	above := 0
	for _, other := range s.recent {
		if other >= size {
			above++
		}
	}
	large = above*largestOneIn < len(s.recent)+1
	if len(s.recent) < recentSizes {
		s.recent = append(s.recent, size)
	} else {
		s.recent[s.next] = size
		s.next = (s.next + 1) % recentSizes
	}
	return large
}
