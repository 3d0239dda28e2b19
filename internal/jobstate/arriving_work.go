package jobstate

// ArrivingWork measures the rate at which accepted jobs of a class add work.
type ArrivingWork struct {
	Admitted     float64 // CPU-seconds accepted since this process started
	LastAdmitted float64 // Admitted when Rate was last updated
	Rate         float64 // smoothed arrival rate in CPU-seconds per second, that is the CPUs that the class needs
	Rank         int     // priority of the class's last accepted job
}
