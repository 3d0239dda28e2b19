package slurmapi_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/wallrack/wallrack/internal/slurmapi"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
)

// Every key of the settings file is accepted and sets its field, and absent keys have defaults.
func TestRecordedSettings(t *testing.T) {
	got, err := slurmapi.LoadSettings("testdata/recorded/slurm.sexp")
	if want := (slurmapi.Settings{ClusterName: "mill", AccountingEnabled: true, ListingsPerS: 2.5, DefaultClass: "quick", DefaultTeam: "brew"}); err != nil || *got != want {
		t.Errorf("%+v, %v, not %+v", got, err, want)
	}
	got, err = slurmapi.ParseSettings([]byte("(slurm)"))
	if want := (slurmapi.Settings{ClusterName: "wallrack", ListingsPerS: 5}); err != nil || *got != want {
		t.Errorf("defaults: %+v, %v, not %+v", got, err, want)
	}
}

func TestRecordedSettingsErrors(t *testing.T) {
	var text strings.Builder
	for _, settings := range []string{
		"(other)", "(slurm (cluster))", `(slurm (cluster ""))`, "(slurm (cluster 7))", `(slurm (partition ""))`, `(slurm (account ""))`,
		"(slurm (accounting yes))", "(slurm (listings-per-s 0))", "(slurm (listings-per-s 1001))", `(slurm (listings-per-s "5"))`, "(slurm (user 1))", "(slurm (accounting on) (accounting on))",
	} {
		_, err := slurmapi.ParseSettings([]byte(settings))
		fmt.Fprintf(&text, "%s\n\t%v\n", settings, err)
	}
	_, err := slurmapi.LoadSettings("testdata/recorded/missing.sexp")
	fmt.Fprintf(&text, "missing.sexp\n\t%v\n", err)
	recorded.Compare(t, "settings-errors.txt", []byte(text.String()))
}
