package jobstate

const (
	recentSizes  = 128  // last jobs of a class among which its largest are found
	largestOneIn  = 10   // one in so many jobs of a class counts as one of its largest
	maxClasses = 1000 // classes remembered: their names come from users
)

// Class is what was measured of a class of jobs.
type Class struct {
	Name          string
	EstimateRatio float64   // measured run time divided by the user's estimate
	RunTimes      Average   // of its tasks, in seconds
	StartObjectives     []float64 // objectives for the start of its tasks, in seconds from acceptance
	Sizes         Sizes
}

// ClassOf returns the class of that name, which it adds if it is new. Beyond the number of
// classes that are remembered it returns one that is not kept.
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

// Sizes are the sizes, in CPUs of all tasks, of a class's last jobs.
type Sizes struct {
	recent []float64
	next int // index in last of the oldest size, once last is full
}

// Add notes a job's size and reports whether the job is one of the class's largest. Among jobs
// of equal size the first counts as the larger.
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
