package controller

import (
	"context"

	"github.com/wallrack/wallrack/internal/mesh"
)

// Methods of the mesh. Controllers of other versions call them by these names.
const (
	methodPing          = "Ping"
	methodStore         = "Store"
	methodProbe         = "Seen"
	methodViews         = "Views"
	methodInstructions  = "Direct"
	methodGrants        = "Grants"
	methodUser          = "User"
	methodAttest        = "Vouch"
	methodCancellations = "Cancels"
	methodDemand        = "Demand"
	methodRemoved       = "Gone"
	methodMachines      = "Machines"
	methodSlurm         = "Desk"
	methodFacts         = "Facts"
	methodEarlier       = "Earlier"
)

// empty is a message that says all by its method.
type empty struct{}

// peerService is a part that serves methods of the mesh.
type peerService interface {
	register(m *mesh.Mesh)
}

// lifetime is that of this process, for calls whose callers pass no context, or one that
// ends before what they started shall.
type lifetime struct {
	ctx context.Context //nolint:containedctx // bounds what callbacks start that are given no context
}
