package usage_test

import (
	"io"
	"log/slog"
	"testing"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/testkit/recorded"
	"github.com/wallrack/wallrack/internal/usage"
)

// The keys of a reading, and the names of duties and events, which operators' tools read, do not change.
func TestRecordedReading(t *testing.T) {
	m := usage.New(1, func() map[string]int { return map[string]int{"jobs": 3} }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	data, err := json.Marshal(m.Read())
	if err != nil {
		t.Fatal(err)
	}
	recorded.Compare(t, "reading.txt", recorded.Shape(t, data))
}
