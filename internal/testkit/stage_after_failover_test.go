package testkit_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// stageAnswers collects all controllers' answers to users about one job.
type stageAnswers struct {
	*cluster
	job           string
	stages        map[string]int // number of answers, by stage
	refused       int            // answers with status 503
	wronglyQueued int            // answers "queued" although the job has been running for longer than stageLag
	runningSince  time.Time      // when tasks of the job began to run; zero if none runs
}

// queryAll queries the job at every running controller, and repeats its submission there.
func (s *stageAnswers) queryAll() {
	switch on := s.unfinishedTasks(s.job) > 0; {
	case !on:
		s.runningSince = time.Time{}
	case s.runningSince.IsZero():
		s.runningSince = time.Now()
	}
	for _, name := range s.controllerNames {
		if s.nodes[name].down {
			continue
		}
		s.record(s.httpRequest(name, http.MethodGet, "/api/jobs/"+s.job, ""))
		s.record(s.httpRequest(name, http.MethodPost, "/api/jobs", submissionBody(s.job, 1)))
	}
}

// record counts one answer.
func (s *stageAnswers) record(status int, state wire.JobState) {
	if status == http.StatusServiceUnavailable {
		s.refused++
		return
	}
	if status != http.StatusOK || state.UID != s.job {
		s.t.Errorf("%s: %d, %+v", s.job, status, state)
	}
	s.stages[state.Stage]++
	if state.Stage == wire.StageQueued && !s.runningSince.IsZero() && time.Since(s.runningSince) >= maxStageLag {
		s.wronglyQueued++
	}
}

