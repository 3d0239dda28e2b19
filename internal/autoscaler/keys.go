package autoscaler

// Keys in the state service.
const (
	provisionKey = "fleet/hire/" // and a hire's name
	typesKey     = "fleet/types"
)
