package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/lowerbound"
	"github.com/wallrack/wallrack/internal/reachability"
	"github.com/wallrack/wallrack/internal/rollout"
	"github.com/wallrack/wallrack/internal/slo"
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/wire"
)

func compareResponse[T any](t *testing.T, name string) {
	t.Helper()
	recorded.CompareJSON[T](t, filepath.Join("answers", name), json.Marshal, func(data []byte, v any) error { return json.Unmarshal(data, v) })
}

// The responses to operators, with every field set, must not change.
func TestRecordedAnswers(t *testing.T) {
	compareResponse[slo.Alert](t, "alert.json")
	compareResponse[reachability.OpsStatus](t, "links.json")
	compareResponse[[]wire.MachineInfo](t, "machines.json")
	compareResponse[jobstate.Stats](t, "counters.json")
	compareResponse[jobstate.JobCounts](t, "served.json")
	compareResponse[usage.Reading](t, "usage.json")
	compareResponse[rollout.JobStatus](t, "rollout-job.json")
	compareResponse[wire.JobState](t, "job-state.json")
	compareResponse[wire.Problem](t, "problem.json")
}

func TestRecordedRolloutAnswers(t *testing.T) {
	compareResponse[[]rollout.Status](t, "rollouts.json")
	compareResponse[[]rollout.Run](t, "rollout-history.json")
}

// recordedPath is a path of the operators' interface with the recorded shape of its responses.
type recordedPath struct {
	file            string
	path            string
	freeFormObjects []string // objects whose field names are data and not part of the shape
}

var recordedPaths = []recordedPath{
	{"stats.txt", "/ops/stats", []string{"served.class", "served.team", "served.largest", "recovery", "refusals"}},
	{"alerts.txt", "/ops/alerts", nil},
	{"machines.txt", "/ops/machines", nil},
	{"links.txt", "/ops/links", nil},
	{"rollouts.txt", "/ops/rollouts", []string{"[].jobs", "[].run.spec.to.desc.env", "[].service.version.desc.env"}},
	{"rollout.txt", "/ops/rollouts/tips", []string{"jobs", "run.spec.to.desc.env", "service.version.desc.env"}},
	{"rollout-history.txt", "/ops/rollouts/tips/history", []string{"[].spec.to.desc.env"}},
}

// collectShape requests a path until its responses contained all recorded lines of the shape, for at most
// 20 s, and returns all lines seen. Recorded lines that begin with "sometimes" are optional.
func collectShape(ctx context.Context, t *testing.T, c *client.Client, p recordedPath, wanted []string) (seen []string) {
	for start := time.Now(); time.Since(start) < 20*time.Second; time.Sleep(100 * time.Millisecond) {
		answer, err := c.Get(ctx, p.path)
		if err != nil {
			t.Fatalf("%s: %v", p.path, err)
		}
		for line := range strings.Lines(string(recorded.Shape(t, answer, p.freeFormObjects...))) {
			if line = strings.TrimSuffix(line, "\n"); !slices.Contains(seen, line) {
				seen = append(seen, line)
			}
		}
		if !slices.ContainsFunc(wanted, func(line string) bool { return !optional(line) && !slices.Contains(seen, line) }) {
			break
		}
	}
	return seen
}

const optionalPrefix = "sometimes "

func optional(line string) bool { return strings.HasPrefix(line, optionalPrefix) }

func checkShape(ctx context.Context, t *testing.T, c *client.Client, p recordedPath) {
	t.Helper()
	wanted := strings.Split(strings.TrimSuffix(string(recorded.Read(t, filepath.Join("paths", p.file))), "\n"), "\n")
	seen := collectShape(ctx, t, c, p, wanted)
	for _, line := range wanted {
		if !optional(line) && !slices.Contains(seen, line) {
			t.Errorf("%s: %q is gone", p.path, line)
		}
	}
	for _, line := range seen {
		if !slices.Contains(wanted, line) && !slices.Contains(wanted, optionalPrefix+line) {
			t.Errorf("%s: %q is not recorded", p.path, line)
		}
	}
}

