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
	runTime     time.Duration // of a task; 0: until it is stopped
	scheduledAt time.Time     // when the schedule had it sent
	phase       *phase        // in which it was sent
	accepted    bool
	done        map[int]bool // tasks that are completed
	started     bool         // a task of it was started
}

// teamState is a team as the workers see it.
type teamState struct {
	Team
	used, mostUsed float64 // CPUs
	overLimit      int     // starts that brought it above its limit
	requested      int     // tasks of accepted arrays
	completed      int     // of them
}

// recovery is what became of the tasks that an event ended, or cut off.
type recovery struct {
	event    string
	workers  int
	tasks    int
	duration *hdrhistogram.Histogram // ms until a task was started again
	restored int
}

// phase is a stretch of the run.
type phase struct {
	name                   string
	requested              float64 // starts a second
	startedAt, endedAt     time.Time
	starts                 int                     // of tasks, also those started again
	stopped                int                     // attempts that ended uncompleted
	urgent, late           int                     // urgent jobs sent, and started too late or not at all
	urgentWait, acceptWait *hdrhistogram.Histogram // ms of urgent jobs until the start; of all until accepted
	lastStart              time.Time
	longestGap             time.Duration // longest time without a start
	refused, unanswered    int
	startsPerSecond        []int // starts in each second
	writes                 int64 // to the state service
}

// lostTask is a task that an event ended, or cut off.
type lostTask struct {
	since    time.Time
	recovery *recovery
}

// tracker follows all tasks of the site as the workers see them, and counts what the
// rules forbid.
type tracker struct {
	urgentWithin time.Duration // in which urgent work is to start

	mu            sync.Mutex
	jobs          map[string]*job
	workerOf      map[string]string // task to the worker that it runs on
	teams         map[string]*teamState
	lost          map[string]lostTask
	phase         *phase      // the current one
	events        []*recovery // in the order of their first events
	ranTwice      int
	starts        int // of all phases
	prematureEnds int // jobs reported done before all tasks were, or cancelled
	unknown       int // accepted jobs that got 404
}

const (
	maxWaitMs       = 3_600_000 // of a histogram
	histogramDigits = 3
	limitTolerance  = 1e-6 // CPUs, for sums of fractions
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxWaitMs, histogramDigits)
}

// recordWait adds a wait to a histogram.
func recordWait(h *hdrhistogram.Histogram, wait time.Duration) {
	_ = h.RecordValue(wait.Milliseconds()) // fails above an hour: no run takes so long
}

func newPhase(name string, requested float64, now time.Time) *phase {
	return &phase{name: name, requested: requested, startedAt: now, urgentWait: newHistogram(), acceptWait: newHistogram(), lastStart: now}
}

func newTracker(teams []Team, within time.Duration) *tracker {
	t := &tracker{urgentWithin: within, jobs: map[string]*job{}, workerOf: map[string]string{}, teams: map[string]*teamState{}, lost: map[string]lostTask{}}
	for _, team := range teams {
		t.teams[team.Name] = &teamState{Team: team}
	}
	t.phase = newPhase("fill", 0, time.Now())
	return t
}

// job returns the job with an id, or nil.
func (t *tracker) job(uid string) *job {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.jobs[uid]
}

// add makes a job known before it is submitted.
func (t *tracker) add(job *job) {
	t.mu.Lock()
	defer t.mu.Unlock()
	job.phase, job.done = t.phase, map[int]bool{}
	t.jobs[job.UID] = job
	if job.Priority == priorityUrgent {
		job.phase.urgent++
	}
}

// taskStarted notes that a task's process starts on a worker; completed says that its
// result is kept already.
func (t *tracker) taskStarted(task, worker string) (run time.Duration, completed bool) {
	uid, number, err := wire.ParseTask(task)
	t.mu.Lock()
	defer t.mu.Unlock()
	job := t.jobs[uid]
	if err != nil || job == nil || job.done[number] {
		return 0, true
	}
	now := time.Now()
	if t.workerOf[task] != "" {
		t.ranTwice++
	}
	t.workerOf[task] = worker
	team := t.teams[job.Team]
	if team.used += job.CPUs; team.used > team.Limit+limitTolerance {
		team.overLimit++
	}
	team.mostUsed = max(team.mostUsed, team.used)
	t.countStart(now)
	t.endRecovery(task)
	if !job.started && job.Priority == priorityUrgent {
		t.countUrgent(job, now)
	}
	job.started = true
	return job.runTime, false
}

