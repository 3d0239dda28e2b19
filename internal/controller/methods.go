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

// empty is a message without fields.
type empty struct{}

// peerService is a component that serves methods of the mesh.
type peerService interface {
	register(m *mesh.Mesh)
}

// lifetime holds the context of the process, for calls whose callers pass no context, or one
// that ends too early.
type lifetime struct {
	ctx context.Context //nolint:containedctx // bounds calls that callbacks without a context start
}
