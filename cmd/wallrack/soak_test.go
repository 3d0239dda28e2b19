package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestSoakWithBadFlagsStartsNothing(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "soak")
	for _, c := range []struct {
		args []string
		says string
	}{
		{[]string{}, "--seeds: "},
		{[]string{"--seeds", "9-3"}, "--seeds: \"9-3\" is not a range of seeds"},
		{[]string{"--seeds", "x"}, "--seeds: \"x\" is not a seed"},
		{[]string{"--seeds", "1", "--jobs", "0"}, "--jobs: must be 1 to 16"},
		{[]string{"--seeds", "1", "--ended-jobs", "-1"}, "--ended-jobs: must be 0 to 10000"},
		{[]string{"--seeds", "1", "--processor-shortage", "much"}, "--processor-shortage: \"much\" is not"},
		{[]string{"--seeds", "1", "--repeat-calls", "often"}, "--repeat-calls: \"often\" is not"},
		{[]string{"--seeds", "1", "--repeat-calls", "beside", "--processor-shortage", "alone"}, "--repeat-calls: can't be played"},
		{[]string{"--seeds", "1", "--leader-series", "long"}, "--leader-series: \"long\" is not"},
		{[]string{"--seeds", "1", "--leader-series", "alone", "--repeat-calls", "beside"}, "--repeat-calls: can't be played where --leader-series is alone"},
	} {
		cmd := newRootCommand()
		cmd.SetOut(&bytes.Buffer{})
		cmd.SetErr(&bytes.Buffer{})
		cmd.SetArgs(append([]string{"soak", "--dir", dir}, c.args...))
		err := cmd.Execute()
		if err == nil || exitCode(err) != 2 || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%v: exit code %d: %v", c.args, exitCode(err), err)
		}
	}
	if _, err := os.Stat(dir); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the directory of the run exists: %v", err)
	}
}
