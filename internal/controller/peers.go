package controller

import (
	"context"
	"fmt"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/reachability"
)

// forwardMessage is a call that a third controller passes on.
type forwardMessage struct {
	To     string          `json:"to"`
	Method string          `json:"method"`
	Body   json.RawMessage `json:"body"`
}

// peerCaller calls the other controllers, and passes their calls of each other on.
type peerCaller struct {
	mesh  *mesh.Mesh
	links *linkView
	table *reachability.Table
}

func (p *peerCaller) register(m *mesh.Mesh) {
	mesh.Handle(m, methodForward, func(ctx context.Context, f *forwardMessage) (*json.RawMessage, error) {
		if f.Method == methodForward {
			return nil, fmt.Errorf("%s: once is enough", f.Method)
		}
		return mesh.Call[json.RawMessage, json.RawMessage](ctx, p.mesh, f.To, f.Method, &f.Body)
	})
}

// record notes how a call to a peer ended. Only pings, which take no time, count against
// the link when they are late.
func (p *peerCaller) record(peer string, err error, ping bool) {
	refused, late := mesh.Unanswered(err)
	if refused || !late || ping {
		p.table.RecordCall(peer, !refused && !late, refused)
	}
}

// call calls a peer, by way of a third if it is not reached from here.
func call[Req, Rep any](ctx context.Context, p *peerCaller, peer, method string, req *Req) (*Rep, error) {
	hop := p.links.now().NextHop(peer)
	if hop == peer {
		rep, err := mesh.Call[Req, Rep](ctx, p.mesh, peer, method, req)
		p.record(peer, err, false)
		return rep, err
	}
	body, err := json.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("%s to %s: %w", method, peer, err)
	}
	raw, err := mesh.Call[forwardMessage, json.RawMessage](ctx, p.mesh, hop, methodForward, &forwardMessage{To: peer, Method: method, Body: body})
	if err != nil {
		return nil, fmt.Errorf("%s to %s by %s: %w", method, peer, hop, err)
	}
	rep := new(Rep)
	if err := json.Unmarshal(*raw, rep); err != nil {
		return nil, fmt.Errorf("%s to %s by %s: %w", method, peer, hop, err)
	}
	return rep, nil
}
