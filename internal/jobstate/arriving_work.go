package jobstate

// ArrivingWork measures how much work the accepted jobs of a class bring.
type ArrivingWork struct {
	Admitted     float64 // CPU-seconds accepted since this process began
	LastAdmitted float64 // Admitted when Rate was last updated
	Rate         float64 // smoothed, CPU-seconds per second: the CPUs that the class keeps busy
	Rank         int     // priority of the class's last accepted job
}
