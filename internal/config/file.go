// Package config reads the settings of a controller: those of the platform (TOML) and those of
// the operators (S-expressions, which override built-in defaults).
//
// Errors name the file, the key and the reason. Settings are read and validated once: the package
// does not watch files for changes. The platform's settings have no defaults.
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

// Seconds converts a number of seconds from the settings to a time.Duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads a settings file and parses it with parse. Errors start with the file's path.
func Load[T any](path string, parse func(data []byte) (*T, error)) (*T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, errors.Unwrap(err)) // the wrapped error does not repeat the path
	}
	settings, err := parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return settings, nil
}

// ParseEntries returns the entries of `(head entry ...)`. It is an error if data contains any other
// expression; shape describes an entry in the error message.
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

// NumberInRange converts the value of a setting to a number. It returns an error if the value is
// not a number or not between least and most, inclusive.
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
	if !(number >= least && number <= most) { // negated, so that NaN is rejected as well
		return 0, fmt.Errorf("%v is outside %v to %v", number, least, most)
	}
	return number, nil
}
