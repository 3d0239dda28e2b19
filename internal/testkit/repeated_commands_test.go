package testkit_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/testkit"
)

const (
	minRepeatDelay  = time.Second // after which the copy of an executed command arrives
	maxRepeatDelay  = time.Minute
	maxRestartDelay = 900 * time.Millisecond
)

// failFirstRuns makes some tasks fail when they run for the first time, so that they are started
// again elsewhere.
func (w *cluster) failFirstRuns(fails func(task string) bool) {
	ran := map[string]bool{}
	for _, k := range w.workers {
		k.ExitCode = func(task string) int {
			if ran[task] || !fails(task) {
				return 0
			}
			ran[task] = true
			return 3
		}
	}
}

// failOnSecondStart fails the test if an attempt starts twice.
func (w *cluster) failOnSecondStart() {
	started := map[string]bool{}
	w.onStart = func(k *testkit.Worker, task string, attempt uint64) {
		key := fmt.Sprintf("attempt %d of %s on %s", attempt, task, k.Name)
		if started[key] {
			w.fail("%s starts again", key)
		}
		started[key] = true
	}
}

// restartAll crashes all controllers at once and starts each one again within maxRestartDelay.
func (w *cluster) restartAll() {
	for _, name := range w.controllerNames {
		w.crash(name)
	}
	for _, name := range w.controllerNames {
		time.Sleep(time.Duration(w.planIntN(int(maxRestartDelay) / len(w.controllerNames))))
		w.start(name)
	}
}

// Tasks fail, are cancelled and are moved while copies of the commands that started them arrive up to
// a minute later, also after all controllers have restarted within a second.
func TestCopiesOfExecutedCommandsStartNothingAgain(t *testing.T) {
	const (
		jobs           = 12
		tasks          = 8
		submitInterval = 5  // s
		duration       = 90 // s
	)
	jobName := func(i int) string { return fmt.Sprintf("j-%d", 10+i) }
	for seed := range uint64(6) {
		for name, restarts := range map[string]bool{"controllers keep running": false, "all controllers restart": true} {
			t.Run(fmt.Sprintf("%d %s", seed, name), func(t *testing.T) {
				setUp := func(w *cluster) {
					w.promptCommands = true
					w.repeatDelay = func() time.Duration {
						return minRepeatDelay + time.Duration(w.messageRand.Int64N(int64(maxRepeatDelay-minRepeatDelay)))
					}
				}
				runOnPreparedCluster(t, 9100+seed, 3, 6, setUp, func(w *cluster) {
					w.failFirstRuns(func(task string) bool { return strings.HasSuffix(task, "1") || strings.HasSuffix(task, "2") })
					w.failOnSecondStart()
					for second := range duration {
						newest := min(second/submitInterval, jobs-1)
						if second == newest*submitInterval {
							w.submit(jobName(newest), tasks)
						}
						if second%16 == 9 {
							w.cancelJobs(w.controllerNames[0], []string{jobName(newest)}, 3)
						}
						if restarts && second%20 == 13 {
							w.restartAll()
						}
						w.runFor(1)
					}
					if !w.runUntil(120, func() bool { return len(w.store.Keys("final/")) >= jobs }) {
						t.Errorf("not all jobs ended; ended: %v", w.store.Keys("final/"))
					}
					w.withLock(func() { w.repeatDelay = nil })
					time.Sleep(maxRepeatDelay)
				})
			})
		}
	}
}
