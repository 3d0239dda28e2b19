package wire

// MachineType is an entry of the cloud's price list.
type MachineType struct {
	Name        string   `json:"sku"`
	CPUs        float64  `json:"cpus"`
	GPUs        float64  `json:"cards"`
	MemoryGB    float64  `json:"memoryGb"`
	CacheGB     float64  `json:"cacheGb"`
	FetchGBPerS float64  `json:"fetchGbPerS"`
	Price       float64  `json:"price"` // price of an on-demand machine
	SpotPrice   float64  `json:"marketPrice"`
	BootS       float64  `json:"readyS"` // seconds from the request until the machine is running
	Zones       []string `json:"yards"`
}

// MachineTypes is the cloud's price list.
type MachineTypes struct {
	Types []MachineType `json:"builds"`
}

// ProvisionRequest provisions machines. It is idempotent: if a request with the same Name has
// succeeded before, the cloud returns the names of that request's machines and provisions none.
type ProvisionRequest struct {
	Name   string `json:"hire"` // unique name of the request
	Type   string `json:"build"`
	Zone   string `json:"yard"`
	Spot   bool   `json:"loaners"`
	Number int    `json:"number"` // number of machines requested; fewer may be provisioned
}

// MachineNames is the response to a ProvisionRequest, and the request to delete machines.
type MachineNames struct {
	Machines []string `json:"benches"`
}

// ListedMachine is an entry of the cloud's machine list.
type ListedMachine struct {
	Name     string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Type     string  `json:"build"`
	Zone     string  `json:"yard"`
	Spot     bool    `json:"loaners"`
	Stage    string  `json:"stage"`
	AgeS     float64 `json:"ageS"`
}

// MachineList is a page of the cloud's machine list.
type MachineList struct {
	Machines []ListedMachine `json:"benches"`
	More     bool            `json:"truncated"`
}
