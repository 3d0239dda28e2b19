package main

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
)

// Scripts that are written for Slurm match these messages, including capitals and full stops.
func TestErrorMessagesMatchSlurm(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/slurm/site":
			respond(w, `{"cluster":"c","partitions":["adhoc"],"accounts":["default"],"partition":"adhoc","account":"default"}`)
		case "/ops/machines":
			respond(w, `[]`)
		case "/slurm/numbers/7":
			w.WriteHeader(http.StatusNotFound)
		default:
			w.WriteHeader(http.StatusUnprocessableEntity)
			respond(w, `{"error":"no"}`)
		}
	}))
	defer srv.Close()
	t.Chdir(t.TempDir())
	for name, text := range map[string]string{"empty.sh": "", "long.sh": "#!/bin/sh\n" + strings.Repeat("#", maxScript), "good.sh": "#!/bin/sh\n"} {
		if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	for args, want := range map[string]string{
		"srun":                              "srun: error: No command given to execute.",
		"sbatch --wrap true more":           "sbatch: error: Script arguments not permitted with --wrap option",
		"sbatch none.sh":                    "sbatch: error: Unable to open file none.sh",
		"sbatch empty.sh":                   "sbatch: error: Batch script is empty!",
		"sbatch long.sh":                    "sbatch: error: Batch script is over 524288 bytes",
		"sbatch good.sh":                    "sbatch: error: Batch job submission failed: refused: no",
		"squeue":                            "squeue: error: Unable to contact the site, or not to the end of the list: refused: no",
		"squeue -t nap":                     "squeue: error: Invalid state specified: nap",
		"squeue -j x":                       "squeue: error: Invalid job id x",
		"squeue -j 7_[1":                    "squeue: error: Invalid job id 7_[1",
		"scancel":                           "scancel: error: No job identification provided",
		"scontrol show job 7":               "scontrol: error: Invalid job id specified",
		"scontrol hold 7":                   "scontrol: error: 7: Invalid job id specified",
		"scontrol show node n":              "scontrol: error: Node n not found",
		"sacct -S 2026-12-02 -E 2026-12-01": "sacct: error: Start time is after end time",
	} {
		_, err := runCommand(t, srv.URL, strings.Fields(args)...)
		var asSlurm *slurmError
		if !errors.As(err, &asSlurm) || err.Error() != want {
			t.Errorf("%s: %v, not %s", args, err, want)
		}
	}
	out, err := runCommand(t, srv.URL, "scancel", "7")
	if want := "scancel: error: Kill job error on job id 7: Invalid job id specified\n"; err == nil || out != want {
		t.Errorf("scancel: %v, printed %q, not %q", err, out, want)
	}
}
