package main

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/intake"
	"github.com/wallrack/wallrack/internal/machine"
	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/owner"
	"github.com/wallrack/wallrack/internal/recovery"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/usage"
)

const (
	pingEvery   = time.Second
	peerLost    = 3 * time.Second // a peer unheard for so long counts as unreachable
	storeLost   = 3 * time.Second // the state service unheard for so long counts as lost
	vouchEvery  = 2 * time.Second
	republish   = 5 * time.Second
	cancelSlack = 3.0 // seconds kept between a cut-off holder's last answer and the cancel limit
)

// Methods of the mesh.
const (
	methodPing    = "Ping"
	methodPublish = "Publish"
	methodDirect  = "Direct"
	methodGrant   = "Grant"
	methodUser    = "User"
	methodVouch   = "Vouch"
)

type pingMessage struct {
	Node    string `json:"node"`
	StoreOK bool   `json:"store"`
	Chief   string `json:"chief"`
	Held    bool   `json:"held"`
	Reports int    `json:"reports"` // see machine.Holder.Reports
}

type publishMessage struct {
	Views []machine.View `json:"views"`
}

type vouchMessage struct {
	Machines []string `json:"machines"`
}

type vouchReply struct {
	Unanswered []float64 `json:"unanswered"` // seconds, in the order asked
}

type nothing struct{}

type peerState struct {
	pingMessage
	at time.Time
}

// node joins the slices of this process with those of its peers.
type node struct {
	cfg    *config.Platform
	op     *config.Operator
	store  *statestore.Client
	member *membership.Member
	links  *mesh.Mesh
	log    *slog.Logger
	owner  *owner.Owner
	holder *machine.Holder
	intake *intake.Intake
	times  *recovery.Timeline

	mu    sync.Mutex
	peers map[string]peerState
}

func (n *node) handle() {
	mesh.Handle(n.links, methodPing, func(_ context.Context, m *pingMessage) (*pingMessage, error) {
		n.heard(*m)
		return n.state(), nil
	})
	mesh.Handle(n.links, methodPublish, func(_ context.Context, m *publishMessage) (*nothing, error) {
		defer usage.Count(usage.Peers, time.Now())
		for _, v := range m.Views {
			n.owner.Observe(v)
		}
		return &nothing{}, nil
	})
	mesh.Handle(n.links, methodDirect, func(_ context.Context, d *machine.Direction) (*machine.Unlaunched, error) {
		un := n.holder.Direct(*d)
		return &un, nil
	})
	mesh.Handle(n.links, methodGrant, func(_ context.Context, r *machine.GrantRequest) (*machine.GrantReply, error) {
		rep := n.owner.GrantHere(*r)
		return &rep, nil
	})
	mesh.Handle(n.links, methodUser, func(ctx context.Context, r *intake.Request) (*intake.Reply, error) {
		rep := n.intake.Serve(ctx, *r)
		return &rep, nil
	})
	mesh.Handle(n.links, methodVouch, func(_ context.Context, m *vouchMessage) (*vouchReply, error) {
		return n.unanswered(m), nil
	})
}

func (n *node) unanswered(m *vouchMessage) *vouchReply {
	rep := &vouchReply{}
	for _, name := range m.Machines {
		rep.Unanswered = append(rep.Unanswered, n.holder.Unanswered(name).Seconds())
	}
	return rep
}

func (n *node) storeOK() bool { return n.store.SinceOK() < storeLost }

func (n *node) state() *pingMessage {
	return &pingMessage{Node: n.cfg.Node, StoreOK: n.storeOK(), Chief: n.chief(), Held: n.member.Held() > 0, Reports: n.holder.Reports()}
}

// chief is the owner of most shards, as far as this controller knows.
func (n *node) chief() string {
	if owners := n.member.Owners(); len(owners) > 0 {
		return owners[0]
	}
	return ""
}

func (n *node) heard(m pingMessage) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers[m.Node] = peerState{m, time.Now()}
}

func (n *node) heardWithin(peer string, d time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.peers[peer].at) < d
}

