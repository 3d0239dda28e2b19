package slurmapi

import (
	"errors"
	"fmt"

	"olympos.io/encoding/edn"

	"github.com/wallrack/wallrack/internal/config"
)

// Settings are the operators' settings of Slurm-style clients and accounting.
type Settings struct {
	Cluster  string  // the name that clients show
	Accounts bool    // rows of accounting are written
	PerS     float64 // listings and pages a second that a controller answers
	Class    string  // of jobs whose client names no partition
	Team     string  // of jobs whose client names no account
}

const (
	minPerS = 0.1
	maxPerS = 1000
)

// LoadSettings reads and checks a file of settings, all of them optional. Its errors name the
// file. A file with all of them is
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

// ParseSettings reads the text of the operators' settings. Its errors name the key that is
// wrong.
func ParseSettings(data []byte) (*Settings, error) {
	entries, err := config.ParseEntries(data, "slurm", "(key value)")
	if err != nil {
		return nil, err
	}
	s := &Settings{Cluster: "wallrack", PerS: 5}
	texts := map[string]*string{"cluster": &s.Cluster, "partition": &s.Class, "account": &s.Team}
	seen := map[string]bool{}
	for i, entry := range entries {
		pair, ok := entry.([]any)
		if !ok || len(pair) != 2 {
			return nil, fmt.Errorf("entry %d: expected (key value)", i+1)
		}
		symbol, _ := pair[0].(edn.Symbol) // another kind is an unknown key
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
			s.Accounts = pair[1] == edn.Symbol("on")
		case key == "listings-per-s":
			if s.PerS, err = config.NumberInRange(pair[1], minPerS, maxPerS); err != nil {
				return nil, fmt.Errorf("%s: %w", key, err)
			}
		default:
			return nil, fmt.Errorf("%.40v: unknown key", pair[0])
		}
	}
	return s, nil
}
