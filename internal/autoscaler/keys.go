package autoscaler

// Keys in the state service.
const (
	hireKey  = "fleet/hire/" // and a hire's name
	typesKey = "fleet/types"
)
