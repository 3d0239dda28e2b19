package recorded

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/goccy/go-json"
)

// Check decodes testdata/recorded/NAME.json, which must equal want, and encodes want, which must equal
// the file byte for byte.
func Check[T any](t testing.TB, name string, want T) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "recorded", name+".json"))
	if err != nil {
		t.Fatal(err)
	}
	var got T
	if err := json.Unmarshal(data, &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%s: read as %+v, %v; want %+v", name, got, err, want)
	}
	if again, err := json.Marshal(want); err != nil || string(again)+"\n" != string(data) {
		t.Errorf("%s: written as\n%s, %v; want\n%s", name, again, err, data)
	}
}

// CheckFull is Check for a sample in which every field must be set, so that each new field is
// recorded too.
func CheckFull[T any](t testing.TB, name string, want T) {
	t.Helper()
	requireSet(t, name, reflect.ValueOf(want))
	Check(t, name, want)
}

func requireSet(t testing.TB, path string, v reflect.Value) {
	t.Helper()
	if v.IsZero() {
		t.Errorf("%s: the sample has no value", path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		requireSet(t, path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			requireSet(t, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	}
}
