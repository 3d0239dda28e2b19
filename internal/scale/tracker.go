package scale

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wallrack/wallrack/internal/wire"
)

// job is what the run knows of a job that a user submits.
type job struct {
	*wire.Job
	run      time.Duration // of a task; 0: until it is stopped
	intended time.Time     // when the schedule had it sent
	phase    *phase
	accepted bool
	done     map[int]bool
	began    bool // a task of it was started
}

// teamState is a team as the workers see it.
type teamState struct {
	Team
	used, most float64
	over       int // starts that brought it above its limit
	asked      int // tasks of accepted arrays
	served     int // of them completed
}

// recovery is what became of the tasks that an event took, or cut off.
type recovery struct {
	Event    string
	Workers  int
	Tasks    int
	took     *hdrhistogram.Histogram // ms until a task was started again
	restored int
}

// phase is a stretch of the run.
type phase struct {
	name                string
	asked               float64 // starts a second
	began, ended        time.Time
	starts              int // of tasks, also those started again
	stopped             int // attempts that ended uncompleted
	urgent, late        int // urgent jobs sent, and started too late or not at all
	wait, accept        *hdrhistogram.Histogram
	lastStart           time.Time
	gap                 time.Duration // longest time without a start
	refused, unanswered int
	secondly            []int // starts in each second
	writes              int64 // to the state service
}

type lostTask struct {
	since time.Time
	event *recovery
}

// tracker follows all tasks of the site as the workers see them, and counts what the
// rules forbid.
type tracker struct {
	within time.Duration // in which urgent work is to start

	mu       sync.Mutex
	jobs     map[string]*job
	on       map[string]string // task to the worker that it is on
	teams    map[string]*teamState
	lost     map[string]lostTask
	phase    *phase
	events   []*recovery
	ranTwice int
	starts   int // of all phases
	notDone  int // jobs called done before all tasks were
	unknown  int // accepted jobs that got 404
}

const (
	maxWaitMs = 3_600_000
	precision = 3
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxWaitMs, precision) }

func newTracker(teams []Team, within time.Duration) *tracker {
	t := &tracker{within: within, jobs: map[string]*job{}, on: map[string]string{}, teams: map[string]*teamState{}, lost: map[string]lostTask{}}
	for _, team := range teams {
		t.teams[team.Name] = &teamState{Team: team}
	}
	t.phase = &phase{name: "fill", began: time.Now(), wait: newHistogram(), accept: newHistogram(), lastStart: time.Now()}
	return t
}

// job returns the job with an id, or nil.
func (t *tracker) job(uid string) *job {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.jobs[uid]
}

// add makes a job known before it is submitted.
func (t *tracker) add(j *job) {
	t.mu.Lock()
	defer t.mu.Unlock()
	j.phase, j.done = t.phase, map[int]bool{}
	t.jobs[j.UID] = j
	if j.Priority == priorityUrgent {
		j.phase.urgent++
	}
}

// started notes that a task's process starts on a worker; completed says that its
// result is kept already.
func (t *tracker) started(task, worker string) (run time.Duration, completed bool) {
	uid, n, err := wire.ParseTask(task)
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.jobs[uid]
	if err != nil || j == nil || j.done[n] {
		return 0, true
	}
	now := time.Now()
	if t.on[task] != "" {
		t.ranTwice++
	}
	t.on[task] = worker
	team := t.teams[j.Team]
	if team.used += j.CPUs; team.used > team.Limit+1e-6 {
		team.over++
	}
	team.most = max(team.most, team.used)
	t.countStart(now)
	t.restored(task)
	if !j.began && j.Priority == priorityUrgent {
		t.countUrgent(j, now)
	}
	j.began = true
	return j.run, false
}

func (t *tracker) countStart(now time.Time) {
	p := t.phase
	t.starts++
	p.starts++
	p.gap = max(p.gap, now.Sub(p.lastStart))
	p.lastStart = now
	second := int(now.Sub(p.began) / time.Second)
	for len(p.secondly) <= second {
		p.secondly = append(p.secondly, 0)
	}
	p.secondly[second]++
}

// countUrgent counts an urgent job's wait from when it was to be sent.
func (t *tracker) countUrgent(j *job, now time.Time) {
	wait := now.Sub(j.intended)
	if wait > t.within {
		j.phase.late++
	}
	_ = j.phase.wait.RecordValue(wait.Milliseconds()) // longer than an hour no run lasts
}

// ended notes that a task is not on its worker any more.
func (t *tracker) ended(task string, completed bool) {
	uid, n, _ := wire.ParseTask(task) // it was started
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.on, task)
	j := t.jobs[uid]
	team := t.teams[j.Team]
	team.used -= j.CPUs
	switch {
	case !completed:
		t.phase.stopped++
	case !j.done[n]:
		j.done[n] = true
		team.served++
		t.restored(task)
	}
}

// lose begins a recovery: the tasks on these workers are gone, or can't be reached.
func (t *tracker) lose(event string, workers map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var r *recovery
	for _, e := range t.events {
		if e.Event == event {
			r = e
		}
	}
	if r == nil {
		r = &recovery{Event: event, took: newHistogram()}
		t.events = append(t.events, r)
	}
	r.Workers += len(workers)
	for task, w := range t.on {
		if workers[w] {
			r.Tasks++
			t.lost[task] = lostTask{time.Now(), r}
		}
	}
}

// found ends a recovery: the workers can be reached again, and what still runs there
// was not lost.
func (t *tracker) found(workers map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for task := range t.lost {
		if workers[t.on[task]] {
			t.restored(task)
		}
	}
}

// restored ends the recovery of a task that was lost: it was started again, is
// completed, or runs where it was.
func (t *tracker) restored(task string) {
	l, was := t.lost[task]
	if !was {
		return
	}
	delete(t.lost, task)
	l.event.restored++
	_ = l.event.took.RecordValue(time.Since(l.since).Milliseconds()) // longer than an hour no run lasts
}

// next begins a phase and returns the one that ended.
func (t *tracker) next(name string, asked float64) (ended *phase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	ended = t.phase
	ended.ended = now
	ended.gap = max(ended.gap, now.Sub(ended.lastStart))
	t.phase = &phase{name: name, asked: asked, began: now, wait: newHistogram(), accept: newHistogram(), lastStart: now}
	return ended
}

// now is the phase that is on, and the starts since the beginning.
func (t *tracker) now() (phase string, starts int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.phase.name, t.starts
}

// running is how many tasks are on workers, and unfinished how many tasks of accepted
// arrays are not completed.
func (t *tracker) running() (on, unfinished int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, team := range t.teams {
		unfinished += team.asked - team.served
	}
	return len(t.on), unfinished
}

// answered notes what a user was told of a job.
func (t *tracker) answered(j *job, stage string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !j.accepted {
		j.accepted = true
		_ = j.phase.accept.RecordValue(time.Since(j.intended).Milliseconds()) // longer than an hour no run lasts
		if !j.Service() {
			t.teams[j.Team].asked += j.Tasks
		}
	}
	if stage == wire.StageDone && len(j.done) < j.Tasks || stage == wire.StageCancelled {
		t.notDone++
	}
}

// denied notes a job that was refused, or that nobody knows after it was accepted, or
// whose submission got no answer.
func (t *tracker) denied(j *job, unanswered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case j.accepted:
		t.unknown++
	case unanswered:
		j.phase.unanswered++
	default:
		j.phase.refused++
	}
}
