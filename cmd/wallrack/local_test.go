package main

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/descr"
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
		_, err := c.Submit(ctx, j, &descr.Description{Argv: []string{"sh", "-c", script}, CPUs: j.CPUs})
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
	if err := run(job("j-hello", 3), "false"); !errors.Is(err, descr.ErrDiffers) {
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
