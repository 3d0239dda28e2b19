package testkit_test

import (
	"net/http"
	"testing"
	"time"
)

func TestJobIsNotForgottenWhileLeadersEndInSeries(t *testing.T) {
	const (
		forgottenAfter = 75 * time.Second
		leaders        = 10
		leaderEndsS    = 9 // seconds from one end to the next
	)
	runOnCluster(t, 4870, 3, 2, func(w *cluster) {
		w.submit("j-80", 2)
		w.runFor(8)
		for _, worker := range w.workers {
			w.breakLinks(worker.Name, w.controllerNames...)
		}
		answeredAt, longest := time.Now(), time.Duration(0)
		for range leaders {
			leader := w.leader()
			w.restart(leader, time.Second)
			w.awaitNewLeader("")
			for end := time.Now().Add(leaderEndsS * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
				for _, name := range w.controllerNames {
					if status, _ := w.httpRequest(name, http.MethodGet, "/api/jobs/j-80", ""); status == http.StatusOK {
						answeredAt = time.Now()
					}
				}
				longest = max(longest, time.Since(answeredAt))
			}
		}
		if longest >= forgottenAfter {
			t.Errorf("no answer for %v while each leader led for %d s", longest, leaderEndsS)
		}
	})
}
