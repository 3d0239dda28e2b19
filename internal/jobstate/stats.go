package jobstate

// Stats are counters since this process started, as shown by /ops.
type Stats struct {
	Placed              int `json:"Placed"`      // placements created
	Duplicates          int `json:"Duplicates"`  // additional placements of tasks that waited longer than planned
	Granted             int `json:"Granted"`     // starts granted
	Refused             int `json:"Refused"`     // starts refused
	Lost                int `json:"Lost"`        // tasks lost with their worker or its session
	Done                int `json:"Done"`        // attempts that completed
	Errors              int `json:"Errors"`      // attempts that ended with an error
	Preempted           int `json:"Preempted"`   // tasks stopped in favor of other work
	Evicted             int `json:"Evacuated"`   // tasks stopped to empty a worker
	LeaseExpiring       int `json:"Expiring"`    // tasks stopped before their worker's lease expired
	Failovers           int `json:"Takeovers"`   // failovers to this leader
	QuotaRecordsRefused int `json:"LentRefused"` // unreadable records and entries of quota leases
}
