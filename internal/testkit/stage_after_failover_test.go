package testkit_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// stageAnswers are what users were told of one job, by all controllers.
type stageAnswers struct {
	*cluster
	job     string
	stages  map[string]int // answers, by stage
	refused int            // answers of status 503
	wrong   int            // answers "queued" for a job that has run for longer than its stage may lag
	onSince time.Time      // since when tasks of the job are on workers; zero: none is
}

// ask polls the job at every controller, and repeats its submission there.
func (s *stageAnswers) ask() {
	switch on := s.unfinishedTasks(s.job) > 0; {
	case !on:
		s.onSince = time.Time{}
	case s.onSince.IsZero():
		s.onSince = time.Now()
	}
	for _, name := range s.controllerNames {
		if s.nodes[name].down {
			continue
		}
		s.heard(s.httpRequest(name, http.MethodGet, "/api/jobs/"+s.job, ""))
		s.heard(s.httpRequest(name, http.MethodPost, "/api/jobs", submissionBody(s.job, 1)))
	}
}

// heard notes an answer.
func (s *stageAnswers) heard(status int, state wire.JobState) {
	if status == http.StatusServiceUnavailable {
		s.refused++
		return
	}
	if status != http.StatusOK || state.UID != s.job {
		s.t.Errorf("%s: %d, %+v", s.job, status, state)
	}
	s.stages[state.Stage]++
	if state.Stage == wire.StageQueued && !s.onSince.IsZero() && time.Since(s.onSince) >= maxStageLag {
		s.wrong++
	}
}

// askFor asks for so long, without heartbeats of the workers or with them.
func (s *stageAnswers) askFor(seconds int, heartbeats bool) {
	for range seconds {
		if heartbeats {
			s.runFor(1)
		}
		until := time.Now().Add(time.Second)
		for time.Now().Before(until) {
			s.ask()
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// answersOf begins to collect the answers about a job whose tasks, if they are on workers, have
// been there for long.
func (w *cluster) answersOf(job string) *stageAnswers {
	return &stageAnswers{cluster: w, job: job, stages: map[string]int{}, onSince: time.Now().Add(-maxStageLag)}
}

// transferTo has the leader transfer its shards to a controller whose watch is behind by so much.
func (w *cluster) transferTo(to string, behind time.Duration) {
	w.delayWatch(to, "", behind)
	w.transferShards(w.nodes[w.leader()])
}

// changesOfLeader are the ways in which a job gets a leader that has no heartbeats yet.
var changesOfLeader = []struct {
	name   string
	change func(w *cluster)
}{
	{"transfer", func(w *cluster) { w.transferTo(w.otherControllers(w.leader())[0], 0) }},
	{"transfer to a leader whose watch is behind", func(w *cluster) { w.transferTo(w.otherControllers(w.leader())[0], 4*time.Second) }},
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

// Guards against a running job that is called queued while its new leader has no heartbeats.
func TestRunningJobIsNotCalledQueuedAfterChangeOfLeader(t *testing.T) {
	for i, c := range changesOfLeader {
		t.Run(c.name, func(t *testing.T) {
			runOnCluster(t, 4800+uint64(i), 3, 8, func(w *cluster) {
				w.submit("j-80", 6)
				if !w.runUntil(20, func() bool {
					stage, _ := w.userRequest(w.leader(), http.MethodGet, "j-80")
					return stage == wire.StageRunning
				}) {
					t.Fatal("the job does not run")
				}
				w.runFor(5)
				c.change(w)
				asked := w.answersOf("j-80")
				asked.askFor(5, false)
				asked.askFor(20, true)
				t.Logf("answers %v, %d refused", asked.stages, asked.refused)
				if asked.wrong > 0 || asked.stages[wire.StageRunning] == 0 {
					t.Errorf("%d answers \"queued\" for a running job", asked.wrong)
				}
				settled := w.answersOf("j-80")
				settled.askFor(2, true)
				if settled.refused > 0 {
					t.Errorf("%d refusals 25 s after the change", settled.refused)
				}
			})
		})
	}
}

// leaderlessFor bounds how long the shards of a crashed controller have no leader.
const leaderlessFor = 15 * time.Second

// awaitNewLeader waits for a leader other than the one before.
func (w *cluster) awaitNewLeader(before string) {
	for since := time.Now(); w.leader() == "" || w.leader() == before; time.Sleep(100 * time.Millisecond) {
		if time.Since(since) > leaderlessFor {
			w.t.Fatal("nobody leads")
		}
	}
}

// Guards against a queued job that nobody answers for after a change of the leader: a worker
// that no controller hears may run it for a lease at most.
func TestQueuedJobIsAnsweredWithinWorkerLeaseAfterChangeOfLeader(t *testing.T) {
	for i, c := range []struct {
		name   string
		change func(w *cluster)
		job    string
		within time.Duration // of the new leader's claim
	}{
		{"transfer, accepted since", changesOfLeader[0].change, "j-90", 2 * time.Second},
		{"crash, accepted since", changesOfLeader[2].change, "j-90", 2 * time.Second},
		{"transfer, its workers are cut off", changesOfLeader[0].change, "j-80", workerLease + 2*time.Second},
		{"crash, its workers are cut off", changesOfLeader[2].change, "j-80", workerLease + 2*time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			runOnCluster(t, 4850+uint64(i), 3, 2, func(w *cluster) {
				w.submit("j-80", 2)
				w.runFor(8)
				for _, k := range w.workers {
					w.breakLinks(k.Name, w.controllerNames...)
				}
				before := w.leader()
				c.change(w)
				w.submit("j-90", 1)
				w.awaitNewLeader(before)
				time.Sleep(c.within)
				asked := w.answersOf(c.job)
				asked.askFor(2, false)
				if asked.refused > 0 || asked.stages[wire.StageQueued] == 0 || len(asked.stages) != 1 {
					t.Errorf("%v after the change: %v, %d refused", c.within, asked.stages, asked.refused)
				}
			})
		})
	}
}
