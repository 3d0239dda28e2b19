package local

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"sync"

	"github.com/wallrack/wallrack/internal/wire"
)

// workers implements standin.Launcher with a worker process for each machine.
type workers struct {
	site         *Site
	controllers  []Controller
	descriptions string            // base URL of the description service
	markFailed   func(name string) // called when a worker exits unexpectedly

	mu      sync.Mutex
	running map[string]*runningWorker // by machine name
	closed  bool
}

type runningWorker struct {
	stop context.CancelFunc
	done chan struct{} // closed when the process has exited
}

// Launch implements standin.Launcher.
func (w *workers) Launch(m wire.ListedMachine, t wire.MachineType) (string, error) {
	addrs, err := FreeAddrs(1)
	if err != nil {
		return "", err
	}
	args := w.workerArgs(m, t, addrs[0])
	ctx, stop := context.WithCancel(context.Background())
	r := &runningWorker{stop, make(chan struct{})}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		stop()
		return "", errors.New("the site is shutting down")
	}
	w.running[m.Name] = r
	go func() {
		defer close(r.done)
		err := w.site.Start(ctx, m.Name, args)
		if ctx.Err() == nil {
			w.site.Log.Error("worker exited unexpectedly", "worker", m.Name, "err", err)
			w.markFailed(m.Name)
		}
	}()
	return addrs[0], nil
}

// workerArgs returns the command-line arguments of a machine's worker.
func (w *workers) workerArgs(m wire.ListedMachine, t wire.MachineType, addr string) []string {
	controllers := make([]string, 0, 2*len(w.controllers))
	for _, c := range w.controllers {
		controllers = append(controllers, "--controller", c.Name+"="+c.Addr)
	}
	return append([]string{
		"worker", "--name", m.Name, "--listen", addr, "--type", m.Type, "--zone", m.Zone,
		"--cpus", fmt.Sprint(t.CPUs), "--memory-gb", fmt.Sprint(t.MemoryGB), "--descriptions", w.descriptions,
		"--report-s", fmt.Sprint(reportS), "--lease-s", fmt.Sprint(leaseS), "--dir", filepath.Join(w.site.Dir, "machines", m.Name),
	}, controllers...)
}

// End implements standin.Launcher.
func (w *workers) End(name string) {
	w.mu.Lock()
	r := w.running[name]
	delete(w.running, name)
	w.mu.Unlock()
	if r != nil {
		r.stop()
		<-r.done
	}
}

// close stops all workers at once and waits until they have exited. No worker can start
// afterwards.
func (w *workers) close() {
	w.mu.Lock()
	w.closed = true
	all := w.running
	w.running = map[string]*runningWorker{}
	w.mu.Unlock()
	for _, r := range all {
		r.stop()
	}
	for _, r := range all {
		<-r.done
	}
}
