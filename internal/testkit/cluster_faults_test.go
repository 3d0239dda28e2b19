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

// restart ends a controller that runs, and starts it again; false if it is down.
func (w *cluster) restart(name string, after time.Duration) bool {
	if w.nodes[name].down {
		return false
	}
	w.crash(name)
	time.Sleep(after)
	w.start(name)
	return true
}

// startAll starts the controllers that are down.
func (w *cluster) startAll() {
	for _, n := range w.names {
		if w.nodes[n].down {
			w.start(n)
		}
	}
}

func (w *cluster) stopAll() {
	for _, n := range w.names {
		if !w.nodes[n].down {
			w.crash(n)
		}
	}
}

// cutAll breaks the links from one party to others, and back.
func (w *cluster) cutAll(one string, others ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range others {
		w.brokenLinks[[2]string{one, o}], w.brokenLinks[[2]string{o, one}] = true, true
	}
}

// refuse cuts controllers off from the state service.
func (w *cluster) refuse(names ...string) {
	for _, n := range names {
		w.cutAll(n, stateService)
	}
}

// healLinks heals the links between one controller and others.
func (w *cluster) healLinks(one string, others ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range others {
		delete(w.brokenLinks, [2]string{one, o})
		delete(w.brokenLinks, [2]string{o, one})
	}
}

func (w *cluster) healed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.brokenLinks)
}

// workersHear leaves the workers only these controllers.
func (w *cluster) workersHear(names ...string) {
	for _, n := range w.names {
		if slices.Contains(names, n) {
			w.healLinks(n, w.workerNames()...)
		} else {
			w.cutAll(n, w.workerNames()...)
		}
	}
}

// unheard breaks the links from controllers to a worker, not those back: its reports
// arrive, answers and commands do not.
func (w *cluster) unheard(k *testkit.Worker, by ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range by {
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

// resume has workers that hang go on.
func (w *cluster) resume(ks ...*testkit.Worker) {
	for _, k := range ks {
		w.mu.Lock()
		k.Continue()
		w.mu.Unlock()
		w.check()
	}
}

// locked changes a fault that messages on their way may be asking.
func (w *cluster) locked(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// drawn asks a fault that may begin and end at any time.
func (w *cluster) drawn(f *func() time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if *f == nil {
		return 0
	}
	return (*f)()
}

// travel lets the time pass that a message takes one way.
func (w *cluster) travel() {
	if d := w.drawn(&w.transit) + w.drawn(&w.messageDelay); d > 0 {
		time.Sleep(d)
	}
}

// draw draws a number for the test's own course. As long as only the goroutine that plays the
// test asks, the faults and requests of a seed come at the same times in every run, whatever
// the order in which the controllers' goroutines send their messages. Tests with several users
// ask from a goroutine of each.
func (w *cluster) draw(n int) int {
	w.planMu.Lock()
	defer w.planMu.Unlock()
	return w.plan.IntN(n)
}

// chance draws a number for the fate of a message, from any goroutine.
func (w *cluster) chance(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rnd.IntN(n)
}

// trouble starts or ends one fault.
func (w *cluster) trouble() {
	name := w.names[w.draw(len(w.names))]
	switch w.draw(6) {
	case 0:
		if !w.nodes[name].down {
			w.crash(name)
			time.Sleep(time.Duration(w.draw(6)) * time.Second)
			w.start(name)
		}
	case 1:
		w.mu.Lock()
		off := !w.brokenLinks[[2]string{name, name}] // that link means nothing: it remembers
		w.brokenLinks[[2]string{name, name}] = off
		for _, other := range w.names {
			w.brokenLinks[[2]string{name, other}], w.brokenLinks[[2]string{other, name}] = off, off
		}
		w.mu.Unlock()
	case 2:
		w.mu.Lock()
		w.brokenLinks[[2]string{name, stateService}] = !w.brokenLinks[[2]string{name, stateService}]
		w.mu.Unlock()
	case 3:
		w.release()
	case 4:
		for _, n := range w.names {
			w.nodes[n].view.Deliver()
		}
	}
}
