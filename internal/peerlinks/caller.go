package peerlinks

import (
	"context"
	"fmt"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/reachability"
)

// MethodForward is the mesh method for calls that the receiver passes on to a third controller.
// Its name is part of the protocol between controllers.
const MethodForward = "Forward"

// forwardMessage is a call to be passed on to another controller.
type forwardMessage struct {
	To     string          `json:"to"`
	Method string          `json:"method"`
	Body   json.RawMessage `json:"body"`
}

// Caller calls the other controllers and forwards calls between them. It is safe for concurrent
// use.
type Caller struct {
	mesh  *mesh.Mesh
	view  *View
	table *reachability.Table
}

// Register registers the handler for forwarded calls. It must be called before the mesh serves.
func (c *Caller) Register(m *mesh.Mesh) {
	mesh.Handle(m, MethodForward, func(ctx context.Context, f *forwardMessage) (*json.RawMessage, error) {
		if f.Method == MethodForward {
			return nil, fmt.Errorf("%s: once is enough", f.Method)
		}
		return mesh.Call[json.RawMessage, json.RawMessage](ctx, c.mesh, f.To, f.Method, &f.Body)
	})
}

// RecordResult records the outcome of a call to a peer; Call does so for direct calls. A late reply counts
// against the link only for pings, which take the peer no time to answer.
func (c *Caller) RecordResult(peer string, err error, ping bool) {
	refused, late := mesh.ClassifyError(err)
	if refused || !late || ping {
		c.table.RecordCall(peer, !refused && !late, refused)
	}
}

// Call calls a method of a peer, through a third controller if the peer is not reached from here.
// An error names the peer and wraps an error of mesh.Call or of encoding. The peer may have
// executed a call that returns an error.
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
