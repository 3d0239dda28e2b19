// Package peerlinks holds a controller's links to the other controllers: the status that it
// publishes to them, its view of who reaches whom, calls to peers over whichever path works, and
// which of them lead shards. It measures nothing itself: the parts of the controller that exchange
// statuses and count heartbeats supply the data.
package peerlinks

import (
	"time"

	"github.com/wallrack/wallrack/internal/autoscaler"
	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/reachability"
	"github.com/wallrack/wallrack/internal/statestore"
)

// Options are the dependencies of a controller's links.
type Options struct {
	Node   string   // this controller
	Peers  []string // the others
	Mesh   *mesh.Mesh
	Store  *statestore.Client
	Member *membership.Member
	Cloud  *autoscaler.Cloud
}

// Links are a controller's links to the other controllers. Each part is safe for concurrent use.
type Links struct {
	Table   *reachability.Table // latest statuses of the peers
	Status  Status
	View    View
	Caller  Caller
	Leaders Leaders
}

// New returns the links of a controller, without statuses of its peers. The status of the
// controller names the time of this call as the start of its process.
func New(o Options) *Links {
	l := &Links{Table: reachability.NewTable(o.Node, o.Peers)}
	l.Status = Status{node: o.Node, store: o.Store, member: o.Member, cloud: o.Cloud, table: l.Table, startedMs: time.Now().UnixMilli()}
	l.View = View{table: l.Table, status: &l.Status}
	l.Caller = Caller{mesh: o.Mesh, view: &l.View, table: l.Table}
	l.Leaders = Leaders{node: o.Node, member: o.Member, view: &l.View}
	return l
}