// reachable returns the peers heard lately.
func (n *node) reachable() []peerState {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []peerState
	for _, s := range n.cfg.Peers {
		if p, ok := n.peers[s.Node]; ok && time.Since(p.at) < peerLost {
			out = append(out, p)
		}
	}
	return out
}

// ping keeps the peers' state fresh: a ping carries this controller's state, its
// answer the peer's.
func (n *node) ping(ctx context.Context) error {
	tick := time.NewTicker(pingEvery)
	defer tick.Stop()
	for {
		for _, s := range n.cfg.Peers {
			if n.heardWithin(s.Node, pingEvery*3/4) {
				continue // it has just pinged this controller
			}
			go func() {
				pctx, cancel := context.WithTimeout(ctx, pingEvery)
				defer cancel()
				if rep, err := mesh.Call[pingMessage, pingMessage](pctx, n.links, s.Node, methodPing, n.state()); err == nil {
					n.heard(*rep)
				}
			}()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// Foreman names the controller that should hold workers: the one that owns
// the jobs, so that grants need no round trip.
func (n *node) Foreman() string {
	if n.member.Held() <= 0 {
		// This controller may be the only one that lost the state service.
		for _, p := range n.reachable() {
			if p.StoreOK && p.Chief != "" && p.Chief != n.cfg.Node {
				return p.Chief
			}
		}
		return n.cfg.Node
	}
	chief := n.chief()
	if chief == "" || chief == n.cfg.Node {
		return n.cfg.Node
	}
	for _, p := range n.reachable() {
		if p.Node == chief {
			return chief
		}
	}
	return n.cfg.Node
}

// Entitled reports whether this controller may answer workers. One that hears
// of nobody stops in time: what its workers run could have been cancelled,
// and must be gone within the limit for cancels.
func (n *node) Entitled() bool {
	if n.member.Term() == 0 {
		return false
	}
	w := n.cfg.Params.Workers
	grace := config.Seconds(max(2, w.CancelS-w.LeaseS*1.002-cancelSlack))
	if n.store.SinceOK() < grace {
		return true
	}
	up := n.reachable()
	for _, p := range up {
		if p.StoreOK {
			return true // it tells this controller what was cancelled
		}
	}
	// With the state service out for all, nothing can be cancelled.
	return len(up) == len(n.cfg.Peers)
}

// Owners names the other controllers that own shards.
func (n *node) Owners() []string {
	var out []string
	add := func(name string) {
		for _, x := range out {
			if x == name {
				return
			}
		}
		if name != "" && name != n.cfg.Node {
			out = append(out, name)
		}
	}
	if n.member.Held() > 0 {
		for _, o := range n.member.Owners() {
			add(o)
		}
		return out
	}
	for _, p := range n.reachable() {
		if p.StoreOK {
			add(p.Chief)
		}
	}
	return out
}

// Served names the other controllers that reach the state service.
func (n *node) Served() []string {
	var out []string
	for _, p := range n.reachable() {
		if p.StoreOK {
			out = append(out, p.Node)
		}
	}
	return out
}

// Ask hands a user's request to a peer.
func (n *node) Ask(ctx context.Context, peer string, r intake.Request) (*intake.Reply, error) {
	return mesh.Call[intake.Request, intake.Reply](ctx, n.links, peer, methodUser, &r)
}

// Up fails only when this controller can't serve and a peer can.
func (n *node) Up() bool {
	if n.member.Term() == 0 {
		return false
	}
	up := n.storeOK() || len(n.Served()) == 0
	if up {
		n.times.Mark(recovery.Up)
	}
	return up
}

// standing notes what the membership says for the timeline.
func (n *node) standing() {
	if n.member.Held() <= 0 {
		n.times.Lost()
		return
	}
	n.times.Mark(recovery.Joined)
	if len(n.member.Own()) > 0 {
		n.times.Mark(recovery.Claimed)
	}
}

// Observe hands a view to the owner in this process; peers get theirs by
// publish.
func (n *node) Observe(v machine.View) {
	n.times.Mark(recovery.Heard)
	n.owner.Observe(v)
}

// GrantHere asks the owner in this process.
func (n *node) GrantHere(r machine.GrantRequest) machine.GrantReply {
	rep := n.owner.GrantHere(r)
	if rep.OK {
		n.times.Mark(recovery.Granted)
	}
	return rep
}

// GrantThere asks an owner elsewhere.
func (n *node) GrantThere(ctx context.Context, at string, r machine.GrantRequest) (machine.GrantReply, error) {
	rep, err := mesh.Call[machine.GrantRequest, machine.GrantReply](ctx, n.links, at, methodGrant, &r)
	if err != nil {
		return machine.GrantReply{}, err
	}
	return *rep, nil
}

// Direct carries an owner's directions to a holder.
func (n *node) Direct(ctx context.Context, holder string, d machine.Direction) (machine.Unlaunched, error) {
	if holder == n.cfg.Node {
		return n.holder.Direct(d), nil
	}
	rep, err := mesh.Call[machine.Direction, machine.Unlaunched](ctx, n.links, holder, methodDirect, &d)
	if err != nil {
		return machine.Unlaunched{}, err
	}
	return *rep, nil
}

// publish sends views, with their matrices, to the owners elsewhere: what
// changed often, and everything now and then or to a new owner.
func (n *node) publish(ctx context.Context) error {
	tick := time.NewTicker(config.Seconds(n.op.PublishS))
	defer tick.Stop()
	var full time.Time
	known := map[string]bool{}
	owned := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		owners := n.Owners()
		owns := n.member.Held() > 0 && len(n.member.Own()) > 0
		if owns && !owned {
			// New here as an owner: what was heard before counts too.
			for _, v := range n.holder.Views() {
				n.owner.Observe(v)
			}
		}
		owned = owns
		if len(owners) == 0 {
			// A view costs a matrix: none is made for nobody.
			clear(known)
			continue
		}
		start := time.Now()
		changed := n.holder.Changed()
		if time.Since(full) > republish {
			full = time.Now()
			changed = n.holder.Views()
			clear(known)
		}
		var wg sync.WaitGroup
		for _, o := range owners {
			views := changed
			if !known[o] {
				views = n.holder.Views()
			}
			if len(views) == 0 {
				continue
			}
			known[o] = true
			wg.Add(1)
			go func() {
				defer wg.Done()
				pctx, cancel := context.WithTimeout(ctx, time.Second)
				defer cancel()
				if _, err := mesh.Call[publishMessage, nothing](pctx, n.links, o, methodPublish, &publishMessage{Views: views}); err != nil {
					n.log.Debug("publishing failed", "owner", o, "err", err)
				}
			}()
		}
		wg.Wait()
		usage.Count(usage.Peers, start)
	}
}

// vouch settles silent machines without the cloud: when every controller has
// left a worker unanswered for its full lease, it has killed its tasks.
func (n *node) vouch(ctx context.Context) error {
	tick := time.NewTicker(vouchEvery)
	defer tick.Stop()
	lease := n.cfg.Params.Workers.LeaseS*1.002 + 0.5
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		m := &vouchMessage{}
		for name, silent := range n.owner.Suspects() {
			if silent.Seconds() > lease && len(m.Machines) < 500 {
				m.Machines = append(m.Machines, name)
			}
		}
		if len(m.Machines) == 0 {
			continue
		}
		asked := time.Now()
		least := n.unanswered(m).Unanswered
		all := true
		for _, s := range n.cfg.Peers {
			pctx, cancel := context.WithTimeout(ctx, time.Second)
			rep, err := mesh.Call[vouchMessage, vouchReply](pctx, n.links, s.Node, methodVouch, m)
			cancel()
			if err != nil || len(rep.Unanswered) != len(least) {
				all = false
				break
			}
			for i, u := range rep.Unanswered {
				least[i] = min(least[i], u)
			}
		}
		for i, name := range m.Machines {
			if all && least[i] > lease {
				n.log.Info("all controllers vouch that the machine's lease ended", "machine", name)
				n.owner.Vouched(name, asked)
			}
		}
	}
}
