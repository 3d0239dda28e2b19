package config

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"math"
	"os"

	"olympos.io/encoding/edn"
)

//go:embed operator.sexp
var defaultOperator []byte

// Operator holds the operators' own settings; every one of the design's open
// values is here.
type Operator struct {
	Shards      int     // shards that jobs hash to
	Spread      int     // controllers that shards are spread over
	LeaseS      float64 // life of a controller's lease in the state service
	KFail       float64 // K_fail of the paper
	HorizonS    float64 // longest wait at which a match is dispatched
	RandomS     float64 // size of the random term in C
	PublishS    float64 // how often holders publish to other owners
	WorkerShare float64 // part of a controller's connections that workers may take before others hold some; 0: they never do
	ReplaceS    float64 // excess wait that makes a queued task look elsewhere
	SilentS     float64 // silence after which a machine is returned
	IdleS       float64 // idle time after which a machine is returned
	HeadroomPct float64 // capacity kept beyond the demand, in percent
	PackS       float64 // seconds by which full machines are preferred to empty ones
	DearHeadPct float64 // the same where only ordinary machines could give it
	LateS       float64 // seconds that missing an aim for a start counts in C
	DearShare   float64 // share of C by which a machine at twice the spot price is put back
}

type setting struct {
	min, max float64
	set      func(*Operator, float64)
	whole    bool
}

var settings = map[string]setting{
	"shards":                {1, 256, func(o *Operator, v float64) { o.Shards = int(v) }, true},
	"spread":                {1, 64, func(o *Operator, v float64) { o.Spread = int(v) }, true},
	"lease-s":               {2, 60, func(o *Operator, v float64) { o.LeaseS = v }, false},
	"k-fail":                {1, 100, func(o *Operator, v float64) { o.KFail = v }, false},
	"queue-horizon-s":       {0, 600, func(o *Operator, v float64) { o.HorizonS = v }, false},
	"random-s":              {0, 60, func(o *Operator, v float64) { o.RandomS = v }, false},
	"worker-share":          {0, 1, func(o *Operator, v float64) { o.WorkerShare = v }, false},
	"publish-s":             {0.1, 60, func(o *Operator, v float64) { o.PublishS = v }, false},
	"replace-s":             {0.5, 600, func(o *Operator, v float64) { o.ReplaceS = v }, false},
	"silent-s":              {3, 600, func(o *Operator, v float64) { o.SilentS = v }, false},
	"idle-s":                {1, 3600, func(o *Operator, v float64) { o.IdleS = v }, false},
	"pack-s":                {0, 60, func(o *Operator, v float64) { o.PackS = v }, false},
	"dear-share":            {0, 10, func(o *Operator, v float64) { o.DearShare = v }, false},
	"late-start-s":          {0, 3600, func(o *Operator, v float64) { o.LateS = v }, false},
	"dear-headroom-percent": {0, 500, func(o *Operator, v float64) { o.DearHeadPct = v }, false},
	"headroom-percent":      {0, 500, func(o *Operator, v float64) { o.HeadroomPct = v }, false},
}

// LoadOperator reads the operators' settings over the built-in ones; an empty
// path means the built-in ones alone.
func LoadOperator(path string) (*Operator, error) {
	op, err := ParseOperator(defaultOperator, &Operator{})
	if err != nil {
		return nil, fmt.Errorf("built-in settings: %w", err)
	}
	if path == "" {
		return op, nil
	}
	return Load(path, func(data []byte) (*Operator, error) { return ParseOperator(data, op) })
}

// Load reads a file of settings; errors name the file.
func Load[T any](path string, parse func(data []byte) (*T, error)) (*T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, errors.Unwrap(err))
	}
	s, err := parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Entries reads the entries of `(head entry ...)`, all that data may hold; shape
// describes an entry in the error.
func Entries(data []byte, head, shape string) ([]any, error) {
	dec := edn.NewDecoder(bytes.NewReader(data))
	var top, rest any
	if err := dec.Decode(&top); err != nil {
		return nil, fmt.Errorf("not an S-expression: %w", err)
	}
	if err := dec.Decode(&rest); !errors.Is(err, io.EOF) {
		return nil, errors.New("more than one expression")
	}
	list, ok := top.([]any)
	if !ok || len(list) == 0 || list[0] != edn.Symbol(head) {
		return nil, fmt.Errorf("expected (%s %s ...)", head, shape)
	}
	return list[1:], nil
}

// Number reads the number of a setting, which is to be within min and max.
func Number(value any, min, max float64) (float64, error) {
	var v float64
	switch n := value.(type) {
	case int64:
		v = float64(n)
	case float64:
		v = n
	default:
		return 0, errors.New("not a number")
	}
	if !(v >= min && v <= max) {
		return 0, fmt.Errorf("%v is outside %v to %v", v, min, max)
	}
	return v, nil
}

// ParseOperator reads `(wallrack (key value) ...)` over base.
func ParseOperator(data []byte, base *Operator) (*Operator, error) {
	op := *base
	entries, err := Entries(data, "wallrack", "(key value)")
	if err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for i, e := range entries {
		pair, ok := e.([]any)
		if !ok || len(pair) != 2 {
			return nil, fmt.Errorf("entry %d: expected (key value)", i+1)
		}
		sym, ok := pair[0].(edn.Symbol)
		if !ok {
			return nil, fmt.Errorf("entry %d: key is not a symbol", i+1)
		}
		key := string(sym)
		s, known := settings[key]
		switch {
		case !known:
			return nil, fmt.Errorf("%s: unknown key", key)
		case seen[key]:
			return nil, fmt.Errorf("%s: given twice", key)
		}
		seen[key] = true
		v, err := Number(pair[1], s.min, s.max)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", key, err)
		}
		if s.whole && v != math.Trunc(v) {
			return nil, fmt.Errorf("%s: %v is not a whole number", key, v)
		}
		s.set(&op, v)
	}
	if op.Spread > op.Shards {
		return nil, fmt.Errorf("spread: %d controllers can't share %d shards", op.Spread, op.Shards)
	}
	return &op, nil
}
