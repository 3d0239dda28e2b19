package cancellation_test

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/cancellation"
)

// checkRecorded reads a file of testdata/recorded, compares the value with want, and
// compares the encoding of want with the file byte for byte.
func checkRecorded[T any](t *testing.T, file string, want T) {
	t.Helper()
	path := filepath.Join("testdata", "recorded", file)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var got T
	if err := json.Unmarshal(text, &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%s is read as %+v, %v; want %+v", file, got, err, want)
	}
	if encoded, err := json.Marshal(want); err != nil || string(encoded)+"\n" != string(text) {
		t.Errorf("%s: encoded as %s, %v; want %s", file, encoded, err, text)
	}
}

// Controllers of different versions exchange the messages, so their form must not change.
func TestRecordedForms(t *testing.T) {
	checkRecorded(t, "message.json", cancellation.Message{
		Incarnation: 18446744073709551615, Stamp: 123456789, EchoIncarnation: 9007199254740993, Echo: 987654, MayConfirm: true,
		Ack: 17, First: 18, Updates: []string{"j-1", "j-svc-tips-1-2"}, More: true,
	})
	checkRecorded(t, "message_least.json", cancellation.Message{})
}
