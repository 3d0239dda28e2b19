package jobstate

// ArrivingWork is how much work of a class arrives.
type ArrivingWork struct {
	Admitted     float64 // CPU-seconds so far
	LastAdmitted float64 // the same, as of the last look
	Rate         float64 // CPUs kept busy by it
	Rank         int     // of its last job
}
