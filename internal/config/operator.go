package config

import (
	_ "embed"
	"errors"
	"fmt"
	"math"

	"olympos.io/encoding/edn"
)

//go:embed operator.sexp
var defaultOperator []byte

// Operator holds the operators' own settings; every one of the design's open
// values is here. C is the cost by which a placement is chosen.
type Operator struct {
	Shards                int     // shards that jobs hash to
	SpreadControllers     int     // controllers that shards are spread over
	LeaseS                float64 // TTL of a controller's lease in the state service
	WorkerFailureCost     float64 // cost of losing a worker: K_fail of the paper
	QueueHorizonS         float64 // longest wait at which a match is dispatched
	RandomCostS           float64 // size of the random term in C
	PublishIntervalS      float64 // interval at which dispatchers publish to leaders elsewhere
	WorkerConnectionShare float64 // part of a controller's connections that workers may take before they are assigned to others too; 0: they never are
	ReplaceAfterS         float64 // excess wait from which on a queued task gets another placement
	HeartbeatTimeoutS     float64 // heartbeat timeout from which on a machine is deleted
	IdleTimeoutS          float64 // idle time from which on a machine is deleted
	HeadroomPct           float64 // capacity kept beyond the demand, in percent
	PackingPreferenceS    float64 // seconds by which full workers are preferred to empty ones
	OnDemandHeadroomPct   float64 // the headroom where only on-demand machines could give it, in percent
	LateStartCostS        float64 // seconds that missing an objective for a start counts in C
	SpotPreferenceShare   float64 // share of C by which a machine at twice the spot price is less preferred
}

// setting is a key's bounds, both included, and the field it sets.
type setting struct {
	min, max float64
	set      func(*Operator, float64)
	integer  bool // the value must be a whole number
}

var settings = map[string]setting{
	"shards":                {1, 256, func(o *Operator, v float64) { o.Shards = int(v) }, true},
	"spread":                {1, 64, func(o *Operator, v float64) { o.SpreadControllers = int(v) }, true},
	"lease-s":               {2, 60, func(o *Operator, v float64) { o.LeaseS = v }, false},
	"k-fail":                {1, 100, func(o *Operator, v float64) { o.WorkerFailureCost = v }, false},
	"queue-horizon-s":       {0, 600, func(o *Operator, v float64) { o.QueueHorizonS = v }, false},
	"random-s":              {0, 60, func(o *Operator, v float64) { o.RandomCostS = v }, false},
	"worker-share":          {0, 1, func(o *Operator, v float64) { o.WorkerConnectionShare = v }, false},
	"publish-s":             {0.1, 60, func(o *Operator, v float64) { o.PublishIntervalS = v }, false},
	"replace-s":             {0.5, 600, func(o *Operator, v float64) { o.ReplaceAfterS = v }, false},
	"silent-s":              {3, 600, func(o *Operator, v float64) { o.HeartbeatTimeoutS = v }, false},
	"idle-s":                {1, 3600, func(o *Operator, v float64) { o.IdleTimeoutS = v }, false},
	"pack-s":                {0, 60, func(o *Operator, v float64) { o.PackingPreferenceS = v }, false},
	"dear-share":            {0, 10, func(o *Operator, v float64) { o.SpotPreferenceShare = v }, false},
	"late-start-s":          {0, 3600, func(o *Operator, v float64) { o.LateStartCostS = v }, false},
	"dear-headroom-percent": {0, 500, func(o *Operator, v float64) { o.OnDemandHeadroomPct = v }, false},
	"headroom-percent":      {0, 500, func(o *Operator, v float64) { o.HeadroomPct = v }, false},
}

// LoadOperator reads the operators' settings over the built-in ones; an empty
// path means the built-in ones alone.
func LoadOperator(path string) (*Operator, error) {
	operator, err := ParseOperator(defaultOperator, &Operator{})
	if err != nil {
		return nil, fmt.Errorf("built-in settings: %w", err)
	}
	if path == "" {
		return operator, nil
	}
	return Load(path, func(data []byte) (*Operator, error) { return ParseOperator(data, operator) })
}

// ParseOperator reads `(wallrack (key value) ...)` over base, which stays as it is. An
// unknown key, one given twice, and a value out of bounds are errors.
func ParseOperator(data []byte, base *Operator) (*Operator, error) {
	operator := *base
	entries, err := ParseEntries(data, "wallrack", "(key value)")
	if err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for i, entry := range entries {
		key, value, err := parseKeyValue(entry)
		if err != nil {
			return nil, fmt.Errorf("entry %d: %w", i+1, err)
		}
		setting, known := settings[key]
		switch {
		case !known:
			return nil, fmt.Errorf("%s: unknown key", key)
		case seen[key]:
			return nil, fmt.Errorf("%s: given twice", key)
		}
		seen[key] = true
		if err := setting.apply(&operator, value); err != nil {
			return nil, fmt.Errorf("%s: %w", key, err)
		}
	}
	if operator.SpreadControllers > operator.Shards {
		return nil, fmt.Errorf("spread: %d controllers can't share %d shards", operator.SpreadControllers, operator.Shards)
	}
	return &operator, nil
}

func parseKeyValue(entry any) (key string, value any, err error) {
	pair, ok := entry.([]any)
	if !ok || len(pair) != 2 {
		return "", nil, errors.New("expected (key value)")
	}
	symbol, ok := pair[0].(edn.Symbol)
	if !ok {
		return "", nil, errors.New("key is not a symbol")
	}
	return string(symbol), pair[1], nil
}

// apply sets the field to a value, if it is within the bounds.
func (s *setting) apply(operator *Operator, value any) error {
	number, err := NumberInRange(value, s.min, s.max)
	if err != nil {
		return err
	}
	if s.integer && number != math.Trunc(number) {
		return fmt.Errorf("%v is not a whole number", number)
	}
	s.set(operator, number)
	return nil
}