// countStart counts a start in the current phase.
func (t *tracker) countStart(now time.Time) {
	phase := t.phase
	t.starts++
	phase.starts++
	phase.longestGap = max(phase.longestGap, now.Sub(phase.lastStart))
	phase.lastStart = now
	second := int(now.Sub(phase.startedAt) / time.Second)
	for len(phase.startsPerSecond) <= second {
		phase.startsPerSecond = append(phase.startsPerSecond, 0)
	}
	phase.startsPerSecond[second]++
}

// countUrgent counts an urgent job's wait from when it was to be sent.
func (t *tracker) countUrgent(job *job, now time.Time) {
	wait := now.Sub(job.scheduledAt)
	if wait > t.urgentWithin {
		job.phase.late++
	}
	recordWait(job.phase.urgentWait, wait)
}

// taskEnded notes that a task does not run on its worker any more.
func (t *tracker) taskEnded(task string, completed bool) {
	uid, number, _ := wire.ParseTask(task) // it was started
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.workerOf, task)
	job := t.jobs[uid]
	team := t.teams[job.Team]
	team.used -= job.CPUs
	switch {
	case !completed:
		t.phase.stopped++
	case !job.done[number]:
		job.done[number] = true
		team.completed++
		t.endRecovery(task)
	}
}

// markLost begins a recovery: the tasks on these workers have ended, or can't be reached.
func (t *tracker) markLost(event string, workers map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.recoveryOf(event)
	r.workers += len(workers)
	for task, worker := range t.workerOf {
		if workers[worker] {
			r.tasks++
			t.lost[task] = lostTask{time.Now(), r}
		}
	}
}

// recoveryOf returns the recovery from events of a name, which is begun by the first.
func (t *tracker) recoveryOf(event string) *recovery {
	for _, r := range t.events {
		if r.event == event {
			return r
		}
	}
	r := &recovery{event: event, duration: newHistogram()}
	t.events = append(t.events, r)
	return r
}

// markReachable ends a recovery: the workers can be reached again, and what still runs there
// was not lost.
func (t *tracker) markReachable(workers map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for task := range t.lost {
		if workers[t.workerOf[task]] {
			t.endRecovery(task)
		}
	}
}

// endRecovery ends the recovery of a task that was lost: it was started again, is
// completed, or runs where it was.
func (t *tracker) endRecovery(task string) {
	lost, ok := t.lost[task]
	if !ok {
		return
	}
	delete(t.lost, task)
	lost.recovery.restored++
	recordWait(lost.recovery.duration, time.Since(lost.since))
}

// beginPhase begins a phase and returns the one that ended.
func (t *tracker) beginPhase(name string, requested float64) (ended *phase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	ended = t.phase
	ended.endedAt = now
	ended.longestGap = max(ended.longestGap, now.Sub(ended.lastStart))
	t.phase = newPhase(name, requested, now)
	return ended
}

// phaseAndStarts is the current phase, and the starts since the beginning.
func (t *tracker) phaseAndStarts() (phase string, starts int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.phase.name, t.starts
}

// taskCounts is how many tasks run on workers, and unfinished how many tasks of accepted
// arrays are not completed.
func (t *tracker) taskCounts() (running, unfinished int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, team := range t.teams {
		unfinished += team.requested - team.completed
	}
	return len(t.workerOf), unfinished
}

// recordResponse notes the response to a user who submitted a job or polls it.
func (t *tracker) recordResponse(job *job, stage string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !job.accepted {
		job.accepted = true
		recordWait(job.phase.acceptWait, time.Since(job.scheduledAt))
		if !job.Service() {
			t.teams[job.Team].requested += job.Tasks
		}
	}
	if stage == wire.StageDone && len(job.done) < job.Tasks || stage == wire.StageCancelled {
		t.prematureEnds++
	}
}

// recordRejection notes a job that was refused, or that is unknown after it was accepted, or
// whose submission got no response.
func (t *tracker) recordRejection(job *job, unanswered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case job.accepted:
		t.unknown++
	case unanswered:
		job.phase.unanswered++
	default:
		job.phase.refused++
	}
}
