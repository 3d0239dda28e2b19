package peerlinks

import (
	"context"
	"fmt"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/reachability"
)

// MethodForward is the mesh's method for calls that are passed on. Controllers of other versions
// call it by this name.
const MethodForward = "Forward"

// forwardMessage is a call that a third controller passes on.
type forwardMessage struct {
	To     string          `json:"to"`
	Method string          `json:"method"`
	Body   json.RawMessage `json:"body"`
}

// Caller calls the other controllers, and passes their calls of each other on. It is safe for
// concurrent use.
type Caller struct {
	mesh  *mesh.Mesh
	view  *View
	table *reachability.Table
}

// Register adds what peers call. Call it before the mesh serves.
func (c *Caller) Register(m *mesh.Mesh) {
	mesh.Handle(m, MethodForward, func(ctx context.Context, f *forwardMessage) (*json.RawMessage, error) {
		if f.Method == MethodForward {
			return nil, fmt.Errorf("%s: once is enough", f.Method)
		}
		return mesh.Call[json.RawMessage, json.RawMessage](ctx, c.mesh, f.To, f.Method, &f.Body)
	})
}

// RecordResult notes how a call to a peer ended; Call does so itself. Only pings, which take no time,
// count against the link when they are late.
func (c *Caller) RecordResult(peer string, err error, ping bool) {
	refused, late := mesh.ClassifyError(err)
	if refused || !late || ping {
		c.table.RecordCall(peer, !refused && !late, refused)
	}
}

// Call calls a peer's method, by way of a third if it is not reached from here. An error says
// which peer was called, and is one of mesh.Call's or of the message's encoding. The peer may have
// carried out a call that failed.
func Call[Req, Rep any](ctx context.Context, c *Caller, peer, method string, req *Req) (*Rep, error) {
	hop := c.view.Now().NextHop(peer)
	if hop == peer {
		rep, err := mesh.Call[Req, Rep](ctx, c.mesh, peer, method, req)
		c.RecordResult(peer, err, false)
		return rep, err
	}
	body, err := json.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("%s to %s: %w", method, peer, err)
	}
	raw, err := mesh.Call[forwardMessage, json.RawMessage](ctx, c.mesh, hop, MethodForward, &forwardMessage{To: peer, Method: method, Body: body})
	if err != nil {
		return nil, fmt.Errorf("%s to %s by %s: %w", method, peer, hop, err)
	}
	rep := new(Rep)
	if err := json.Unmarshal(*raw, rep); err != nil {
		return nil, fmt.Errorf("%s to %s by %s: %w", method, peer, hop, err)
	}
	return rep, nil
}
