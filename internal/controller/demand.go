package controller

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/planner"
	"github.com/wallrack/wallrack/internal/wire"
)

// demandWithin is how long the fleet's planning waits for another owner.
const demandWithin = 500 * time.Millisecond

const (
	methodDemand = "Demand"
	methodGone   = "Gone"
	methodList   = "Machines"
)

type demandMessage struct {
	Boot float64 `json:"boot"`
}

type demandReply struct {
	Demand   []planner.Demand     `json:"demand"`
	Loads    []planner.WorkerLoad `json:"loads"`
	Suspects map[string]string    `json:"suspects"` // why, by name
	Admitted float64              `json:"admitted"`
}

type goneMessage struct {
	Machines []string `json:"machines"`
}

// allOwners is what the fleet sees: this process's owner, together with the
// owners elsewhere when shards are spread.
type allOwners struct {
	n     *node
	ctx   context.Context
	other []*demandReply // as of the last Demand

	mu   sync.Mutex
	gone []string // not told of yet
}

func (n *node) demand(boot float64) *demandReply {
	d, l := n.owner.Demand(boot)
	return &demandReply{Demand: d, Loads: l, Suspects: n.lost(), Admitted: n.owner.AdmittedWork()}
}

func (n *node) handleDemand() {
	mesh.Handle(n.mesh, methodDemand, func(_ context.Context, m *demandMessage) (*demandReply, error) {
		return n.demand(m.Boot), nil
	})
	mesh.Handle(n.mesh, methodList, func(context.Context, *nothing) (*[]wire.MachineInfo, error) {
		ms := n.owner.Machines()
		return &ms, nil
	})
	mesh.Handle(n.mesh, methodGone, func(_ context.Context, m *goneMessage) (*nothing, error) {
		for _, name := range m.Machines {
			n.holder.RemoveWorker(name)
			n.owner.WorkerGone(name)
		}
		return &nothing{}, nil
	})
}

// Ready reports whether this controller leads the fleet.
func (a *allOwners) Ready() bool { return a.n.owner.LeadsAutoscaling() }

// Demand gathers the waiting work of all owners, and the machines' loads.
func (a *allOwners) Demand(boot float64) ([]planner.Demand, []planner.WorkerLoad) {
	own := a.n.demand(boot)
	a.other = a.other[:0]
	at := map[string]int{}
	for i, l := range own.Loads {
		at[l.Name] = i
	}
	for _, peer := range a.n.ShardOwners() {
		ctx, cancel := context.WithTimeout(a.ctx, demandWithin)
		rep, err := call[demandMessage, demandReply](ctx, a.n, peer, methodDemand, &demandMessage{Boot: boot})
		cancel()
		if err != nil {
			a.n.log.Debug("no demand", "owner", peer, "err", err)
			continue
		}
		a.other = append(a.other, rep)
		own.Demand = append(own.Demand, rep.Demand...)
		for _, l := range rep.Loads {
			if i, ok := at[l.Name]; ok {
				own.Loads[i].Places += l.Places
				own.Loads[i].Used = own.Loads[i].Used.Add(l.Used, 1)
				own.Loads[i].Faulty = own.Loads[i].Faulty || l.Faulty
			}
		}
	}
	return own.Demand, own.Loads
}

// SetCordoned tells the owner here; owners elsewhere only make it take longer.
func (a *allOwners) SetCordoned(names map[string]bool) { a.n.owner.SetCordoned(names) }

// FailedWorkers returns the lost machines that any owner's tasks may be on, and why
// they are taken for lost.
func (a *allOwners) FailedWorkers() map[string]string {
	out := a.n.lost()
	for _, r := range a.other {
		maps.Copy(out, r.Suspects)
	}
	return out
}

// AdmittedWork returns how much work all owners have accepted.
func (a *allOwners) AdmittedWork() float64 {
	sum := a.n.owner.AdmittedWork()
	for _, r := range a.other {
		sum += r.Admitted
	}
	return sum
}

// tellGoneAfter gathers machines that are gone into one message.
const tellGoneAfter = 300 * time.Millisecond

// WorkerGone tells every controller that a machine is gone, soon: a later owner would take
// it for one that fell silent, and count it among those that it should hear.
func (a *allOwners) WorkerGone(name string) {
	a.n.owner.WorkerGone(name)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gone = append(a.gone, name); len(a.gone) == 1 {
		time.AfterFunc(tellGoneAfter, a.tellGone)
	}
}

func (a *allOwners) tellGone() {
	a.mu.Lock()
	m := &goneMessage{a.gone}
	a.gone = nil
	a.mu.Unlock()
	for _, p := range a.n.cfg.Peers {
		go func() {
			ctx, cancel := context.WithTimeout(a.ctx, demandWithin)
			defer cancel()
			if _, err := call[goneMessage, nothing](ctx, a.n, p.Node, methodGone, m); err != nil {
				a.n.log.Debug("not told that machines are gone", "peer", p.Node, "machines", len(m.Machines), "err", err)
			}
		}()
	}
}

// serveMachines answers operators who ask for the machines: the owner knows them.
func (n *node) serveMachines(w http.ResponseWriter, r *http.Request) {
	var ms []wire.MachineInfo
	if n.owner.LeadsAutoscaling() {
		ms = n.owner.Machines()
	} else {
		found := false
		for _, peer := range n.ShardOwners() {
			ctx, cancel := context.WithTimeout(r.Context(), demandWithin)
			rep, err := call[nothing, []wire.MachineInfo](ctx, n, peer, methodList, &nothing{})
			cancel()
			if err == nil {
				ms, found = *rep, true
				break
			}
		}
		if !found {
			w.Header().Set("Retry-After", "1")
			httpjson.Write(w, http.StatusServiceUnavailable, wire.Problem{Error: "no owner answers"})
			return
		}
	}
	httpjson.Write(w, http.StatusOK, ms)
}
