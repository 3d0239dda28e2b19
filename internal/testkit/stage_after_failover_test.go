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
	wronglyQueued   int            // answers "queued" for a job that has run for longer than its stage may lag
	runningSince time.Time      // since when tasks of the job are on workers; zero: none is
}

// queryAll polls the job at every controller, and repeats its submission there.
func (s *stageAnswers) queryAll() {
	switch on := s.onMachines(s.job) > 0; {
	case !on:
		s.runningSince = time.Time{}
	case s.runningSince.IsZero():
		s.runningSince = time.Now()
	}
	for _, name := range s.names {
		if s.nodes[name].down {
			continue
		}
		s.record(s.request(name, http.MethodGet, "/api/jobs/"+s.job, ""))
		s.record(s.request(name, http.MethodPost, "/api/jobs", submissionBody(s.job, 1)))
	}
}

// record notes an answer.
func (s *stageAnswers) record(status int, state wire.JobState) {
	if status == http.StatusServiceUnavailable {
		s.refused++
		return
	}
	if status != http.StatusOK || state.UID != s.job {
		s.t.Errorf("%s: %d, %+v", s.job, status, state)
	}
	s.stages[state.Stage]++
	if state.Stage == wire.StageQueued && !s.runningSince.IsZero() && time.Since(s.runningSince) >= stageLag {
		s.wronglyQueued++
	}
}

// queryFor asks for so long, without heartbeats of the workers or with them.
func (s *stageAnswers) queryFor(seconds int, heartbeats bool) {
	for range seconds {
		if heartbeats {
			s.live(1)
		}
		until := time.Now().Add(time.Second)
		for time.Now().Before(until) {
			s.queryAll()
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// newStageAnswers begins to collect the answers about a job whose tasks, if they are on workers, have
// been there for long.
func (w *cluster) newStageAnswers(job string) *stageAnswers {
	return &stageAnswers{cluster: w, job: job, stages: map[string]int{}, runningSince: time.Now().Add(-stageLag)}
}

// transferWithLag has the leader transfer its shards to a controller whose watch is behind by so much.
func (w *cluster) transferWithLag(to string, behind time.Duration) {
	w.delayWatch(to, "", behind)
	w.moveJobs(w.nodes[w.leader()])
}

// leaderChanges are the ways in which a job gets a leader that has no heartbeats yet.
var leaderChanges = []struct {
	name   string
	change func(w *cluster)
}{
	{"transfer", func(w *cluster) { w.transferWithLag(w.others(w.leader())[0], 0) }},
	{"transfer to a leader whose watch is behind", func(w *cluster) { w.transferWithLag(w.others(w.leader())[0], 4*time.Second) }},
	{"crash", func(w *cluster) { w.crash(w.leader()) }},
	{"restart of the leader", func(w *cluster) { w.restart(w.leader(), 100*time.Millisecond) }},
	{"restart of all controllers", func(w *cluster) {
		w.stopAll()
		time.Sleep(2 * time.Second)
		w.startAll()
	}},
	{"crash, and another controller reaches only its peers", func(w *cluster) {
		leader := w.leader()
		w.refuse(w.others(leader)[0])
		w.crash(leader)
	}},
	{"a controller joins", func(w *cluster) { w.restart(w.others(w.leader())[0], 100*time.Millisecond) }},
}

// Guards against a running job that is called queued while its new leader has no heartbeats.
func TestRunningJobIsNotReportedQueuedAfterLeaderChange(t *testing.T) {
	for i, c := range leaderChanges {
		t.Run(c.name, func(t *testing.T) {
			onCluster(t, 4800+uint64(i), 3, 8, func(w *cluster) {
				w.submit("j-80", 6)
				if !w.within(20, func() bool { stage, _ := w.user(w.leader(), http.MethodGet, "j-80"); return stage == wire.StageRunning }) {
					t.Fatal("the job does not run")
				}
				w.live(5)
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
					t.Errorf("%d refusals 25 s after the change", settled.refused)
				}
			})
		})
	}
}

// maxLeaderlessTime bounds how long the shards of a crashed controller have no leader.
const maxLeaderlessTime = 15 * time.Second

// awaitNewLeader waits for a leader other than the one before.
func (w *cluster) awaitNewLeader(before string) {
	for since := time.Now(); w.leader() == "" || w.leader() == before; time.Sleep(100 * time.Millisecond) {
		if time.Since(since) > maxLeaderlessTime {
			w.t.Fatal("nobody leads")
		}
	}
}

// Guards against a queued job that nobody answers for after a change of the leader: a worker
// that no controller hears may run it for a lease at most.
func TestQueuedJobIsAnsweredWithinWorkerLeaseAfterLeaderChange(t *testing.T) {
	for i, c := range []struct {
		name   string
		change func(w *cluster)
		job    string
		within time.Duration // of the new leader's claim
	}{
		{"transfer, accepted since", leaderChanges[0].change, "j-90", 2 * time.Second},
		{"crash, accepted since", leaderChanges[2].change, "j-90", 2 * time.Second},
		{"transfer, its workers are cut off", leaderChanges[0].change, "j-80", workerLease + 2*time.Second},
		{"crash, its workers are cut off", leaderChanges[2].change, "j-80", workerLease + 2*time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			onCluster(t, 4850+uint64(i), 3, 2, func(w *cluster) {
				w.submit("j-80", 2)
				w.live(8)
				for _, k := range w.workers {
					w.cutAll(k.Name, w.names...)
				}
				before := w.leader()
				c.change(w)
				w.submit("j-90", 1)
				w.awaitNewLeader(before)
				time.Sleep(c.within)
				asked := w.newStageAnswers(c.job)
				asked.queryFor(2, false)
				if asked.refused > 0 || asked.stages[wire.StageQueued] == 0 || len(asked.stages) != 1 {
					t.Errorf("%v after the change: %v, %d refused", c.within, asked.stages, asked.refused)
				}
			})
		})
	}
}
