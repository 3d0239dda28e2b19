package mesh_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/mesh"
)

type textMessage struct {
	Text string `json:"text"`
}

// A call returns the reply or the error of the peer's handler. A call to a peer that does not
// listen or is not configured fails at once.
func TestCallToUnreachablePeerFailsAtOnce(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	_ = listener.Close()
	m, err := mesh.New(map[string]string{"a": addr, "gone": "127.0.0.1:1"})
	if err != nil {
		t.Fatal(err)
	}
	defer m.Close()
	mesh.Handle(m, "Shout", func(_ context.Context, n *textMessage) (*textMessage, error) {
		if n.Text == "" {
			return nil, errors.New("nothing to say")
		}
		return &textMessage{strings.ToUpper(n.Text)}, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan struct{})
	go func() { defer close(served); _ = m.Serve(ctx, addr) }()
	defer func() { cancel(); <-served }()
	call := func(peer, text string) (*textMessage, error) {
		callCtx, done := context.WithTimeout(ctx, 5*time.Second)
		defer done()
		return mesh.Call[textMessage, textMessage](callCtx, m, peer, "Shout", &textMessage{text})
	}
	var rep *textMessage
	for start := time.Now(); time.Since(start) < 5*time.Second; time.Sleep(10 * time.Millisecond) {
		if rep, err = call("a", "hey"); err == nil {
			break
		}
	}
	if err != nil || rep.Text != "HEY" {
		t.Fatalf("%+v, %v", rep, err)
	}
	if _, err := call("a", ""); err == nil || !strings.Contains(err.Error(), "nothing to say") {
		t.Errorf("the handler's error was lost: %v", err)
	}
	if _, err := call("nobody", "hey"); !errors.Is(err, mesh.ErrNoPeer) {
		t.Errorf("unknown peer: %v", err)
	}
	if start := time.Now(); true {
		if _, err := call("gone", "hey"); err == nil || time.Since(start) > 4*time.Second {
			t.Errorf("call to a peer that does not listen: %v after %v", err, time.Since(start))
		}
	}
}
