// Package peerlinks is a controller's links to the others: its status, which it says to them, its
// view of who reaches whom, calls of peers by the way that works, and who of them leads shards. It
// measures nothing itself: those who exchange statuses and count heartbeats fill it.
package peerlinks

import (
	"time"

	"github.com/wallrack/wallrack/internal/autoscaler"
	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/reachability"
	"github.com/wallrack/wallrack/internal/statestore"
)

// Options are what the links need of the rest of their process.
type Options struct {
	Node   string   // this controller
	Peers  []string // the others
	Mesh   *mesh.Mesh
	Store  *statestore.Client
	Member *membership.Member
	Cloud  *autoscaler.Cloud
}

// Links are a controller's links to the others. Each part is safe for concurrent use.
type Links struct {
	Table   *reachability.Table // what peers said last
	Status  Status
	View    View
	Caller  Caller
	Leaders Leaders
}

// New returns the links of a process that starts now and knows nothing of the others.
func New(o Options) *Links {
	l := &Links{Table: reachability.NewTable(o.Node, o.Peers)}
	l.Status = Status{node: o.Node, store: o.Store, member: o.Member, cloud: o.Cloud, table: l.Table, startedMs: time.Now().UnixMilli()}
	l.View = View{table: l.Table, status: &l.Status}
	l.Caller = Caller{mesh: o.Mesh, view: &l.View, table: l.Table}
	l.Leaders = Leaders{node: o.Node, member: o.Member, view: &l.View}
	return l
}
