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

// Stages of a job at which its user cancels it.
const (
	cancelAccepted  = iota // right after the answer to its submission
	cancelPlaced           // its placement is being recorded
	cancelQueued           // its dispatcher is sent that it is queued
	cancelLaunching        // its start command is on its way
	cancelRunning          // it has started
	cancelEnded            // its task has ended, and no controller knows
	cancelDone             // its user has heard that it is done
	cancelStages
	cancelNever = -1
)

// streamed is a one-task job of a stream.
type streamed struct {
	uid      string
	cancelAt int
	asked    bool // its user has called it off
	placed   bool // its place was being recorded, or later
	started  time.Time
	accepted time.Time
	answered time.Time     // when a question about it was last answered
	silent   time.Duration // the longest time without an answer
}

// jobStream has users submit one-task jobs at all controllers, ask for them and cancel some.
type jobStream struct {
	*cluster
	users sync.WaitGroup

	jobs      sync.Mutex // guards what follows
	all       []*streamed
	byUID     map[string]*streamed
	fell      [cancelStages]int // cancels asked for at each stage
	polls     int
	unsure    int // questions without an answer
	launches  int // starts of cancelled jobs whose command was on its way
	lateStart []string
	writes    map[string]int // changes sent to the state service, by the first part of their keys
	perSecond map[int64]int
}

// any draws a controller that is up.
func (s *jobStream) any() string {
	for {
		if name := s.names[s.draw(len(s.names))]; !s.isDown(name) {
			return name
		}
	}
}

// cancel calls a job off, once, and comes back until its user hears how it is.
func (s *jobStream) cancel(job *streamed, stage int) {
	s.jobs.Lock()
	due := !job.asked && job.cancelAt == stage
	if due {
		job.asked = true
		s.fell[stage]++
	}
	s.jobs.Unlock()
	for range 60 {
		if !due {
			return
		}
		if _, heard := s.user(s.any(), http.MethodPost, job.uid); heard {
			return
		}
		time.Sleep(time.Second)
	}
	s.fail("nobody says how %s is, which was cancelled at stage %d", job.uid, stage)
}

// later is cancel for callers that hold locks.
func (s *jobStream) later(job *streamed, stage int) { s.users.Go(func() { s.cancel(job, stage) }) }

// watchStages has the jobs cancelled at their stages.
func (s *jobStream) watchStages() {
	s.onInstructions = func(d dispatch.Instructions) {
		for _, e := range d.Assign {
			if job := s.jobOf(e.Task); job != nil && !e.Reported {
				s.later(job, cancelQueued)
			}
		}
	}
	s.onCommands = func(_ string, o wire.PushedCommands) {
		for _, c := range o.Commands {
			if job := s.jobOf(c.Task); job != nil && c.Verb == wire.VerbStart {
				s.cancel(job, cancelLaunching) // confirmed before the command arrives
			}
		}
	}
	for _, k := range s.workers {
		started := k.Started
		k.Started = func(task string, attempt uint64) {
			started(task, attempt)
			s.sawStart(s.jobOf(task))
		}
		k.Exit = func(task string) int {
			if job := s.jobOf(task); job != nil {
				s.later(job, cancelEnded)
			}
			return 0
		}
	}
}

// sawStart notes a start; the caller holds the cluster's lock.
func (s *jobStream) sawStart(job *streamed) {
	if job == nil {
		return
	}
	s.jobs.Lock()
	defer s.jobs.Unlock()
	if job.started.IsZero() {
		job.started = time.Now()
	}
	if at, heard := s.confirmedCancels[job.uid]; heard {
		switch {
		case job.cancelAt == cancelLaunching:
			s.launches++
		case time.Since(at) > 0: // else the command left before: simulated time stands still meanwhile
			s.lateStart = append(s.lateStart, job.uid)
		}
	}
	s.users.Go(func() { time.Sleep(500 * time.Millisecond); s.cancel(job, cancelRunning) })
}

func (s *jobStream) jobOf(task string) *streamed {
	uid, _, _ := strings.Cut(task, "/")
	s.jobs.Lock()
	defer s.jobs.Unlock()
	return s.byUID[uid]
}

