package worker_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
	"github.com/wallrack/wallrack/internal/worker"
)

// startedWorker returns the state of a new worker process with its files in dir.
func startedWorker(t *testing.T, dir string, backend *fakeBackend) *worker.State {
	t.Helper()
	sessions, err := worker.OpenSessionFile(dir)
	if err != nil {
		t.Fatal(err)
	}
	id := worker.Identity{
		Name: "n-1", Endpoint: "127.0.0.1:1", Type: "m", Zone: "z", Size: matching.Resources{CPUs: 4, MemoryGB: 8}, Lease: 10 * time.Second, Sessions: sessions,
	}
	return worker.New(id, backend, backend, func() {}, discardLogger)
}

func TestCopyOfStartDoesNotRunTaskAfterRestartOfWorker(t *testing.T) {
	for name, whileDown := range map[string]func(first *worker.State){
		"at once":             func(*worker.State) {},
		"after lease expired": func(first *worker.State) { time.Sleep(11 * time.Second); first.Expire() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dir := t.TempDir()
				first := startedWorker(t, dir, &fakeBackend{running: map[string]*fakeProcess{}})
				whileDown(first)
				session := first.Report().Session
				start := wire.PushedCommands{Token: 5, Session: session, Commands: []wire.Command{{Verb: wire.VerbStart, Task: "j-1/0", Attempt: 1}}}
				if !first.HandleOrders(t.Context(), start) {
					t.Fatal("the start was refused")
				}
				first.Close()
				backend := &fakeBackend{running: map[string]*fakeProcess{}}
				second := startedWorker(t, dir, backend)
				if report := second.Report(); report.Session <= session {
					t.Errorf("session %d after session %d", report.Session, session)
				}
				executed := second.HandleOrders(t.Context(), start)
				synctest.Wait()
				if executed || len(backend.running) > 0 {
					t.Errorf("executed %v, %d tasks run", executed, len(backend.running))
				}
				second.Close()
			})
		})
	}
}

func TestUnreadableSessionFileIsRefused(t *testing.T) {
	for _, content := range []string{"", "x\n", "-1\n", "99999999999999999999999\n"} {
		dir := t.TempDir()
		file := filepath.Join(dir, "session")
		if err := os.WriteFile(file, []byte(content), 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := worker.OpenSessionFile(dir); err == nil || !strings.Contains(err.Error(), file) {
			t.Errorf("%q: error %v does not name the file", content, err)
		}
	}
	if _, err := worker.OpenSessionFile(filepath.Join(t.TempDir(), "missing")); err == nil {
		t.Error("no error without a directory")
	}
}
