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

// site runs a local site inside the test until stop is called.
func site(t *testing.T, dir string) (c *client.Client, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	out := &line{ready: make(chan string, 1)}
	cmd := command()
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

// line passes on the one line that a site prints.
type line struct {
	bytes.Buffer
	ready chan string
}

func (l *line) Write(p []byte) (int, error) {
	n, err := l.Buffer.Write(p)
	if strings.HasSuffix(l.String(), "\n") {
		l.ready <- l.String()
	}
	return n, err
}

// A site on one machine runs a job, says what it wrote, refuses what can't run,
// cancels, and knows all of it after a restart on the same directory.
func TestLocalSite(t *testing.T) {
	if testing.Short() {
		t.Skip("runs real processes")
	}
	t.Setenv("LOG_LEVEL", "error")
	dir := t.TempDir()
	c, stop := site(t, dir)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	job := func(uid string, tasks int) *wire.Job {
		return &wire.Job{UID: uid, Class: "adhoc", Team: "default", Kind: wire.KindArray, Priority: "normal", Tasks: tasks, CPUs: 1, MemoryGB: 0.1, Image: "none", Estimate: 1}
	}
	run := func(j *wire.Job, script string) error {
		_, err := c.Submit(ctx, j, &taskspec.Spec{Argv: []string{"sh", "-c", script}, CPUs: j.CPUs})
		return err
	}
	if err := run(job("j-hello", 3), `echo "hello $WALLRACK_TASK"`); err != nil {
		t.Fatal(err)
	}
	if s, err := c.Wait(ctx, "j-hello"); err != nil || s.Stage != wire.StageDone || s.Done != 3 {
		t.Fatalf("%+v, %v", s, err)
	}
	if out, err := c.Raw(ctx, "/logs/j-hello/2"); err != nil || string(out) != "hello 2\n" {
		t.Errorf("wrote %q, %v", out, err)
	}
	if err := run(job("j-hello", 3), "false"); !errors.Is(err, taskspec.ErrDiffers) {
		t.Errorf("another description for the same job: %v", err)
	}
	big := job("j-big", 1)
	big.CPUs = 1000
	if err := run(big, "true"); !errors.Is(err, client.ErrRefused) {
		t.Errorf("a task that fits no machine: %v", err)
	}
	if _, err := c.Status(ctx, "j-nobody"); !errors.Is(err, client.ErrNotFound) {
		t.Errorf("a job that nobody submitted: %v", err)
	}
	if err := run(job("j-long", 2), "sleep 300"); err != nil {
		t.Fatal(err)
	}
	if s, err := c.Cancel(ctx, "j-long"); err != nil || s.Stage != wire.StageCancelled {
		t.Errorf("%+v, %v", s, err)
	}
	if err := run(job("j-over", 1), "sleep 300"); err != nil { // runs when the site ends
		t.Fatal(err)
	}
	stop()
	c, stop = site(t, dir)
	defer stop()
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

// TestMain is also a service, for the roll-outs below: it turns unhealthy when it
// is told to, some time after its start.
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

// With real processes: a version that turns unhealthy halfway is halted and the
// prior one is whole again within a minute, all replicas of it.
func TestLocalRollout(t *testing.T) {
	if testing.Short() {
		t.Skip("runs real processes")
	}
	t.Setenv("LOG_LEVEL", "error")
	c, stop := site(t, t.TempDir())
	defer stop()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	roll := func(version, mode string) rollout.Run {
		spec := rollout.Spec{Service: "tips", Steps: []string{"1", "100%"}, SoakS: 3, Check: rollout.Check{HTTP: "/up", EveryS: 0.3, TimeoutS: 1},
			To: rollout.Version{Name: version, Desc: taskspec.Spec{Argv: []string{os.Args[0]}, Env: map[string]string{"TEST_SERVICE": mode}, CPUs: 1}}}
		if version == "v1" {
			spec.Replicas, spec.Steps = 2, []string{"100%"}
			spec.Template = wire.Job{Class: "service", Team: "default", Priority: "production", Image: "none"}
		}
		body, err := json.Marshal(spec)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Send(ctx, http.MethodPost, "/ops/rollouts", body); err != nil {
			t.Fatal(err)
		}
		for {
			out, err := c.Raw(ctx, "/ops/rollouts/tips")
			var s rollout.Status
			if err != nil || json.Unmarshal(out, &s) != nil {
				t.Fatalf("%s, %v", out, err)
			}
			if s.Run.Spec.To.Name == version && s.Run.Phase.Final() {
				return *s.Run
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	if r := roll("v1", "good"); r.Phase != rollout.Done {
		t.Fatalf("%s: %s", r.Phase, r.Why)
	}
	r := roll("v2", "bad")
	if back := time.Duration(r.Ended-r.Verdict) * time.Millisecond; r.Phase != rollout.Restored || back > time.Minute || !strings.Contains(r.Why, "unhealthy") {
		t.Errorf("%s after %v: %s", r.Phase, back, r.Why)
	}
}