// queryFor queries all controllers every 100 ms for some seconds. If heartbeats is set, the
// workers also send a heartbeat each second.
func (s *stageAnswers) queryFor(seconds int, heartbeats bool) {
	for range seconds {
		if heartbeats {
			s.runFor(1)
		}
		until := time.Now().Add(time.Second)
		for time.Now().Before(until) {
			s.queryAll()
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// newStageAnswers returns an empty collection of answers about a job. If its tasks are running,
// they count as running for longer than stageLag already.
func (w *cluster) newStageAnswers(job string) *stageAnswers {
	return &stageAnswers{cluster: w, job: job, stages: map[string]int{}, runningSince: time.Now().Add(-maxStageLag)}
}

// transferWithLag has the leader transfer its shards to a controller whose watch lags by the given
// time.
func (w *cluster) transferWithLag(to string, lag time.Duration) {
	w.delayWatch(to, "", lag)
	w.transferShards(w.nodes[w.leader()])
}

// leaderChanges lists events after which a job's leader has not received any heartbeats yet.
var leaderChanges = []struct {
	name   string
	change func(w *cluster)
}{
	{"transfer", func(w *cluster) { w.transferWithLag(w.otherControllers(w.leader())[0], 0) }},
	{"transfer to a leader whose watch lags", func(w *cluster) { w.transferWithLag(w.otherControllers(w.leader())[0], 4*time.Second) }},
	{"crash", func(w *cluster) { w.crash(w.leader()) }},
	{"restart of the leader", func(w *cluster) { w.restart(w.leader(), 100*time.Millisecond) }},
	{"restart of all controllers", func(w *cluster) {
		w.stopAll()
		time.Sleep(2 * time.Second)
		w.startStopped()
	}},
	{"crash, and another controller reaches only its peers", func(w *cluster) {
		leader := w.leader()
		w.cutFromStateService(w.otherControllers(leader)[0])
		w.crash(leader)
	}},
	{"a controller joins", func(w *cluster) { w.restart(w.otherControllers(w.leader())[0], 100*time.Millisecond) }},
}

// Guards against controllers that report a running job as queued while its new leader has not
// received heartbeats yet.
func TestRunningJobIsNotReportedQueuedAfterLeaderChange(t *testing.T) {
	for i, c := range leaderChanges {
		t.Run(c.name, func(t *testing.T) {
			runOnCluster(t, 4800+uint64(i), 3, 8, func(w *cluster) {
				w.submit("j-80", 6)
				if !w.runUntil(20, func() bool {
					stage, _ := w.userRequest(w.leader(), http.MethodGet, "j-80")
					return stage == wire.StageRunning
				}) {
					t.Fatal("the job did not start running within 20 s")
				}
				w.runFor(5)
				c.change(w)
				asked := w.newStageAnswers("j-80")
				asked.queryFor(5, false)
				asked.queryFor(20, true)
				t.Logf("answers %v, %d refused", asked.stages, asked.refused)
				if asked.wronglyQueued > 0 || asked.stages[wire.StageRunning] == 0 {
					t.Errorf("%d answers \"queued\" for a running job", asked.wronglyQueued)
				}
				settled := w.newStageAnswers("j-80")
				settled.queryFor(2, true)
				if settled.refused > 0 {
					t.Errorf("%d answers with status 503 from 25 s after the leader change on", settled.refused)
				}
			})
		})
	}
}

// maxLeaderlessTime bounds how long the shards of a crashed controller have no leader.
const maxLeaderlessTime = 15 * time.Second

// awaitNewLeader waits until a controller other than the previous leader leads.
func (w *cluster) awaitNewLeader(before string) {
	for since := time.Now(); w.leader() == "" || w.leader() == before; time.Sleep(100 * time.Millisecond) {
		if time.Since(since) > maxLeaderlessTime {
			w.t.Fatal("no controller took over the shards")
		}
	}
}

// Guards against controllers that answer 503 about a queued job for too long after a leader change.
// A worker that no controller hears may run the job only until the worker's lease ends; from then
// on controllers must answer.
func TestQueuedJobIsAnsweredWithinWorkerLeaseAfterLeaderChange(t *testing.T) {
	for i, c := range []struct {
		name   string
		change func(w *cluster)
		job    string
		within time.Duration // time from the new leader's claim until it must answer
	}{
		{"transfer, job accepted afterwards", leaderChanges[0].change, "j-90", 2 * time.Second},
		{"crash, job accepted afterwards", leaderChanges[2].change, "j-90", 2 * time.Second},
		{"transfer, its workers are cut off", leaderChanges[0].change, "j-80", workerLease + 2*time.Second},
		{"crash, its workers are cut off", leaderChanges[2].change, "j-80", workerLease + 2*time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			runOnCluster(t, 4850+uint64(i), 3, 2, func(w *cluster) {
				w.submit("j-80", 2)
				w.runFor(8)
				w.connectWorkersOnlyTo()
				before := w.leader()
				c.change(w)
				w.submit("j-90", 1)
				w.awaitNewLeader(before)
				time.Sleep(c.within)
				asked := w.newStageAnswers(c.job)
				asked.queryFor(2, false)
				if asked.refused > 0 || asked.stages[wire.StageQueued] == 0 || len(asked.stages) != 1 {
					t.Errorf("%v after the leader change: answers by stage %v, %d refused", c.within, asked.stages, asked.refused)
				}
			})
		})
	}
}

// Guards against controllers that answer 503 about a job of silent workers once its new leader has loaded it.
func TestJobOfSilentWorkersIsAnsweredFromTheLoadOn(t *testing.T) {
	for i, c := range leaderChanges[:5] {
		t.Run(c.name, func(t *testing.T) {
			runOnCluster(t, 4880+uint64(i), 3, 2, func(w *cluster) {
				w.submit("j-80", 2)
				w.runFor(8)
				w.connectWorkersOnlyTo()
				before := w.nodes[w.leader()].member.FencingToken()
				c.change(w)
				if !w.runUntil(20, func() bool {
					leader := w.leader()
					return leader != "" && w.nodes[leader].member.FencingToken() > before && w.loaded(leader)
				}) {
					t.Fatal("no controller loaded the shards")
				}
				asked := w.newStageAnswers("j-80")
				asked.queryFor(3, false)
				if asked.refused > 0 || asked.wronglyQueued > 0 || asked.stages[wire.StageRunning] == 0 {
					t.Errorf("answers by stage %v, %d refused", asked.stages, asked.refused)
				}
			})
		})
	}
}

// loaded reports whether a controller has loaded the shards that it claimed.
func (w *cluster) loaded(name string) bool { return w.nodes[name].scheduler.ShardsLoaded() }
