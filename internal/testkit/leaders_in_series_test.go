package testkit_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// longestWithoutAnswer is the time after which a job without an answer counts as forgotten, by the
// operators' rules: 75 s once faults are over, 90 s during them. It is the shorter one.
const longestWithoutAnswer = 75 * time.Second

// answerGap measures for how long no controller answers polls for a job.
type answerGap struct {
	*cluster
	job        string
	except     string // controller that users do not reach; empty: they reach all
	answeredAt time.Time
	longest    time.Duration
}

// pollFor polls all running controllers each second until the period has passed.
func (g *answerGap) pollFor(period time.Duration) {
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(time.Second) {
		for _, name := range g.controllerNames {
			if name == g.except || g.isDown(name) {
				continue
			}
			if status, _ := g.httpRequest(name, http.MethodGet, "/api/jobs/"+g.job, ""); status == http.StatusOK {
				g.answeredAt = time.Now()
			}
		}
		g.longest = max(g.longest, time.Since(g.answeredAt))
	}
}

// restartLeaderAfter polls for the period, and then restarts the leader.
func (g *answerGap) restartLeaderAfter(period time.Duration) {
	g.pollFor(period)
	g.restart(g.leader(), time.Second)
	g.awaitNewLeader("")
}

func TestJobOfSilentWorkersIsNotForgottenWhileLeadersEndInSeries(t *testing.T) {
	const (
		seriesDuration = 2 * time.Minute
		longestLeaseS  = 44 // of workers, of all deployments
	)
	for i, interval := range []time.Duration{8 * time.Second, 12 * time.Second, 25 * time.Second, 40 * time.Second} {
		t.Run(fmt.Sprint("a leader each ", interval), func(t *testing.T) {
			t.Parallel()
			setLease := func(w *cluster) { w.cfg.Params.Workers.LeaseS = longestLeaseS }
			runOnPreparedCluster(t, 4870+uint64(i), 3, 2, setLease, func(w *cluster) {
				w.submit("j-80", 2)
				w.runFor(8)
				w.connectWorkersOnlyTo()
				gap := &answerGap{cluster: w, job: "j-80", answeredAt: time.Now()}
				for began := time.Now(); time.Since(began) < seriesDuration; {
					gap.restartLeaderAfter(interval)
				}
				gap.pollFor(longestWithoutAnswer)
				if gap.longest >= longestWithoutAnswer {
					t.Errorf("no answer for %v, leaders ended every %v", gap.longest, interval)
				}
			})
		})
	}
}

func TestLiveJobIsNotForgottenWhileItsLeaderReachesNoOtherController(t *testing.T) {
	runOnCluster(t, 4890, 3, 4, func(w *cluster) {
		w.submit("j-80", 4)
		w.runFor(8)
		leader := w.leader()
		w.cutPeers()
		gap := &answerGap{cluster: w, job: "j-80", answeredAt: time.Now(), except: leader}
		for began := time.Now(); time.Since(began) < longestWithoutAnswer+10*time.Second; {
			w.runFor(1)
			gap.pollFor(time.Second)
		}
		if gap.longest >= longestWithoutAnswer {
			t.Errorf("no answer for %v at the controllers that don't reach the leader", gap.longest)
		}
	})
}
