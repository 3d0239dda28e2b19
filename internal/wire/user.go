package wire

// JobState is the response to a user's request for a job's state. Done and Running count tasks.
type JobState struct {
	UID     string `json:"uid"`
	Stage   string `json:"stage"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// MachineInfo describes a worker to operators.
type MachineInfo struct {
	Name            string  `json:"name"`
	Type            string  `json:"type"`
	Zone            string  `json:"zone"`
	Spot            bool    `json:"spot"`
	CPUs            float64 `json:"cpus"`
	UsedCPUs        float64 `json:"usedCpus"`
	Tasks           int     `json:"tasks"`  // tasks that run, or may run, on the worker
	SinceHeartbeatS float64 `json:"heardS"` // seconds since the last heartbeat
}

// Problem is the body of an error response.
type Problem struct {
	Error string `json:"error"`
}
