package testkit_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// Stages of a job in which its user cancels it.
const (
	cancelAccepted  = iota // right after the response to its submission
	cancelPlaced           // its placement is being recorded
	cancelQueued           // its dispatcher is told that it is queued
	cancelLaunching        // its start command is in flight
	cancelRunning          // it has started
	cancelEnded            // its task has ended and no controller knows yet
	cancelDone             // its user was told that it is done
	cancelStages
	cancelNever = -1
)

// streamedJob is a one-task job of a jobStream.
type streamedJob struct {
	uid             string
	cancelAt        int
	cancelRequested bool // its user has sent a cancel
	placed          bool // the recording of its placement has begun
	started         time.Time
	accepted        time.Time
	lastAnswer      time.Time     // time of the last answered poll
	longestSilence  time.Duration // longest time between two answered polls
}

// jobStream has users submit one-task jobs at all controllers, poll them and cancel some.
type jobStream struct {
	*cluster
	users sync.WaitGroup

	jobsMu          sync.Mutex // guards the fields below
	allJobs         []*streamedJob
	byUID           map[string]*streamedJob
	cancelCounts    [cancelStages]int // cancels sent in each stage
	polls           int
	unansweredPolls int // polls without a response
	startsInFlight  int // starts of cancelled jobs whose start command was in flight
	lateStarts      []string
	writes          map[string]int // operations sent to the state service, by the first component of the key
	writesPerSecond map[int64]int
}

// anyController draws a controller that is up.
func (s *jobStream) anyController() string {
	for {
		if name := s.controllerNames[s.planIntN(len(s.controllerNames))]; !s.isDown(name) {
			return name
		}
	}
}

// cancelAtStage sends the job's cancel if it is due in this stage, and repeats it until it is answered.
func (s *jobStream) cancelAtStage(job *streamedJob, stage int) {
	s.jobsMu.Lock()
	due := !job.cancelRequested && job.cancelAt == stage
	if due {
		job.cancelRequested = true
		s.cancelCounts[stage]++
	}
	s.jobsMu.Unlock()
	for range 60 {
		if !due {
			return
		}
		if _, answered := s.userRequest(s.anyController(), http.MethodPost, job.uid); answered {
			return
		}
		time.Sleep(time.Second)
	}
	s.fail("no controller answered the cancel of %s in stage %d", job.uid, stage)
}

// cancelAtStageAsync is cancelAtStage for callers that hold locks.
func (s *jobStream) cancelAtStageAsync(job *streamedJob, stage int) {
	s.users.Go(func() { s.cancelAtStage(job, stage) })
}

// setCancelHooks installs hooks that cancel the jobs in their stages.
func (s *jobStream) setCancelHooks() {
	s.onInstructions = func(d dispatch.Instructions) {
		for _, e := range d.Assign {
			if job := s.jobOf(e.Task); job != nil && !e.Reported {
				s.cancelAtStageAsync(job, cancelQueued)
			}
		}
	}
	s.onCommands = func(_ string, o wire.PushedCommands) {
		for _, c := range o.Commands {
			if job := s.jobOf(c.Task); job != nil && c.Verb == wire.VerbStart {
				s.cancelAtStage(job, cancelLaunching) // confirmed before the command arrives
			}
		}
	}
	for _, k := range s.workers {
		started := k.OnStart
		k.OnStart = func(task string, attempt uint64) {
			started(task, attempt)
			s.noteStart(s.jobOf(task))
		}
		k.ExitCode = func(task string) int {
			if job := s.jobOf(task); job != nil {
				s.cancelAtStageAsync(job, cancelEnded)
			}
			return 0
		}
	}
}

// noteStart records a start; the caller holds the cluster's lock.
func (s *jobStream) noteStart(job *streamedJob) {
	if job == nil {
		return
	}
	s.jobsMu.Lock()
	defer s.jobsMu.Unlock()
	if job.started.IsZero() {
		job.started = time.Now()
	}
	if at, cancelled := s.confirmedCancels[job.uid]; cancelled {
		switch {
		case job.cancelAt == cancelLaunching:
			s.startsInFlight++
		case time.Since(at) > 0: // else the command was sent before the confirmation, at the same simulated instant
			s.lateStarts = append(s.lateStarts, job.uid)
		}
	}
	s.users.Go(func() { time.Sleep(500 * time.Millisecond); s.cancelAtStage(job, cancelRunning) })
}

func (s *jobStream) jobOf(task string) *streamedJob {
	uid, _, _ := strings.Cut(task, "/")
	s.jobsMu.Lock()
	defer s.jobsMu.Unlock()
	return s.byUID[uid]
}

