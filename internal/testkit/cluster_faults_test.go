package testkit_test

import (
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/testkit"
)

func (w *cluster) crash(name string) {
	w.mu.Lock()
	n := w.nodes[name]
	n.down = true
	w.mu.Unlock()
	n.stop()
	<-n.done
}

// restart crashes a running controller and starts it again after a delay. It returns false if the
// controller is already down.
func (w *cluster) restart(name string, after time.Duration) bool {
	if w.nodes[name].down {
		return false
	}
	w.crash(name)
	time.Sleep(after)
	w.start(name)
	return true
}

// startStopped starts the controllers that are down.
func (w *cluster) startStopped() {
	for _, n := range w.controllerNames {
		if w.nodes[n].down {
			w.start(n)
		}
	}
}

func (w *cluster) stopAll() {
	for _, n := range w.controllerNames {
		if !w.nodes[n].down {
			w.crash(n)
		}
	}
}

// breakLinks breaks the links between one party and the others, in both directions.
func (w *cluster) breakLinks(party string, others ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range others {
		w.brokenLinks[[2]string{party, o}], w.brokenLinks[[2]string{o, party}] = true, true
	}
}

// cutFromStateService breaks the links between controllers and the state service.
func (w *cluster) cutFromStateService(names ...string) {
	for _, n := range names {
		w.breakLinks(n, stateService)
	}
}

// healLinks heals the links between one party and others, in both directions.
func (w *cluster) healLinks(party string, others ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range others {
		delete(w.brokenLinks, [2]string{party, o})
		delete(w.brokenLinks, [2]string{o, party})
	}
}

func (w *cluster) healAllLinks() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.brokenLinks)
}

// connectWorkersOnlyTo breaks the links between workers and all controllers but the named ones.
func (w *cluster) connectWorkersOnlyTo(names ...string) {
	for _, n := range w.controllerNames {
		if slices.Contains(names, n) {
			w.healLinks(n, w.workerNames()...)
		} else {
			w.breakLinks(n, w.workerNames()...)
		}
	}
}

// breakLinksTo breaks the links from controllers to a worker but not back: its heartbeats arrive,
// responses and commands do not.
func (w *cluster) breakLinksTo(k *testkit.Worker, from ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range from {
		w.brokenLinks[[2]string{n, k.Name}] = true
	}
}

func (w *cluster) hang(ks ...*testkit.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range ks {
		k.Hang()
	}
}

// resume ends the hang of workers.
func (w *cluster) resume(ks ...*testkit.Worker) {
	for _, k := range ks {
		w.mu.Lock()
		k.Resume()
		w.mu.Unlock()
		w.checkInvariants()
	}
}

// withLock changes a fault setting that messages in flight may read.
func (w *cluster) withLock(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// drawDelay draws from a fault setting that may be set or cleared at any time; 0 if it is not set.
func (w *cluster) drawDelay(delay *func() time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if *delay == nil {
		return 0
	}
	return (*delay)()
}

// awaitTransit waits for the one-way delay of a message.
func (w *cluster) awaitTransit() {
	if d := w.drawDelay(&w.transitTime) + w.drawDelay(&w.messageDelay); d > 0 {
		time.Sleep(d)
	}
}

// planIntN draws a random number below n for a step of the test itself. If only the test's own goroutine
// draws, a seed produces the same faults and requests at the same times in every run, regardless
// of the order in which the controllers' goroutines send messages. Tests with several concurrent
// users draw from one goroutine per user, so their order may vary.
func (w *cluster) planIntN(n int) int {
	w.planMu.Lock()
	defer w.planMu.Unlock()
	return w.planRand.IntN(n)
}

// messageIntN draws a random number below n that decides what happens to a message, from any goroutine.
func (w *cluster) messageIntN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.messageRand.IntN(n)
}

// toggleDrawnFault starts or ends one randomly drawn fault.
func (w *cluster) toggleDrawnFault() {
	name := w.controllerNames[w.planIntN(len(w.controllerNames))]
	switch w.planIntN(6) {
	case 0:
		if !w.nodes[name].down {
			w.crash(name)
			time.Sleep(time.Duration(w.planIntN(6)) * time.Second)
			w.start(name)
		}
	case 1:
		w.mu.Lock()
		off := !w.brokenLinks[[2]string{name, name}] // whether the controller is cut off is stored as its otherwise unused link to itself
		w.brokenLinks[[2]string{name, name}] = off
		for _, other := range w.controllerNames {
			w.brokenLinks[[2]string{name, other}], w.brokenLinks[[2]string{other, name}] = off, off
		}
		w.mu.Unlock()
	case 2:
		w.mu.Lock()
		w.brokenLinks[[2]string{name, stateService}] = !w.brokenLinks[[2]string{name, stateService}]
		w.mu.Unlock()
	case 3:
		w.deliverHeldCommands()
	case 4:
		for _, n := range w.controllerNames {
			w.nodes[n].view.ApplyHeld()
		}
	}
}
