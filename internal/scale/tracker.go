package scale

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wallrack/wallrack/internal/wire"
)

// job is a job submitted by a user, with what was observed of it.
type job struct {
	*wire.Job
	runTime     time.Duration // duration of a task; 0: until it is stopped
	scheduledAt time.Time     // time at which the schedule submits the job
	phase       *phase        // phase in which the job was submitted
	accepted    bool
	done        map[int]bool // numbers of the completed tasks
	started     bool         // at least one task was started
}

// teamState is the state of a team as observed by the workers.
type teamState struct {
	Team
	used, mostUsed float64 // CPUs
	overLimit      int     // task starts that exceeded the limit
	requested      int     // tasks of accepted job arrays
	completed      int     // of the requested tasks
}

// recovery counts the tasks that were ended or cut off by an event, and how they were restored.
type recovery struct {
	event    string
	workers  int
	tasks    int
	duration *hdrhistogram.Histogram // ms until a task was restored
	restored int
}

// phase holds the measurements of a phase of the run.
type phase struct {
	name                   string
	requested              float64 // task starts per second
	startedAt, endedAt     time.Time
	starts                 int                     // of tasks, including repeated starts
	stopped                int                     // attempts that ended without completing their task
	urgent, urgentLate     int                     // numbers of urgent jobs: submitted; started too late or never
	urgentWait, acceptWait *hdrhistogram.Histogram // ms until an urgent job was started; ms until any job was accepted
	lastStart              time.Time
	longestGap             time.Duration // longest time without a start
	refused, unanswered    int
	startsPerSecond        []int // task starts in each second of the phase
	writes                 int64 // to the state service
}

// lostTask is a task that was ended or cut off by an event.
type lostTask struct {
	since    time.Time
	recovery *recovery
}

// tracker tracks all tasks as observed by the workers, and counts rule violations.
type tracker struct {
	urgentWithin time.Duration // maximum wait of an urgent job

	mu            sync.Mutex
	jobs          map[string]*job
	workerOf      map[string]string // worker that runs each task
	teams         map[string]*teamState
	lostTasks     map[string]lostTask
	phase         *phase      // current phase
	recoveries    []*recovery // in the order of their first event
	ranTwice      int
	starts        int // in all phases
	prematureEnds int // jobs reported as cancelled, or as done although tasks are uncompleted
	unknown       int // accepted jobs for which a later request returned status 404
}

const (
	maxWaitMs       = 3_600_000 // upper bound of histograms
	histogramDigits = 3
	limitTolerance  = 1e-6 // CPUs; tolerates rounding errors of sums
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxWaitMs, histogramDigits)
}

// recordWait adds a waiting time to a histogram.
func recordWait(h *hdrhistogram.Histogram, wait time.Duration) {
	_ = h.RecordValue(wait.Milliseconds()) // fails only for more than an hour, which is longer than any run
}

func newPhase(name string, requested float64, now time.Time) *phase {
	return &phase{name: name, requested: requested, startedAt: now, urgentWait: newHistogram(), acceptWait: newHistogram(), lastStart: now}
}

func newTracker(teams []Team, urgentWithin time.Duration) *tracker {
	t := &tracker{urgentWithin: urgentWithin, jobs: map[string]*job{}, workerOf: map[string]string{}, teams: map[string]*teamState{}, lostTasks: map[string]lostTask{}}
	for _, team := range teams {
		t.teams[team.Name] = &teamState{Team: team}
	}
	t.phase = newPhase("fill", 0, time.Now())
	return t
}

// Job implements hollow.Tasks.
func (t *tracker) Job(uid string) *wire.Job {
	if job := t.job(uid); job != nil {
		return job.Job
	}
	return nil
}

// job returns the job with the given id, or nil.
func (t *tracker) job(uid string) *job {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.jobs[uid]
}

// addJob registers a job before it is submitted.
func (t *tracker) addJob(job *job) {
	t.mu.Lock()
	defer t.mu.Unlock()
	job.phase, job.done = t.phase, map[int]bool{}
	t.jobs[job.UID] = job
	if job.Priority == priorityUrgent {
		job.phase.urgent++
	}
}

// TaskStarted implements hollow.Tasks. If the task has completed already or is unknown, it records
// nothing and completed is true.
func (t *tracker) TaskStarted(task string, _ uint64, worker string) (runTime time.Duration, completed bool) {
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

// countStart counts a task start in the current phase.
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

// countUrgent records an urgent job's wait since its scheduled time.
func (t *tracker) countUrgent(job *job, now time.Time) {
	wait := now.Sub(job.scheduledAt)
	if wait > t.urgentWithin {
		job.phase.urgentLate++
	}
	recordWait(job.phase.urgentWait, wait)
}

// TaskEnded implements hollow.Tasks.
func (t *tracker) TaskEnded(task, _ string, completed bool) {
	uid, number, _ := wire.ParseTask(task) // the name was parsed when the task was started
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

// markLost begins the recovery of the tasks on the given workers: the tasks have ended, or their
// workers can't be reached.
func (t *tracker) markLost(event string, workers map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.recoveryOf(event)
	r.workers += len(workers)
	for task, worker := range t.workerOf {
		if workers[worker] {
			r.tasks++
			t.lostTasks[task] = lostTask{time.Now(), r}
		}
	}
}

// recoveryOf returns the recovery for an event name, and creates it if it does not exist.
func (t *tracker) recoveryOf(event string) *recovery {
	for _, r := range t.recoveries {
		if r.event == event {
			return r
		}
	}
	r := &recovery{event: event, duration: newHistogram()}
	t.recoveries = append(t.recoveries, r)
	return r
}

// markReachable ends the recovery of the lost tasks that still run on the given workers. It is called
// when these workers can be reached again.
func (t *tracker) markReachable(workers map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for task := range t.lostTasks {
		if workers[t.workerOf[task]] {
			t.endRecovery(task)
		}
	}
}

// endRecovery ends the recovery of a task, if it was lost: it was started again, completed, or
// found still running.
func (t *tracker) endRecovery(task string) {
	lost, ok := t.lostTasks[task]
	if !ok {
		return
	}
	delete(t.lostTasks, task)
	lost.recovery.restored++
	recordWait(lost.recovery.duration, time.Since(lost.since))
}

// beginPhase begins a phase and returns the previous one.
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

// phaseAndStarts returns the name of the current phase and the number of task starts in all
// phases.
func (t *tracker) phaseAndStarts() (phase string, starts int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.phase.name, t.starts
}

// taskCounts returns the number of tasks running on workers, and the number of uncompleted tasks
// of accepted job arrays.
func (t *tracker) taskCounts() (running, unfinished int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, team := range t.teams {
		unfinished += team.requested - team.completed
	}
	return len(t.workerOf), unfinished
}

// recordResponse records the response to a user's submission or poll. The first response to a job
// marks the job as accepted.
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

// recordRejection records why polling a job ended early. An accepted job counts as unknown. A job that
// was not accepted counts as unanswered if its submission got no response, and otherwise as refused.
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