// countWrites counts the operations that a controller sends to the state service, and detects the
// jobs whose placements it records.
func (s *jobStream) countWrites(txn wire.Txn) {
	s.jobsMu.Lock()
	defer s.jobsMu.Unlock()
	s.writesPerSecond[time.Now().Unix()] += len(txn.Then)
	for _, op := range txn.Then {
		prefix, _, _ := strings.Cut(op.Put+op.Delete, "/")
		s.writes[prefix]++
		value, isRecord := op.Value.(json.RawMessage)
		if prefix != "log" || !isRecord {
			continue
		}
		for _, job := range s.allJobs[max(0, len(s.allJobs)-200):] {
			if !job.placed && bytes.Contains(value, []byte(`"`+job.uid+`"`)) {
				job.placed = true
				s.cancelAtStageAsync(job, cancelPlaced)
			}
		}
	}
}

// submitAndFollow submits a job and polls it until its user is told how it ended.
func (s *jobStream) submitAndFollow(n int) {
	job := &streamedJob{uid: fmt.Sprintf("j-1%05d", n), cancelAt: cancelNever}
	if n%4 == 0 {
		job.cancelAt = n / 4 % cancelStages
	}
	s.jobsMu.Lock()
	s.allJobs, s.byUID[job.uid] = append(s.allJobs, job), job
	s.jobsMu.Unlock()
	for status := 0; status != http.StatusCreated && status != http.StatusOK; {
		if status, _ = s.httpRequest(s.anyController(), http.MethodPost, "/api/jobs", submissionBodyWith(job.uid, nil)); status/100 != 2 {
			time.Sleep(time.Second)
		}
	}
	job.accepted, job.lastAnswer = time.Now(), time.Now()
	s.jobsMu.Lock()
	notPlaced := !job.placed
	s.jobsMu.Unlock()
	if notPlaced {
		s.cancelAtStage(job, cancelAccepted)
	}
	for {
		time.Sleep(4*time.Second + time.Duration(s.planIntN(2000))*time.Millisecond)
		stage, answered := s.userRequest(s.anyController(), http.MethodGet, job.uid)
		s.jobsMu.Lock()
		s.polls++
		if !answered {
			s.unansweredPolls++
		} else {
			job.longestSilence, job.lastAnswer = max(job.longestSilence, time.Since(job.lastAnswer)), time.Now()
		}
		s.jobsMu.Unlock()
		if stage == wire.StageDone {
			s.cancelAtStage(job, cancelDone)
		}
		if stage == wire.StageDone || stage == wire.StageCancelled {
			return
		}
	}
}

// Four one-task jobs are submitted per second for three minutes. A quarter of them are cancelled, spread
// over all stages and controllers. Meanwhile the leader restarts and later transfers its shards, and
// another controller restarts. Polls and cancels are answered, leases are kept, no job waits
// too long or is lost, and the state retained for ended jobs is bounded.
func TestStreamOfShortJobsWithCancelsAndFailovers(t *testing.T) {
	const jobs, perSecond = 720, 4
	runOnCluster(t, 3750, 3, 12, func(w *cluster) {
		s := &jobStream{cluster: w, byUID: map[string]*streamedJob{}, writes: map[string]int{}, writesPerSecond: map[int64]int{}}
		w.losslessReports = true
		setHooks := func() {
			for _, n := range w.nodes {
				n.view.LoseResponse, n.view.Hold = nil, nil
				n.view.BeforeTxn.Set(s.countWrites)
			}
		}
		setHooks()
		s.setCancelHooks()
		began := time.Now()
		s.users.Go(func() {
			for n := range jobs {
				s.users.Go(func() { s.submitAndFollow(n) })
				time.Sleep(time.Second / perSecond)
			}
		})
		restarted := map[string]time.Time{}
		restart := func(name string) {
			w.restart(name, 300*time.Millisecond)
			setHooks()
			restarted[name] = time.Now()
		}
		for second := range jobs / perSecond {
			switch second {
			case 60:
				restart(w.leader())
			case 100:
				l := w.leader()
				if err := w.nodes[l].member.TransferShards(context.Background(), w.otherControllers(l)[0]); err != nil {
					w.t.Error(err)
				}
			case 120:
				restart(w.otherControllers(w.leader())[1])
			}
			w.runFor(1)
			for _, name := range w.controllerNames {
				if w.nodes[name].member.LeaseRemaining() <= 0 && time.Since(restarted[name]) > 2*time.Second {
					w.fail("%s holds no lease after %d s", name, second)
				}
			}
		}
		w.runFor(20)
		s.users.Wait()
		s.checkResults(jobs, time.Since(began))
	})
}

