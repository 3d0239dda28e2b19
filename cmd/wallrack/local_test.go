package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/rollout"
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// startSite runs a local site in this process until stop is called.
func startSite(t *testing.T, dir string) (c *client.Client, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	out := &readyWriter{ready: make(chan string, 1)}
	cmd := newRootCommand()
	cmd.SetOut(out)
	cmd.SetArgs([]string{"local", "--in-process", "--controllers", "2", "--machines", "2", "--dir", dir})
	done := make(chan error, 1)
	go func() { done <- cmd.ExecuteContext(ctx) }()
	select {
	case l := <-out.ready:
		return client.New(strings.TrimSpace(strings.TrimPrefix(l, "ready"))), func() {
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	case err := <-done:
		t.Fatalf("ended: %v", err)
	case <-time.After(30 * time.Second):
		t.Fatal("not ready")
	}
	return nil, nil
}

// readyWriter collects the output of a site. After a write that completes a line, it sends all output so far to ready.
type readyWriter struct {
	bytes.Buffer
	ready chan string
}

func (l *readyWriter) Write(p []byte) (int, error) {
	n, err := l.Buffer.Write(p)
	if strings.HasSuffix(l.String(), "\n") {
		l.ready <- l.String()
	}
	return n, err
}

func adhocJob(uid string, tasks int) *wire.Job {
	return &wire.Job{UID: uid, Class: "adhoc", Team: "default", Kind: wire.KindArray, Priority: "normal", Tasks: tasks, CPUs: 1, MemoryGB: 0.1, Image: "none", EstimateS: 1}
}

func submitScript(ctx context.Context, c *client.Client, job *wire.Job, script string) error {
	_, err := c.Submit(ctx, job, &taskspec.Spec{Argv: []string{"sh", "-c", script}, CPUs: job.CPUs})
	return err
}

// A local site runs a job, returns its output, refuses a job that can't run and cancels a job. After
// a restart on the same directory it still has the states of these jobs.
func TestLocalSiteKeepsJobsAcrossRestart(t *testing.T) {
	if testing.Short() {
		t.Skip("runs real processes")
	}
	t.Setenv("LOG_LEVEL", "error")
	dir := t.TempDir()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c, stop := startSite(t, dir)
	checkLocalJobs(ctx, t, c)
	stop()
	c, stop = startSite(t, dir)
	defer stop()
	checkJobsAfterRestart(ctx, t, c)
}

// checkLocalJobs submits jobs, checks their outcomes, and leaves one job that is done, one that is
// cancelled and one that runs.
func checkLocalJobs(ctx context.Context, t *testing.T, c *client.Client) {
	t.Helper()
	if err := submitScript(ctx, c, adhocJob("j-hello", 3), `echo "hello $WALLRACK_TASK"`); err != nil {
		t.Fatal(err)
	}
	if s, err := c.Wait(ctx, "j-hello"); err != nil || s.Stage != wire.StageDone || s.Done != 3 {
		t.Fatalf("%+v, %v", s, err)
	}
	if out, err := c.Get(ctx, "/logs/j-hello/2"); err != nil || string(out) != "hello 2\n" {
		t.Errorf("wrote %q, %v", out, err)
	}
	checkLocalRefusals(ctx, t, c)
	if err := submitScript(ctx, c, adhocJob("j-long", 2), "sleep 300"); err != nil {
		t.Fatal(err)
	}
	if s, err := c.Cancel(ctx, "j-long"); err != nil || s.Stage != wire.StageCancelled {
		t.Errorf("%+v, %v", s, err)
	}
	if err := submitScript(ctx, c, adhocJob("j-over", 1), "sleep 300"); err != nil { // still running when the site ends
		t.Fatal(err)
	}
}

func checkLocalRefusals(ctx context.Context, t *testing.T, c *client.Client) {
	t.Helper()
	if err := submitScript(ctx, c, adhocJob("j-hello", 3), "false"); !errors.Is(err, taskspec.ErrConflict) {
		t.Errorf("another description for the same job: %v", err)
	}
	big := adhocJob("j-big", 1)
	big.CPUs = 1000
	if err := submitScript(ctx, c, big, "true"); !errors.Is(err, client.ErrRefused) {
		t.Errorf("a task that fits no machine: %v", err)
	}
	if _, err := c.Status(ctx, "j-nobody"); !errors.Is(err, client.ErrNotFound) {
		t.Errorf("a job that was never submitted: %v", err)
	}
}

func checkJobsAfterRestart(ctx context.Context, t *testing.T, c *client.Client) {
	t.Helper()
	for uid, stage := range map[string]string{"j-hello": wire.StageDone, "j-long": wire.StageCancelled} {
		if s, err := c.Status(ctx, uid); err != nil || s.Stage != stage {
			t.Errorf("%s after a restart: %+v, %v", uid, s, err)
		}
	}
	if s, err := c.Status(ctx, "j-over"); err != nil || s.Stage == wire.StageDone {
		t.Errorf("the unfinished job: %+v, %v", s, err)
	}
	if s, err := c.Cancel(ctx, "j-over"); err != nil || s.Stage != wire.StageCancelled {
		t.Errorf("its cancel: %+v, %v", s, err)
	}
}

// TestMain also acts as the service in the tests of roll-outs: with TEST_SERVICE=bad the service turns
// unhealthy 1.5 s after its start.
func TestMain(m *testing.M) {
	mode := os.Getenv("TEST_SERVICE")
	if mode == "" {
		os.Exit(m.Run())
	}
	began := time.Now()
	_ = http.ListenAndServe("127.0.0.1:"+os.Getenv("WALLRACK_PORT"), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if mode == "bad" && time.Since(began) > 1500*time.Millisecond {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
}

// With real processes, a version that turns unhealthy halfway through its roll-out is rolled back, and
// all replicas of the prior version are healthy again within a minute.
func TestLocalRolloutRestoresPriorVersion(t *testing.T) {
	if testing.Short() {
		t.Skip("runs real processes")
	}
	t.Setenv("LOG_LEVEL", "error")
	c, stop := startSite(t, t.TempDir())
	defer stop()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	first := tipsSpec("v1", "good")
	first.Replicas, first.Steps = 2, []string{"100%"}
	first.Template = wire.Job{Class: "service", Team: "default", Priority: "production", Image: "none"}
	if r := rollOutAndWait(ctx, t, c, first); r.Phase != rollout.Done {
		t.Fatalf("%s: %s", r.Phase, r.Reason)
	}
	r := rollOutAndWait(ctx, t, c, tipsSpec("v2", "bad"))
	if back := time.Duration(r.Ended-r.RollbackSince) * time.Millisecond; r.Phase != rollout.Restored || back > time.Minute || !strings.Contains(r.Reason, "unhealthy") {
		t.Errorf("%s after %v: %s", r.Phase, back, r.Reason)
	}
}

// tipsSpec returns the spec of a roll-out of the service in TestMain.
func tipsSpec(version, mode string) rollout.Spec {
	return rollout.Spec{
		Service: "tips", Steps: []string{"1", "100%"}, SoakS: 3, Check: rollout.Check{HTTP: "/up", EveryS: 0.3, TimeoutS: 1},
		To: rollout.Version{Name: version, Desc: taskspec.Spec{Argv: []string{os.Args[0]}, Env: map[string]string{"TEST_SERVICE": mode}, CPUs: 1}},
	}
}

// rollOutAndWait starts a roll-out and waits for its end.
func rollOutAndWait(ctx context.Context, t *testing.T, c *client.Client, spec rollout.Spec) rollout.Run {
	t.Helper()
	body, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Send(ctx, http.MethodPost, "/ops/rollouts", body); err != nil {
		t.Fatal(err)
	}
	for {
		out, err := c.Get(ctx, "/ops/rollouts/tips")
		var s rollout.Status
		if err != nil || json.Unmarshal(out, &s) != nil {
			t.Fatalf("%s, %v", out, err)
		}
		if s.Run.Spec.To.Name == spec.To.Name && s.Run.Phase.Final() {
			return *s.Run
		}
		time.Sleep(200 * time.Millisecond)
	}
}
