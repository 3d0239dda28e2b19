package autoscaler

import "github.com/wallrack/wallrack/internal/wire"

// offer is a machine type in a zone, spot or on-demand.
type offer struct {
	Type string
	Zone string
	Spot bool
}

// price returns the hourly price of a machine of the offer, whose type is t.
func (o offer) price(t wire.MachineType) float64 {
	if o.Spot {
		return t.SpotPrice
	}
	return t.Price
}

// suits reports whether a job's requirements admit machines of the offer.
func (o *offer) suits(job *wire.Job) bool { return job.AllowsMachine(o.Type, o.Zone, o.Spot) }

// onDemand reports whether an offer is on-demand although the type has spot machines too.
func (o offer) onDemand(t wire.MachineType) bool { return !o.Spot && t.SpotPrice > 0 }
