package cancellation_test

import (
	"testing"

	"github.com/wallrack/wallrack/internal/cancellation"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
)

// The JSON encoding is stable, since controllers of different versions exchange these messages.
func TestRecordedForms(t *testing.T) {
	recorded.Check(t, "message", cancellation.Message{
		Incarnation: 18446744073709551615, Stamp: 123456789, EchoIncarnation: 9007199254740993, Echo: 987654, MayConfirm: true,
		Ack: 17, First: 18, Updates: []string{"j-1", "j-svc-tips-1-2"}, More: true,
	})
	recorded.Check(t, "message_least", cancellation.Message{})
}
