package testkit_test

import (
	"context"
	"time"

	"github.com/wallrack/wallrack/internal/testkit"
)

// overLink carries a request to a worker or a peer. Over a slow link it is carried out
// even if nobody waits for it any more, and its answer may come too late.
func overLink[T any](ctx context.Context, w *cluster, carryOut func() (T, error)) (T, error) {
	there, back := w.drawn(&w.linkDelay), w.drawn(&w.linkDelay)
	if there+back == 0 {
		return carryOut()
	}
	type answer struct {
		value T
		err   error
	}
	got := make(chan answer, 1)
	go func() {
		time.Sleep(there)
		value, err := carryOut()
		time.Sleep(back)
		got <- answer{value, err}
	}()
	select {
	case a := <-got:
		return a.value, a.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// reportSlowly lets a worker report over a slow link: it has one report under way at a
// time, and the others do not wait for it.
func (w *cluster) reportSlowly(k *testkit.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reporting[k] {
		return
	}
	w.reporting[k] = true
	go func() {
		w.report(k)
		w.check()
		w.mu.Lock()
		delete(w.reporting, k)
		w.mu.Unlock()
	}()
}
