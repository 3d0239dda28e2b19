package slurmapi

import (
	"errors"
	"fmt"

	"olympos.io/encoding/edn"

	"github.com/wallrack/wallrack/internal/config"
)

// Settings are the operators' settings of Slurm-style clients and accounting.
type Settings struct {
	ClusterName       string  // shown by clients
	AccountingEnabled bool    // whether accounting rows are written
	ListingsPerS      float64 // requests for listings and accounting per second that a controller admits
	DefaultClass      string  // class of jobs submitted without a partition
	DefaultTeam       string  // team of jobs submitted without an account
}

const (
	minListingsPerS = 0.1
	maxListingsPerS = 1000
)

// LoadSettings reads and validates a settings file. Its errors name the file. Every key is
// optional; a file with all keys is
//
//	(slurm
//	  (cluster "wallrack")
//	  (accounting on)
//	  (listings-per-s 5)
//	  (partition "adhoc")
//	  (account "default"))
func LoadSettings(path string) (*Settings, error) {
	return config.Load(path, ParseSettings)
}

// ParseSettings parses and validates the text of a settings file. Its errors name the invalid key.
func ParseSettings(data []byte) (*Settings, error) {
	entries, err := config.ParseEntries(data, "slurm", "(key value)")
	if err != nil {
		return nil, err
	}
	s := &Settings{ClusterName: "wallrack", ListingsPerS: 5}
	texts := map[string]*string{"cluster": &s.ClusterName, "partition": &s.DefaultClass, "account": &s.DefaultTeam}
	seen := map[string]bool{}
	for i, entry := range entries {
		pair, ok := entry.([]any)
		if !ok || len(pair) != 2 {
			return nil, fmt.Errorf("entry %d: expected (key value)", i+1)
		}
		symbol, _ := pair[0].(edn.Symbol) // a value of another type results in an unknown key
		key := string(symbol)
		if seen[key] {
			return nil, fmt.Errorf("%s: given twice", key)
		}
		seen[key] = true
		switch {
		case texts[key] != nil:
			text, ok := pair[1].(string)
			if !ok || text == "" || len(text) > 100 {
				return nil, fmt.Errorf("%s: a text of 1 to 100 bytes is needed", key)
			}
			*texts[key] = text
		case key == "accounting":
			if pair[1] != edn.Symbol("on") && pair[1] != edn.Symbol("off") {
				return nil, errors.New("accounting: on or off is needed")
			}
			s.AccountingEnabled = pair[1] == edn.Symbol("on")
		case key == "listings-per-s":
			if s.ListingsPerS, err = config.NumberInRange(pair[1], minListingsPerS, maxListingsPerS); err != nil {
				return nil, fmt.Errorf("%s: %w", key, err)
			}
		default:
			return nil, fmt.Errorf("%.40v: unknown key", pair[0])
		}
	}
	return s, nil
}
