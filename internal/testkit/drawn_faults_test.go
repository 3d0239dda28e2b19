package testkit_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// runDrawnCase runs one drawn case on a new cluster. The first violated invariant fails this case
// only, not the whole test, so that rapid can shrink it.
func runDrawnCase(t *testing.T, rt *rapid.T, seed uint64, controllers, workers int, play func(w *cluster)) {
	var w *cluster
	synctest.Test(t, func(t *testing.T) {
		w = newCluster(t, seed)
		w.fail = func(format string, args ...any) {
			if w.violation == "" {
				w.violation = fmt.Sprintf(format, args...)
			}
		}
		w.resize(controllers, workers)
		w.startControllers()
		time.Sleep(2 * time.Second)
		play(w)
		w.stopAll()
	})
	if w.violation != "" {
		rt.Fatal(w.violation)
	}
}

// TestNoTaskRunsTwiceUnderDrawnFaults runs controllers through crashes, broken links, and lost and
// late transactions and commands. A task is never on two workers, every accepted job ends, and no
// job is reported as done before all its tasks are.
func TestNoTaskRunsTwiceUnderDrawnFaults(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newCluster(t, seed)
				w.startControllers()
				time.Sleep(2 * time.Second)
				const jobs = 6
				for i := range jobs {
					w.submit(fmt.Sprintf("j-%d", i), 4+3*i)
				}
				deadline := time.Now().Add(20 * time.Minute)
				calm := time.Now().Add(2 * time.Minute)
				for len(w.store.Keys("final/")) < jobs {
					if time.Now().After(deadline) {
						t.Fatalf("only these jobs ended: %v", w.store.Keys("final/"))
					}
					w.sendReports()
					w.step(calm)
				}
				view := &testkit.View{Store: w.store}
				for i := range jobs {
					s, err := scheduler.ReadStoredState(context.Background(), view, fmt.Sprintf("j-%d", i))
					if err != nil || s.Stage != wire.StageDone || s.Done != 4+3*i {
						t.Errorf("job %d: %+v, %v", i, s, err)
					}
				}
				for _, k := range w.store.Keys("task/") {
					if !strings.HasPrefix(k, "task/j-") {
						t.Errorf("stray key %s", k)
					}
				}
				w.stopAll()
			})
		})
	}
}
