package wire

// JobState is the response to users about a job.
type JobState struct {
	UID     string `json:"uid"`
	Stage   string `json:"stage"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// MachineInfo is a worker as operators see it.
type MachineInfo struct {
	Name            string  `json:"name"`
	Type            string  `json:"type"`
	Zone            string  `json:"zone"`
	Spot            bool    `json:"spot"`
	CPUs            float64 `json:"cpus"`
	UsedCPUs        float64 `json:"usedCpus"`
	Tasks           int     `json:"tasks"`  // that run or may run there
	SinceHeartbeatS float64 `json:"heardS"` // since its last report
}

// Problem is the body of a refusal.
type Problem struct {
	Error string `json:"error"`
}
