package controller

import (
	"context"
	"net/http"

	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/peerlinks"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/wire"
)

// machineList serves the list of machines to operators. Controllers that don't lead autoscaling
// query the one that does.
type machineList struct {
	scheduler *scheduler.Scheduler
	leaders   *peerlinks.Leaders
	peers     *peerlinks.Caller
}

func (l *machineList) register(m *mesh.Mesh) {
	mesh.Handle(m, methodMachines, func(context.Context, *empty) (*[]wire.MachineInfo, error) {
		machines := l.scheduler.Workers()
		return &machines, nil
	})
}

func (l *machineList) serve(w http.ResponseWriter, r *http.Request) {
	if l.scheduler.LeadsAutoscaling() {
		httpjson.Write(w, http.StatusOK, l.scheduler.Workers())
		return
	}
	for _, peer := range l.leaders.ShardLeaders() {
		if machines, err := l.queryPeer(r.Context(), peer); err == nil {
			httpjson.Write(w, http.StatusOK, *machines)
			return
		}
	}
	w.Header().Set("Retry-After", "1")
	httpjson.Write(w, http.StatusServiceUnavailable, wire.Problem{Error: "no owner answers"})
}

func (l *machineList) queryPeer(ctx context.Context, peer string) (*[]wire.MachineInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	return peerlinks.Call[empty, []wire.MachineInfo](ctx, l.peers, peer, methodMachines, &empty{})
}