// countWrites counts what a controller sends to the state service, and sees which jobs'
// placements it records.
func (s *jobStream) countWrites(txn wire.Txn) {
	s.jobs.Lock()
	defer s.jobs.Unlock()
	s.perSecond[time.Now().Unix()] += len(txn.Then)
	for _, op := range txn.Then {
		prefix, _, _ := strings.Cut(op.Put+op.Delete, "/")
		s.writes[prefix]++
		value, isRecord := op.Value.(json.RawMessage)
		if prefix != "log" || !isRecord {
			continue
		}
		for _, job := range s.all[max(0, len(s.all)-200):] {
			if !job.placed && bytes.Contains(value, []byte(`"`+job.uid+`"`)) {
				job.placed = true
				s.later(job, cancelPlaced)
			}
		}
	}
}

// submitOne submits a job and follows it until its user hears how it ended.
func (s *jobStream) submitOne(n int) {
	job := &streamed{uid: fmt.Sprintf("j-1%05d", n), cancelAt: cancelNever}
	if n%4 == 0 {
		job.cancelAt = n / 4 % cancelStages
	}
	s.jobs.Lock()
	s.all, s.byUID[job.uid] = append(s.all, job), job
	s.jobs.Unlock()
	for status := 0; status != http.StatusCreated && status != http.StatusOK; {
		if status, _ = s.request(s.any(), http.MethodPost, "/api/jobs", submissionWith(job.uid, nil)); status/100 != 2 {
			time.Sleep(time.Second)
		}
	}
	job.accepted, job.answered = time.Now(), time.Now()
	s.jobs.Lock()
	early := !job.placed
	s.jobs.Unlock()
	if early {
		s.cancel(job, cancelAccepted)
	}
	for {
		time.Sleep(4*time.Second + time.Duration(s.draw(2000))*time.Millisecond)
		stage, heard := s.user(s.any(), http.MethodGet, job.uid)
		s.jobs.Lock()
		s.polls++
		if !heard {
			s.unsure++
		} else {
			job.silent, job.answered = max(job.silent, time.Since(job.answered)), time.Now()
		}
		s.jobs.Unlock()
		if stage == wire.StageDone {
			s.cancel(job, cancelDone)
		}
		if stage == wire.StageDone || stage == wire.StageCancelled {
			return
		}
	}
}

// One-task jobs come four a second for three minutes, and a quarter of them is cancelled at
// every stage, at all controllers, while the leader is back after a moment, transfers its shards, and
// another controller is back after a moment. Questions and cancels are answered, leases hold,
// no job waits or is forgotten, and what is kept of jobs that are over is bounded.
func TestStreamOfShortJobsWithCancelsAndFailovers(t *testing.T) {
	const jobs, perSecond = 720, 4
	onCluster(t, 3750, 3, 12, func(w *cluster) {
		s := &jobStream{cluster: w, byUID: map[string]*streamed{}, writes: map[string]int{}, perSecond: map[int64]int{}}
		w.losslessReports = true
		hook := func() {
			for _, n := range w.nodes {
				n.view.Lose, n.view.Late = nil, nil
				n.view.Sending.Set(s.countWrites)
			}
		}
		hook()
		s.watchStages()
		began := time.Now()
		s.users.Go(func() {
			for n := range jobs {
				s.users.Go(func() { s.submitOne(n) })
				time.Sleep(time.Second / perSecond)
			}
		})
		restarted := map[string]time.Time{}
		restart := func(name string) {
			w.restart(name, 300*time.Millisecond)
			hook()
			restarted[name] = time.Now()
		}
		for second := range jobs / perSecond {
			switch second {
			case 60:
				restart(w.leader())
			case 100:
				l := w.leader()
				if err := w.nodes[l].member.TransferShards(context.Background(), w.others(l)[0]); err != nil {
					w.t.Error(err)
				}
			case 120:
				restart(w.others(w.leader())[1])
			}
			w.live(1)
			for _, name := range w.names {
				if w.nodes[name].member.LeaseRemaining() <= 0 && time.Since(restarted[name]) > 2*time.Second {
					w.fail("%s holds no lease after %d s", name, second)
				}
			}
		}
		w.live(20)
		s.users.Wait()
		s.judge(jobs, time.Since(began))
	})
}

