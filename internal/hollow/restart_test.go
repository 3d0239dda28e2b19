package hollow_test

import (
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/hollow"
	"github.com/wallrack/wallrack/internal/wire"
	"github.com/wallrack/wallrack/internal/worker"
)

// sessionAt returns the session that the worker at an address reports, or 0 if it does not answer.
func sessionAt(addr string) uint64 {
	response, err := http.Get("http://" + addr + "/show")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	var report wire.Report
	if json.NewDecoder(response.Body).Decode(&report) != nil {
		return 0
	}
	return report.Session
}

func newWorkers(t *testing.T) *hollow.Workers {
	workers := hollow.New(hollow.Options{ReportInterval: time.Second, Lease: time.Minute, SessionDir: t.TempDir(), Log: slog.New(slog.DiscardHandler)})
	workers.SetControllers([]worker.Controller{{Name: "a", Addr: "127.0.0.1:1"}})
	t.Cleanup(workers.Close)
	return workers
}

func TestRestartedWorkerIsBackAtItsAddressWithALaterSession(t *testing.T) {
	workers := newWorkers(t)
	addr, err := workers.Launch(wire.ListedMachine{Name: "n-1", Zone: "a"}, wire.MachineType{Name: "m", CPUs: 1})
	if err != nil {
		t.Fatal(err)
	}
	for session := uint64(1); session < 4; session++ {
		if got := sessionAt(addr); got != session {
			t.Errorf("session %d, not %d", got, session)
		}
		workers.Restart(t.Context(), "n-1", 10*time.Millisecond)
	}
}

func TestDeletedWorkerIsNotRestarted(t *testing.T) {
	workers := newWorkers(t)
	addr, err := workers.Launch(wire.ListedMachine{Name: "n-1", Zone: "a"}, wire.MachineType{Name: "m", CPUs: 1})
	if err != nil {
		t.Fatal(err)
	}
	restarted := make(chan struct{})
	go func() {
		workers.Restart(t.Context(), "n-1", 200*time.Millisecond)
		close(restarted)
	}()
	for sessionAt(addr) != 0 {
		time.Sleep(time.Millisecond)
	}
	workers.End("n-1")
	<-restarted
	if session := sessionAt(addr); session != 0 || len(workers.Names(func(string) bool { return true })) > 0 {
		t.Errorf("the worker of a deleted machine reports session %d", session)
	}
}
