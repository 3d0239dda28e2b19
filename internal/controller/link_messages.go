package controller

import (
	"context"
	"fmt"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/cancellation"
	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/reachability"
	"github.com/wallrack/wallrack/internal/statestore"
)

// pingMessage carries a controller's row, and others' rows to those who lack them.
type pingMessage struct {
	Row     reachability.NodeStatus      `json:"row"`
	Cancels *cancellation.Message        `json:"cancels,omitempty"`
	Passed  []reachability.RelayedStatus `json:"passed,omitempty"`
}

// forwardMessage is a message that a third controller passes on.
type forwardMessage struct {
	To     string          `json:"to"`
	Method string          `json:"method"`
	Body   json.RawMessage `json:"body"`
}

// seenMessage asks whether a machine lives.
type seenMessage struct {
	Machine  string `json:"machine"`
	Endpoint string `json:"endpoint"`
	Deaf     bool   `json:"deaf,omitempty"` // that it is heard is known: does it answer?
}

type seenReply struct {
	Lives bool `json:"lives"` // it was heard lately, or answers
}

func (n *node) handleLinks() {
	mesh.Handle(n.mesh, methodPing, func(_ context.Context, m *pingMessage) (*pingMessage, error) {
		now := time.Now()
		n.links.table.Update(m.Row, reachability.Direct, 0, now)
		n.links.table.UpdateRelayed(m.Passed, now)
		n.tookCancels(m.Row.Node, m.Cancels)
		n.try(m.Row.ProbeSample)
		return n.pingTo(m.Row.Node, time.Now()), nil
	})
	mesh.Handle(n.mesh, methodForward, func(ctx context.Context, m *forwardMessage) (*json.RawMessage, error) {
		if m.Method == methodForward {
			return nil, fmt.Errorf("%s: once is enough", m.Method)
		}
		return mesh.Call[json.RawMessage, json.RawMessage](ctx, n.mesh, m.To, m.Method, &m.Body)
	})
	mesh.Handle(n.mesh, methodSeen, func(ctx context.Context, m *seenMessage) (*seenReply, error) {
		return &seenReply{!m.Deaf && n.holder.SinceHeartbeat(m.Machine).Seconds() < n.op.SilentS || m.Endpoint != "" && n.holder.FetchReport(ctx, m.Machine, m.Endpoint)}, nil
	})
	mesh.Handle(n.mesh, methodStore, func(ctx context.Context, m *statestore.RelayedRequest) (*statestore.RelayedResponse, error) {
		return n.store.ServeRelayed(ctx, *m)
	})
}

func (n *node) pingTo(peer string, now time.Time) *pingMessage {
	told := n.cancels.MessageFor(peer)
	return &pingMessage{Row: n.links.self(now), Passed: n.links.table.RelayFor(peer, now), Cancels: &told}
}

// ping keeps the peers' rows fresh: a ping carries this controller's row, its
// answer the peer's.
func (n *node) ping(ctx context.Context) error {
	tick := time.NewTicker(pingEvery)
	defer tick.Stop()
	for {
		for _, s := range n.cfg.Peers {
			if n.links.table.HeardWithin(s.Node, pingEvery*3/4, time.Now()) {
				continue // it has just pinged this controller
			}
			go n.pingPeer(ctx, s.Node)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

func (n *node) pingPeer(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, pingEvery)
	defer cancel()
	rep, err := mesh.Call[pingMessage, pingMessage](ctx, n.mesh, peer, methodPing, n.pingTo(peer, time.Now()))
	n.called(peer, err, true)
	if err == nil {
		now := time.Now()
		n.links.table.Update(rep.Row, reachability.Direct, 0, now)
		n.links.table.UpdateRelayed(rep.Passed, now)
		n.tookCancels(peer, rep.Cancels)
	}
}

// called notes how a call to a peer ended. Only pings, which take no time, tell of
// the link by being late.
func (n *node) called(peer string, err error, ping bool) {
	refused, late := mesh.Unanswered(err)
	if refused || !late || ping {
		n.links.table.RecordCall(peer, !refused && !late, refused)
	}
}

// call sends a message to a peer, by a third if the peer is not reached from here.
func call[Req, Rep any](ctx context.Context, n *node, peer, method string, req *Req) (*Rep, error) {
	way := n.links.now().NextHop(peer)
	if way == peer {
		rep, err := mesh.Call[Req, Rep](ctx, n.mesh, peer, method, req)
		n.called(peer, err, false)
		return rep, err
	}
	body, err := json.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("%s to %s: %w", method, peer, err)
	}
	raw, err := mesh.Call[forwardMessage, json.RawMessage](ctx, n.mesh, way, methodForward, &forwardMessage{To: peer, Method: method, Body: body})
	if err != nil {
		return nil, fmt.Errorf("%s to %s by %s: %w", method, peer, way, err)
	}
	rep := new(Rep)
	if err := json.Unmarshal(*raw, rep); err != nil {
		return nil, fmt.Errorf("%s to %s by %s: %w", method, peer, way, err)
	}
	return rep, nil
}

// stored takes a row that a controller wrote to the state service.
func (n *node) stored(value json.RawMessage) {
	var r reachability.NodeStatus
	if err := json.Unmarshal(value, &r); err != nil {
		n.log.Debug("unreadable row of links", "err", err)
		return
	}
	n.links.table.Update(r, reachability.ViaStore, 0, time.Now())
	if r.Node != n.cfg.Node && len(r.ProbeSample) > 0 {
		go n.try(r.ProbeSample)
	}
}