// judge checks what users saw of the stream, and what is kept of it.
func (s *jobStream) judge(jobs int, took time.Duration) {
	s.t.Helper()
	for stage, n := range s.fell {
		if n < jobs/4/cancelStages/2 {
			s.t.Errorf("%d cancels at stage %d", n, stage)
		}
	}
	if s.launches < s.fell[cancelLaunching]/2 {
		s.t.Errorf("%d start commands were on their way when their jobs were cancelled, of %d", s.launches, s.fell[cancelLaunching])
	}
	for _, uid := range s.lateStart {
		s.t.Errorf("%s started after its cancel, and no command was on its way", uid)
	}
	wait, silent := time.Duration(0), time.Duration(0)
	for _, job := range s.all {
		silent = max(silent, job.silent)
		if !job.started.IsZero() {
			wait = max(wait, job.started.Sub(job.accepted))
		} else if !job.asked {
			s.t.Errorf("%s never started", job.uid)
		}
		for _, name := range s.names {
			stage, heard := s.user(name, http.MethodGet, job.uid)
			if !heard || stage != wire.StageDone && (stage != wire.StageCancelled || !job.asked) {
				s.t.Errorf("%s says %s, %v of %s, cancelled %v", name, stage, heard, job.uid, job.asked)
			}
		}
	}
	if wait > 15*time.Second || silent > 20*time.Second || s.unsure*50 > s.polls {
		s.t.Errorf("a job waited for %v, one had no answer for %v, %d of %d questions had none", wait, silent, s.unsure, s.polls)
	}
	writes, most := 0, 0
	for _, n := range s.writes {
		writes += n
	}
	for _, n := range s.perSecond {
		most = max(most, n)
	}
	// Acceptance 1, end 2, a quarter of a cancel, and one in a log record shared by many.
	if perJob := float64(writes) / float64(jobs); perJob > 5 || most > 60 {
		s.t.Errorf("%.2f writes a job, %d in a second", perJob, most)
	}
	s.t.Logf("cancels by stage %v, %d launches in flight; longest wait %v, longest without an answer %v, %d of %d questions unsure", s.fell, s.launches, wait, silent, s.unsure, s.polls)
	s.t.Logf("%.2f writes a job, at most %d in a second, in %v: %v", float64(writes)/float64(jobs), most, took, s.writes)
	s.kept(jobs)
}

// kept checks what is kept of jobs that are over: their ends, for ever, a few records of the
// log, and for ten minutes that they were cancelled.
func (s *jobStream) kept(jobs int) {
	s.t.Helper()
	clean := &testkit.View{Store: s.store}
	final, live, tasks, slots := len(clean.Keys("final/")), len(clean.Keys("live/")), len(clean.Keys("task/")), len(clean.Keys("log/"))
	if final != jobs || live > 0 || tasks > 0 || slots > 60 {
		s.t.Errorf("keys: %d final, %d live, %d task, %d log", final, live, tasks, slots)
	}
	before := make([]int, 0, len(s.names))
	for _, name := range s.names {
		n := s.nodes[name]
		queues := n.scheduler.QueueDepths()
		if queues["jobs"]+queues["unwritten"]+queues["pending"] > 0 {
			s.t.Errorf("%s keeps %v", name, queues)
		}
		before = append(before, n.cancellations.Count())
		if n.cancellations.Count() > len(s.confirmedCancels) {
			s.t.Errorf("%s keeps %d cancels of %d", name, n.cancellations.Count(), len(s.confirmedCancels))
		}
	}
	time.Sleep(11 * time.Minute)
	s.exchange()
	s.publish()
	for _, name := range s.names {
		n := s.nodes[name]
		_, queued, orders := n.dispatcher.Depths() // of workers that report elsewhere, so long
		if n.cancellations.Count()+queued+orders > 0 {
			s.t.Errorf("%s keeps %d cancels, %d queued tasks and %d orders after 11 minutes", name, n.cancellations.Count(), queued, orders)
		}
	}
	s.t.Logf("cancels kept %v of %d, after 11 minutes none; keys: %d final, %d log", before, len(s.confirmedCancels), final, slots)
}
