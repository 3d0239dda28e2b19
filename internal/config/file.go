// Package config reads the settings of a controller: the platform's (TOML) and the
// operators' own (S-expressions, over built-in ones).
//
// An error names the file, the key and the reason. Settings are read once and checked
// whole; the package does not watch files, and knows no defaults of the platform's.
package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"olympos.io/encoding/edn"
)

// Seconds converts a figure of the settings.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads a file of settings with parse; errors start with the file's name.
func Load[T any](path string, parse func(data []byte) (*T, error)) (*T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, errors.Unwrap(err)) // without the path once more
	}
	settings, err := parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return settings, nil
}

// ParseEntries returns the entries of `(head entry ...)`, which is all that data may hold;
// shape describes an entry in the error.
func ParseEntries(data []byte, head, shape string) ([]any, error) {
	decoder := edn.NewDecoder(bytes.NewReader(data))
	var first, second any
	if err := decoder.Decode(&first); err != nil {
		return nil, fmt.Errorf("not an S-expression: %w", err)
	}
	if err := decoder.Decode(&second); !errors.Is(err, io.EOF) {
		return nil, errors.New("more than one expression")
	}
	list, ok := first.([]any)
	if !ok || len(list) == 0 || list[0] != edn.Symbol(head) {
		return nil, fmt.Errorf("expected (%s %s ...)", head, shape)
	}
	return list[1:], nil
}

// NumberInRange returns the number of a setting, which is an error unless it is within least
// and most, both included.
func NumberInRange(value any, least, most float64) (float64, error) {
	var number float64
	switch v := value.(type) {
	case int64:
		number = float64(v)
	case float64:
		number = v
	default:
		return 0, errors.New("not a number")
	}
	if !(number >= least && number <= most) { // NaN is outside too
		return 0, fmt.Errorf("%v is outside %v to %v", number, least, most)
	}
	return number, nil
}
