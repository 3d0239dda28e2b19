// Package recorded lets tests check that the format of data that users, operators and other versions
// read does not change: it compares data byte for byte with the samples in testdata/recorded.
package recorded

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

const (
	directory = "testdata/recorded"
	// recordVariable is the environment variable that lets a test write missing samples.
	// An existing sample is never overwritten: delete it first.
	recordVariable = "RECORD_SAMPLES"
)

// Read returns the content of a sample of the package under test.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(directory, name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Compare checks that got equals the sample byte for byte.
func Compare(t testing.TB, name string, got []byte) {
	t.Helper()
	path := filepath.Join(directory, name)
	want, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && os.Getenv(recordVariable) != "" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: the form changed\ngot:\n%s\nrecorded:\n%s", name, got, want)
	}
}

// CompareJSON checks that a value with all fields set, encoded and followed by a newline, equals the
// sample, and that decoding the sample returns the value.
func CompareJSON[T any](t testing.TB, name string, marshal func(any) ([]byte, error), unmarshal func([]byte, any) error) {
	t.Helper()
	var value, decoded T
	Fill(&value)
	data, err := marshal(value)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	Compare(t, name, append(data, '\n'))
	if err := unmarshal(Read(t, name), &decoded); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if !reflect.DeepEqual(decoded, value) {
		t.Errorf("%s: decoded to %+v, not %+v", name, decoded, value)
	}
}

// Fill sets every field of the value that pointer points to, each to a different value that depends
// only on the order of the fields, not on their names. A slice gets two elements, a map one.
// Fields with the json tag "-" stay empty.
func Fill(pointer any) {
	next := 0
	fill(reflect.ValueOf(pointer).Elem(), &next)
}

func fill(value reflect.Value, next *int) {
	if at, isTime := value.Addr().Interface().(*time.Time); isTime {
		*next++
		*at = time.Unix(int64(1_700_000_000+*next), 0).UTC()
		return
	}
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.IsExported() && field.Tag.Get("json") != "-" {
				fill(value.Field(i), next)
			}
		}
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), next)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		fill(value.Index(0), next)
		fill(value.Index(1), next)
	case reflect.Map:
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fill(key, next)
		fill(element, next)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, element)
	default:
		*next++
		fillScalar(value, *next)
	}
}

func fillScalar(value reflect.Value, n int) {
	switch {
	case value.Kind() == reflect.String:
		value.SetString(fmt.Sprintf("text-%d", n))
	case value.Kind() == reflect.Bool:
		value.SetBool(true)
	case value.CanInt():
		value.SetInt(int64(n))
	case value.CanUint():
		value.SetUint(uint64(n))
	case value.CanFloat():
		value.SetFloat(float64(n) + 0.5)
	default:
		panic("recorded: can't fill a " + value.Type().String())
	}
}

// Shape returns the paths of a JSON text with their types, one per line. "[]" stands for an element
// of a list. Below the paths in free, names are not part of the format and are replaced by "*".
func Shape(t testing.TB, data []byte, free ...string) []byte {
	t.Helper()
	var value any
	if err := json.Unmarshal(data, &value); err != nil {
		t.Fatalf("%v: %s", err, data)
	}
	lines := map[string]bool{}
	shape(value, "", free, lines)
	sorted := make([]string, 0, len(lines))
	for line := range lines {
		sorted = append(sorted, line)
	}
	slices.Sort(sorted)
	return []byte(strings.Join(sorted, "\n") + "\n")
}

func shape(value any, path string, free []string, lines map[string]bool) {
	switch v := value.(type) {
	case map[string]any:
		lines[path+" object"] = true
		for name, element := range v {
			if slices.Contains(free, path) {
				name = "*"
			}
			shape(element, strings.TrimPrefix(path+"."+name, "."), free, lines)
		}
	case []any:
		lines[path+" list"] = true
		for _, element := range v {
			shape(element, path+"[]", free, lines)
		}
	case string:
		lines[path+" text"] = true
	case float64:
		lines[path+" number"] = true
	case bool:
		lines[path+" truth"] = true
	default:
		lines[path+" null"] = true
	}
}
