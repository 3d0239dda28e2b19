package testkit_test

import (
	"slices"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// cpuTolerance is how far sums of CPUs may be off by rounding.
const cpuTolerance = 1e-6

// teamUse is the CPUs that each team's tasks take on machines.
type teamUse map[string]float64

// checkLimits fails if a team uses more than its limit, by what its workers have.
func (w *cluster) checkLimits(use teamUse) {
	for _, team := range w.cfg.Params.Teams {
		if cpus := use[team.Name]; team.CPUsMax > 0 && cpus > team.CPUsMax+cpuTolerance {
			w.fail("team %s uses %v CPUs of %v", team.Name, cpus, team.CPUsMax)
		}
	}
}

// standing is what the workers have and the users know at one moment.
type standing struct {
	use       teamUse
	on        map[string]int              // tasks on machines, by job
	free      map[*testkit.Worker]float64 // CPUs of the machines that go on
	done      map[string]int              // tasks that are done and cleared, by job
	over      []string                    // keys of the jobs that ended
	cancelled map[string]bool
}

func (w *cluster) standing() *standing {
	s := &standing{use: teamUse{}, on: map[string]int{}, free: map[*testkit.Worker]float64{}, done: map[string]int{},
		over: w.store.Keys("final/"), cancelled: map[string]bool{}}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		free := float64(w.size)
		for _, task := range k.On() {
			uid, _, _ := strings.Cut(task, "/")
			s.on[uid]++
			if job := w.specs[uid]; job != nil {
				s.use[job.Team] += job.CPUs
				free -= job.CPUs
			}
		}
		if !k.Hangs() {
			s.free[k] = free
		}
	}
	for task := range w.cleared {
		uid, _, _ := strings.Cut(task, "/")
		s.done[uid]++
	}
	for uid := range w.cancels {
		s.cancelled[uid] = true
	}
	return s
}

// waits reports whether a task of the job is neither on a machine nor done.
func (s *standing) waits(job *wire.Job) bool {
	return !s.cancelled[job.UID] && s.on[job.UID]+s.done[job.UID] < job.Tasks && !slices.Contains(s.over, "final/"+job.UID)
}

// underLimit reports whether the job's team may use one more task of it.
func (s *standing) underLimit(teams []config.Team, job *wire.Job) bool {
	return !slices.ContainsFunc(teams, func(t config.Team) bool {
		return t.Name == job.Team && t.CPUsMax > 0 && s.use[t.Name]+job.CPUs > t.CPUsMax+cpuTolerance
	})
}

// heldByLimit reports whether a task of the team waits for nothing but its team's limit:
// a machine that works has room for it.
func (w *cluster) heldByLimit(team string) bool {
	s := w.standing()
	for _, job := range w.specs {
		if job.Team != team || !s.waits(job) || s.underLimit(w.cfg.Params.Teams, job) {
			continue
		}
		for _, free := range s.free {
			if free+cpuTolerance >= job.CPUs {
				return true
			}
		}
	}
	return false
}

const (
	longestWait = 90 * time.Second // for which a job may wait beside a machine with room
	roomFor     = 5 * time.Second  // from which on a machine counts as one with room
)

// waitCheck is the rule that, once troubles are over, no job waits for long while a
// machine that fits has room and its team is under its limit.
type waitCheck struct {
	*cluster
	room    map[*testkit.Worker]map[float64]time.Time // since when so many CPUs are free
	since   map[string]time.Time                      // by job: since when it could start
	starts  map[string]int                            // by job, when last looked
	longest time.Duration
}

func newWaitCheck(w *cluster) *waitCheck {
	return &waitCheck{w, map[*testkit.Worker]map[float64]time.Time{}, map[string]time.Time{}, map[string]int{}, 0}
}

// look is to be called every second.
func (c *waitCheck) look() {
	s, now := c.standing(), time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for uid, job := range c.specs {
		started := c.startsOf[uid] != c.starts[uid]
		c.starts[uid] = c.startsOf[uid]
		if !c.hasRoom(s, job.CPUs, now) || started || !s.waits(job) || !s.underLimit(c.cfg.Params.Teams, job) {
			delete(c.since, uid)
			continue
		}
		if c.since[uid].IsZero() {
			c.since[uid] = now
		}
		wait := now.Sub(c.since[uid])
		c.longest = max(c.longest, wait)
		if wait > longestWait {
			c.fail("%s waits for %v while a machine has room and team %s is under its limit", uid, wait, job.Team)
		}
	}
}

// hasRoom reports whether a machine has had so many CPUs free for a while.
func (c *waitCheck) hasRoom(s *standing, cpus float64, now time.Time) (has bool) {
	for k, free := range s.free {
		if c.room[k] == nil {
			c.room[k] = map[float64]time.Time{}
		}
		since, known := c.room[k][cpus]
		switch {
		case free+cpuTolerance < cpus:
			delete(c.room[k], cpus)
		case !known:
			c.room[k][cpus] = now
		default:
			has = has || now.Sub(since) >= roomFor
		}
	}
	return has
}

// liveChecked lives, and checks the waits every second.
func (c *waitCheck) liveChecked(seconds int) {
	for range seconds {
		c.live(1)
		c.look()
	}
}
