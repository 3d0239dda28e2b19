package rollout_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/rollout"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
)

// Every key of the settings is accepted and sets its field. No key has a default.
func TestRecordedSettings(t *testing.T) {
	s, err := rollout.LoadSettings("testdata/recorded/rollouts.sexp")
	if err != nil {
		t.Fatal(err)
	}
	if s.Descriptions != "http://127.0.0.1:7700" || len(s.Classes) != 2 || s.Classes[0] != "tip-split" || s.Classes[1] != "audit" || len(s.Slots) != 2 {
		t.Fatalf("%+v", s)
	}
	if slot := s.Slots[0]; slot.Name != "nightly split" || slot.Length != 90*time.Minute {
		t.Errorf("%+v", slot)
	}
	at := time.Date(2026, 7, 10, 0, 30, 0, 0, time.UTC) // 01:30 in London
	if until, on := s.Slots[0].ActiveAt(at); !on || !until.Equal(at.Add(90*time.Minute)) {
		t.Errorf("on %v until %v", on, until)
	}
	if why, want := s.BlockedReason(at, nil), `slot "nightly split" until 2026-07-10T02:00:00Z`; why != want {
		t.Errorf("%s, not %s", why, want)
	}
	why := s.BlockedReason(at.Add(12*time.Hour), func(class string) bool { return class == "audit" })
	if want := `a job of class "audit" is unfinished`; why != want {
		t.Errorf("%s, not %s", why, want)
	}
}

func TestRecordedSettingsErrors(t *testing.T) {
	const site = `(descriptions "http://127.0.0.1:7700")`
	var text strings.Builder
	for _, settings := range []string{
		"(other)", "(rollouts)", "(rollouts 7)", `(rollouts (descriptions "x"))`, "(rollouts " + site + ` (day "x"))`, "(rollouts " + site + " (slot))",
		"(rollouts " + site + ` (slot-class ""))`, "(rollouts " + site + ` (slot "a" "0 1 * * *" "Europe/London" 0))`, "(rollouts " + site + ` (slot "a" "0 1 * * *" "Europe/London" 10081))`,
		"(rollouts " + site + ` (slot "a" "0 1 * * *" "Nowhere/Land" 5))`, "(rollouts " + site + ` (slot "a" "0 1 * * *" "Europe/London" 1440))`,
	} {
		_, err := rollout.ParseSettings([]byte(settings))
		fmt.Fprintf(&text, "%s\n\t%v\n", settings, err)
	}
	_, err := rollout.LoadSettings("testdata/recorded/without-site.sexp")
	fmt.Fprintf(&text, "without-site.sexp\n\t%v\n", err)
	recorded.Compare(t, "settings-errors.txt", []byte(text.String()))
}
