package peerlinks

import (
	"testing"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/testkit/recorded"
)

// A call that a third controller passes on keeps its form and its method.
func TestRecordedForwardMessages(t *testing.T) {
	recorded.Check(t, "forward_full", forwardMessage{To: "c2", Method: "Gone", Body: json.RawMessage(`{"machines":["n-000231"]}`)})
	recorded.Check(t, "forward_empty", forwardMessage{Body: json.RawMessage("null")})
	if MethodForward != "Forward" {
		t.Errorf("the method \"Forward\" is called %q", MethodForward)
	}
}
