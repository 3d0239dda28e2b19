package local

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"sync"

	"github.com/wallrack/wallrack/internal/wire"
)

// workers is the cloud's launcher: a worker process for each machine.
type workers struct {
	site         *Site
	controllers  []Controller
	descriptions string            // base URL
	markFailed   func(name string) // a worker ended by itself

	mu      sync.Mutex
	running map[string]*runningWorker // by machine
	closed  bool
}

type runningWorker struct {
	stop context.CancelFunc
	done chan struct{} // closed when the process has ended
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
		return "", errors.New("the site is ending")
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

// workerArgs are the arguments that start a machine's worker.
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

// close ends all workers at once and waits for them; none starts afterwards.
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
