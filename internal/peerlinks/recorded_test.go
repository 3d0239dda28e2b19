package peerlinks

import (
	"testing"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/testkit/recorded"
)

// The JSON encoding of forwarded calls and the name of their method are stable.
func TestRecordedForwardMessages(t *testing.T) {
	recorded.Check(t, "forward_full", forwardMessage{To: "c2", Method: "Gone", Body: json.RawMessage(`{"machines":["n-000231"]}`)})
	recorded.Check(t, "forward_empty", forwardMessage{Body: json.RawMessage("null")})
	if MethodForward != "Forward" {
		t.Errorf("the method is named %q instead of \"Forward\"", MethodForward)
	}
}