// checkResults checks what users saw of the stream, and the state that is retained afterwards.
func (s *jobStream) checkResults(jobs int, took time.Duration) {
	s.t.Helper()
	for stage, n := range s.cancelCounts {
		if n < jobs/4/cancelStages/2 {
			s.t.Errorf("only %d cancels in stage %d", n, stage)
		}
	}
	if s.startsInFlight < s.cancelCounts[cancelLaunching]/2 {
		s.t.Errorf("%d start commands were in flight when their jobs were cancelled, of %d", s.startsInFlight, s.cancelCounts[cancelLaunching])
	}
	for _, uid := range s.lateStarts {
		s.t.Errorf("%s started after its cancel, although no command was in flight", uid)
	}
	longestWait, longestSilence := time.Duration(0), time.Duration(0)
	for _, job := range s.allJobs {
		longestSilence = max(longestSilence, job.longestSilence)
		if !job.started.IsZero() {
			longestWait = max(longestWait, job.started.Sub(job.accepted))
		} else if !job.cancelRequested {
			s.t.Errorf("%s never started", job.uid)
		}
		for _, name := range s.controllerNames {
			stage, answered := s.userRequest(name, http.MethodGet, job.uid)
			if !answered || stage != wire.StageDone && (stage != wire.StageCancelled || !job.cancelRequested) {
				s.t.Errorf("%s reports stage %s, answered %v, of %s, cancelled %v", name, stage, answered, job.uid, job.cancelRequested)
			}
		}
	}
	if longestWait > 15*time.Second || longestSilence > 20*time.Second || s.unansweredPolls*50 > s.polls {
		s.t.Errorf("a job waited for %v, one had no answered poll for %v, %d of %d polls were not answered", longestWait, longestSilence, s.unansweredPolls, s.polls)
	}
	writes, maxPerSecond := 0, 0
	for _, n := range s.writes {
		writes += n
	}
	for _, n := range s.writesPerSecond {
		maxPerSecond = max(maxPerSecond, n)
	}
	// Per job: 1 write for the acceptance, 2 for the end, 0.25 for a cancel, and a share of a log record.
	if perJob := float64(writes) / float64(jobs); perJob > 5 || maxPerSecond > 60 {
		s.t.Errorf("%.2f writes a job, %d in a second", perJob, maxPerSecond)
	}
	s.t.Logf("cancels by stage %v, %d starts in flight; longest wait %v, longest time without an answered poll %v, %d of %d polls not answered", s.cancelCounts, s.startsInFlight, longestWait, longestSilence, s.unansweredPolls, s.polls)
	s.t.Logf("%.2f writes a job, at most %d in a second, in %v: %v", float64(writes)/float64(jobs), maxPerSecond, took, s.writes)
	s.checkRetained(jobs)
}

// checkRetained checks what is retained of ended jobs: their final records for good, a few log
// records, and their cancels for ten minutes.
func (s *jobStream) checkRetained(jobs int) {
	s.t.Helper()
	view := &testkit.View{Store: s.store}
	final, live, tasks, slots := len(view.Keys("final/")), len(view.Keys("live/")), len(view.Keys("task/")), len(view.Keys("log/"))
	if final != jobs || live > 0 || tasks > 0 || slots > 60 {
		s.t.Errorf("keys: %d final, %d live, %d task, %d log", final, live, tasks, slots)
	}
	cancelsBefore := make([]int, 0, len(s.controllerNames))
	for _, name := range s.controllerNames {
		n := s.nodes[name]
		queues := n.scheduler.QueueDepths()
		if queues["jobs"]+queues["unwritten"]+queues["pending"] > 0 {
			s.t.Errorf("%s still holds %v", name, queues)
		}
		cancelsBefore = append(cancelsBefore, n.cancellations.Count())
		if n.cancellations.Count() > len(s.confirmedCancels) {
			s.t.Errorf("%s retains %d cancels of %d", name, n.cancellations.Count(), len(s.confirmedCancels))
		}
	}
	time.Sleep(11 * time.Minute)
	s.exchangeReachability()
	s.publishViews()
	for _, name := range s.controllerNames {
		n := s.nodes[name]
		_, queued, orders := n.dispatcher.Counts() // entries for workers that report elsewhere are kept for 10 minutes
		if n.cancellations.Count()+queued+orders > 0 {
			s.t.Errorf("%s retains %d cancels, %d queued tasks and %d direct messages after 11 minutes", name, n.cancellations.Count(), queued, orders)
		}
	}
	s.t.Logf("cancels retained: %v of %d, none after 11 minutes; keys: %d final, %d log", cancelsBefore, len(s.confirmedCancels), final, slots)
}
