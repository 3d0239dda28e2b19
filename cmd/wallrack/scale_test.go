package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/wallrack/wallrack/internal/scale"
)

func runScaleCommand(t *testing.T, settings string) (dir string, out string, err error) {
	dir = t.TempDir()
	file := filepath.Join(dir, "scale.sexp")
	if err := os.WriteFile(file, []byte(settings), 0o644); err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	cmd := newRootCommand()
	cmd.SetOut(&text)
	cmd.SetErr(&text)
	cmd.SetArgs([]string{"scale", "--in-process", "--config", file, "--dir", filepath.Join(dir, "run"), "--out", dir})
	err = cmd.Execute()
	return dir, text.String(), err
}

func TestScaleWithBadSettingsStartsNothing(t *testing.T) {
	dir, _, err := runScaleCommand(t, `(scale (workers -1))`)
	if err == nil || exitCode(err) != 2 || !strings.Contains(err.Error(), "scale.sexp: workers: -1 is outside") {
		t.Errorf("exit code %d: %v", exitCode(err), err)
	}
	if _, err := os.Stat(filepath.Join(dir, "run")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the directory of the run exists: %v", err)
	}
	if code := exitCode(errors.New("other")); code != 1 {
		t.Errorf("exit code %d for an error other than of settings", code)
	}
}

// A small site runs all phases: all requested tasks are done, no rule is broken, and the results are
// written to the files.
func TestScaleRunOfSmallSiteBreaksNoRule(t *testing.T) {
	t.Setenv("LOG_LEVEL", "error")
	dir, out, err := runScaleCommand(t, `(scale (workers 20) (controllers 2) (zones 4) (regions 2) (rack-workers 2) (teams 4) (team-spare-cpus 12)
		(running 24) (run-s 0.3) (fetch-s 0.05) (tasks-per-job 4) (boot-s 0.1) (report-s 0.2) (lease-s 0.8) (cancel-s 10) (cloud-rps 50) (cloud-lag-s 0.2) (cloud-latency-ms 10)
		(state-rps 5000) (state-write-rps 5000) (steady-starts 10) (steady-s 0.5) (peak-starts 40) (peak-s 1) (urgent-starts 4) (failures-a-day 0) (restarts-a-day 6000)
		(failures-s 0.5) (rack-cut-s 0) (zone-cut-s 0) (region-cut-s 1.2) (settle-s 0.2) (restart-every-s 0.3) (drain-s 20))`)
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	data, err := os.ReadFile(filepath.Join(dir, "scale.json"))
	var r scale.Result
	if err != nil || json.Unmarshal(data, &r) != nil {
		t.Fatalf("%v: %s", err, data)
	}
	if r.Rules.Broken() || r.Tasks.Asked == 0 || r.Tasks.Left != 0 || len(r.Controllers) != 2 || len(r.Teams) != 4 || len(r.Samples) < 2 {
		t.Errorf("%s", out)
	}
	phases := map[string]scale.PhaseResult{}
	for _, p := range r.Phases {
		phases[p.Name] = p
	}
	if p := phases["peak"]; p.StartsAchieved < 10 || p.Urgent != 4 || phases["region cut"].Seconds < 1.2 || phases["rolling restart"].Seconds < 0.6 {
		t.Errorf("%s", out)
	}
	if len(r.Recoveries) < 2 || r.Controllers[0].StateTxns+r.Controllers[1].StateTxns == 0 || r.Controllers[0].ReportBytes+r.Controllers[1].ReportBytes == 0 {
		t.Errorf("%s", out)
	}
	if page, err := os.ReadFile(filepath.Join(dir, "scale.html")); err != nil || !bytes.Contains(page, []byte("starts a second")) {
		t.Errorf("no plot: %v", err)
	}
}
