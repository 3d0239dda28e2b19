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

// Operator holds the operators' settings, which are the tunable parameters of the scheduler. C is
// the placement cost: the scheduler prefers the worker with the lowest C.
type Operator struct {
	Shards                int     // number of shards; a job's shard is derived from a hash
	ShardControllers      int     // number of controllers over which the shards are distributed
	LeaseS                float64 // TTL of a controller's lease in the state service
	WorkerFailureCost     float64 // weight of a worker failure in C: K_fail of the paper
	QueueHorizonS         float64 // a task is placed on a worker only if its expected wait there is at most this
	RandomCostS           float64 // upper bound of the random term in C
	PublishIntervalS      float64 // interval at which dispatchers send views to leaders on other controllers
	WorkerConnectionShare float64 // share of a controller's connections above which workers are also assigned to other controllers; 0: never
	ReplaceAfterS         float64 // wait beyond the expected wait, after which a queued task is also placed on another worker
	HeartbeatTimeoutS     float64 // time without a heartbeat after which a machine is deleted
	IdleTimeoutS          float64 // idle time after which a machine is deleted
	HeadroomPct           float64 // spare capacity to provision above the demand, in percent
	PackingPreferenceS    float64 // amount added to C for an empty worker; a proportional amount is added for a partly empty one
	OnDemandHeadroomPct   float64 // HeadroomPct for capacity that only on-demand machines can provide
	LateStartCostS        float64 // amount added to C if a task would miss its start objective
	SpotPreferenceShare   float64 // share of C added for a machine at twice the spot price; a proportional share is added for other prices
}

// setting describes a key: the bounds of its value, inclusive, and the field that it sets.
type setting struct {
	min, max float64
	set      func(*Operator, float64)
	integer  bool // the value must be a whole number
}

var settings = map[string]setting{
	"shards":                {1, 256, func(o *Operator, v float64) { o.Shards = int(v) }, true},
	"spread":                {1, 64, func(o *Operator, v float64) { o.ShardControllers = int(v) }, true},
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

// LoadOperator returns the built-in settings, overridden by those in the file at path. If path is
// empty, it returns the built-in settings.
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

// ParseOperator returns a copy of base with the settings in `(wallrack (key value) ...)` applied.
// Unknown keys, duplicate keys, invalid values, and more shard controllers than shards are errors.
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
	if operator.ShardControllers > operator.Shards {
		return nil, fmt.Errorf("spread: %d controllers can't share %d shards", operator.ShardControllers, operator.Shards)
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

// apply validates the value and sets the field.
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