// completeRollout rolls out a service with one replica and waits until the roll-out is done.
func completeRollout(ctx context.Context, t *testing.T, c *client.Client) {
	t.Helper()
	spec := rollout.Spec{
		Service: "tips", Steps: []string{"100%"}, SoakS: 1, Replicas: 1, Check: rollout.Check{TCP: true, EveryS: 0.3, TimeoutS: 1},
		Template: wire.Job{Class: "service", Team: "default", Priority: "production", Image: "none"},
		To:       rollout.Version{Name: "v1", Desc: taskspec.Spec{Argv: []string{os.Args[0]}, Env: map[string]string{"TEST_SERVICE": "good"}, CPUs: 1}},
	}
	body, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Send(ctx, http.MethodPost, "/ops/rollouts", body); err != nil {
		t.Fatal(err)
	}
	for {
		var s rollout.Status
		out, err := c.Get(ctx, "/ops/rollouts/tips")
		if err != nil || json.Unmarshal(out, &s) != nil {
			t.Fatalf("%s, %v", out, err)
		}
		if s.Run.Phase == rollout.Done {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// refusals returns the responses to invalid requests and to unknown paths.
func refusals(t *testing.T, base string) string {
	t.Helper()
	var text strings.Builder
	for _, request := range []string{
		"GET /ops", "GET /ops/nothing", "POST /ops/stats", "POST /ops/alerts", "POST /ops/machines", "POST /ops/links", "POST /ops/rollouts",
		"GET /ops/rollouts/none", "GET /ops/rollouts/none/history", "POST /ops/rollouts/none/pause", "POST /ops/rollouts/tips/pause", "POST /ops/rollouts/tips/resume",
		"POST /ops/rollouts/tips/abort", "POST /ops/rollouts/tips/stop",
	} {
		method, path, _ := strings.Cut(request, " ")
		req, err := http.NewRequestWithContext(t.Context(), method, base+path, strings.NewReader("{}"))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err := resp.Body.Close(); err != nil {
			t.Error(err)
		}
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&text, "%s\n\t%d %s\n", request, resp.StatusCode, bytes.TrimSpace(body))
	}
	return text.String()
}

// redirectLog redirects the site's log to a file until the test ends.
func redirectLog(t *testing.T, path string) {
	t.Helper()
	f, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	before := os.Stderr
	os.Stderr = f
	t.Setenv("LOG_LEVEL", "debug")
	t.Cleanup(func() {
		os.Stderr = before
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
}

// A running site responds on the recorded paths with the recorded shapes, and logs jobs in the form
// that wallrack bound reads.
func TestRecordedPaths(t *testing.T) {
	dir := t.TempDir()
	log := filepath.Join(dir, "log")
	redirectLog(t, log)
	c, stop := startSite(t, filepath.Join(dir, "site"))
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	job := wire.Job{UID: "j-three", Class: "adhoc", Team: "default", Kind: wire.KindArray, Priority: "normal", Tasks: 3, CPUs: 1, MemoryGB: 0.1, Image: "none", EstimateS: 1}
	if _, err := c.Submit(ctx, &job, &taskspec.Spec{Argv: []string{"true"}, CPUs: 1}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Wait(ctx, job.UID); err != nil {
		t.Fatal(err)
	}
	completeRollout(ctx, t, c)
	for _, p := range recordedPaths {
		checkShape(ctx, t, c, p)
	}
	recorded.Compare(t, "refusals.txt", []byte(refusals(t, c.Base)))
	stop()
	checkBound(t, log)
}

func checkBound(t *testing.T, log string) {
	t.Helper()
	f, err := os.Open(log)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	}()
	jobs, err := lowerbound.ReadJobs(f)
	if err != nil || len(jobs) != 1 || jobs[0].Class != "adhoc" || jobs[0].Tasks != 3 || jobs[0].CPUsPerTask != 1 || jobs[0].ArrivedS < 1e9 || jobs[0].ElapsedS <= 0 || jobs[0].MeanTaskS <= 0 {
		t.Errorf("%+v, %v", jobs, err)
	}
}

// The output of commands that end immediately, and the exit codes of those that fail, must not change.
// The command bound reads a recorded log.
func TestRecordedOutcomes(t *testing.T) {
	const (
		log      = "../../internal/lowerbound/testdata/recorded/debug.log"
		platform = "../../internal/config/testdata/recorded/"
	)
	t.Setenv("LOG_LEVEL", "loud") // the settings are read before LOG_LEVEL
	var text strings.Builder
	for _, args := range []string{
		"bound " + log + " --cheap-cpus 2 --dear 3", "bound " + log, "bound missing.log --cheap-cpus 2", "bound testdata/recorded/empty.log --cheap-cpus 2",
		"check", "check --config " + platform + "platform.toml", "check --config " + platform + "without-node.toml",
		"check --config " + platform + "platform.toml --operator " + platform + "out-of-range.sexp",
		"--unknown", "--config missing.toml", "--config " + platform + "platform.toml",
		"scale", "scale --config ../../internal/scale/testdata/recorded/out-of-range.sexp", "local",
	} {
		fmt.Fprintf(&text, "$ wallrack %s\n", args)
		cmd := newRootCommand()
		cmd.SetOut(&text)
		cmd.SetErr(&text)
		cmd.SetArgs(strings.Fields(args))
		if err := cmd.Execute(); err != nil {
			fmt.Fprintf(&text, "%v\nexit code %d\n", err, exitCode(err))
		}
	}
	recorded.Compare(t, "outcomes.txt", []byte(text.String()))
}
