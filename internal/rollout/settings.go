package rollout

import (
	"errors"
	"fmt"
	"net/url"
	"time"
	_ "time/tzdata" // time zones for machines without a zone database

	"github.com/robfig/cron/v3"
	"olympos.io/encoding/edn"

	"github.com/wallrack/wallrack/internal/config"
)

// Slot is a recurring blackout window. No step of a roll-out begins in it, unless Spec.IgnoreSlots
// is set.
type Slot struct {
	Name   string
	Start  cron.Schedule // in the slot's zone
	Length time.Duration
}

// Settings are the operators' settings of roll-outs.
type Settings struct {
	Descriptions string // base URL of the description service
	Slots        []Slot
	Classes      []string // classes of jobs; no step begins while a job of one of them is unfinished
}

const maxSlot = 7 * 24 * time.Hour

// LoadSettings reads and validates a settings file. Its errors name the file. An example:
//
//	(rollouts
//	  (descriptions "http://127.0.0.1:7700")
//	  (slot "nightly split" "30 1 * * *" "Europe/London" 90) ; schedule, zone, minutes
//	  (slot-class "tip-split"))
func LoadSettings(path string) (*Settings, error) {
	return config.Load(path, ParseSettings)
}

// ParseSettings parses and validates the text of a settings file. Its errors name the invalid entry.
func ParseSettings(data []byte) (*Settings, error) {
	entries, err := config.ParseEntries(data, "rollouts", "(key value ...)")
	if err != nil {
		return nil, err
	}
	s := &Settings{}
	for i, value := range entries {
		entry, ok := value.([]any)
		if !ok || len(entry) == 0 {
			return nil, fmt.Errorf("entry %d: expected (key value ...)", i+1)
		}
		key, _ := entry[0].(edn.Symbol) // a value of another type results in an empty key, which is rejected below as unknown
		texts := make([]string, len(entry))
		for k, text := range entry[1:] {
			texts[k+1], _ = text.(string) // empty for a value of another type; the cases below reject empty texts
		}
		switch {
		case key == "descriptions" && len(entry) == 2:
			if u, err := url.Parse(texts[1]); err != nil || u.Scheme != "http" || u.Host == "" {
				return nil, fmt.Errorf("descriptions: %q is not http://HOST:PORT", texts[1])
			}
			s.Descriptions = texts[1]
		case key == "slot-class" && len(entry) == 2:
			if texts[1] == "" {
				return nil, errors.New("slot-class: a class's name is needed")
			}
			s.Classes = append(s.Classes, texts[1])
		case key == "slot" && len(entry) == 5:
			slot, err := parseSlot(texts[1], texts[2], texts[3], entry[4])
			if err != nil {
				return nil, fmt.Errorf("slot %q: %w", texts[1], err)
			}
			s.Slots = append(s.Slots, *slot)
		default:
			return nil, fmt.Errorf("%s: unknown key, or not as many values as it takes", key)
		}
	}
	if s.Descriptions == "" {
		return nil, errors.New("descriptions: missing")
	}
	return s, nil
}

// parseSlot parses a slot: its start as a cron spec in a time zone, and its length in minutes.
func parseSlot(name, spec, zone string, minutes any) (*Slot, error) {
	minuteCount, ok := minutes.(int64)
	length := time.Duration(minuteCount) * time.Minute
	if name == "" || !ok || minuteCount < 1 || length > maxSlot {
		return nil, errors.New("a name, a calendar, a zone and 1 to 10080 minutes are needed")
	}
	location, err := time.LoadLocation(zone)
	if err != nil || zone == "" {
		return nil, fmt.Errorf("zone %q is unknown", zone)
	}
	start, err := cron.ParseStandard("TZ=" + location.String() + " " + spec)
	if err != nil {
		return nil, fmt.Errorf("calendar %q: %w", spec, err)
	}
	first := start.Next(time.Now())
	if first.IsZero() {
		return nil, fmt.Errorf("calendar %q never comes", spec)
	}
	// Slots without a gap between them would block roll-outs for ever.
	if second := start.Next(first); !second.IsZero() && second.Sub(first) <= length {
		return nil, fmt.Errorf("calendar %q leaves no time between slots of %d minutes", spec, minuteCount)
	}
	return &Slot{Name: name, Start: start, Length: length}, nil
}

// ActiveAt reports whether now is within an occurrence of the slot and, if so, when this occurrence
// ends.
func (s *Slot) ActiveAt(now time.Time) (until time.Time, active bool) {
	start := s.Start.Next(now.Add(-s.Length))
	if start.IsZero() || start.After(now) {
		return time.Time{}, false
	}
	return start.Add(s.Length), true
}

// BlockedReason returns the reason why no step may begin now, or "". The function unfinished
// reports whether a job of a class is unfinished.
func (s *Settings) BlockedReason(now time.Time, unfinished func(class string) bool) string {
	for i := range s.Slots {
		if until, on := s.Slots[i].ActiveAt(now); on {
			return fmt.Sprintf("slot %q until %s", s.Slots[i].Name, until.UTC().Format(time.RFC3339))
		}
	}
	for _, class := range s.Classes {
		if unfinished(class) {
			return fmt.Sprintf("a job of class %q is unfinished", class)
		}
	}
	return ""
}
