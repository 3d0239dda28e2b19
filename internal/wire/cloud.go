package wire

// MachineType is a row of the cloud's price list.
type MachineType struct {
	Name        string   `json:"sku"`
	CPUs        float64  `json:"cpus"`
	GPUs        float64  `json:"cards"`
	MemoryGB    float64  `json:"memoryGb"`
	CacheGB     float64  `json:"cacheGb"`
	FetchGBPerS float64  `json:"fetchGbPerS"`
	Price       float64  `json:"price"` // of an on-demand machine
	SpotPrice   float64  `json:"marketPrice"`
	BootS       float64  `json:"readyS"` // from the request until it is up
	Zones       []string `json:"yards"`
}

// MachineTypes is the cloud's price list.
type MachineTypes struct {
	Types []MachineType `json:"builds"`
}

// ProvisionRequest provisions machines. The cloud answers a repeat under the same name alike.
type ProvisionRequest struct {
	Name   string `json:"hire"` // unique
	Type   string `json:"build"`
	Zone   string `json:"yard"`
	Spot   bool   `json:"loaners"`
	Number int    `json:"number"` // at most; the response may have fewer
}

// MachineNames is the response to a HireRequest, and the request to delete machines.
type MachineNames struct {
	Machines []string `json:"benches"`
}

// ListedMachine is a row of the cloud's machine list.
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
