// Package rollout moves a service to a new version step by step, stops when health
// checks fail, and restores the version before. A service is a set of jobs that
// run until they are cancelled; a step submits a job with replicas of the new
// version, waits until they are healthy, and cancels jobs of the old one. What
// follows from a state is decided by pure functions; the state is written before
// anything is done, and everything that is done can be repeated.
package rollout

import (
	"errors"
	"fmt"
	"math"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// Limits of what one site keeps.
const (
	MaxServices = 200
	MaxRuns     = 50   // roll-outs at once
	MaxReplicas = 2000 // of all services together
)

// Version is what the replicas of a service run.
type Version struct {
	Name string        `json:"name"`
	Desc taskspec.Spec `json:"desc"`
}

// Check is how a replica's health is found out, through its worker.
type Check struct {
	HTTP      string  `json:"http,omitempty"` // path; 2xx is healthy
	TCP       bool    `json:"tcp,omitempty"`  // a connection is healthy
	EveryS    float64 `json:"everyS"`
	TimeoutS  float64 `json:"timeoutS"`
	Healthy   int     `json:"healthy"`   // answers in a row that make a replica healthy
	Unhealthy int     `json:"unhealthy"` // and unhealthy
	Tries     int     `json:"tries"`     // timeouts in a row after which it hangs
}

// Rollback policies.
const (
	OnFailRollback = "rollback"
	OnFailPause    = "pause"
)

// Spec is what is asked of a roll-out.
type Spec struct {
	Service  string   `json:"service"`
	To       Version  `json:"to"`
	Steps    []string `json:"steps"` // replicas, or parts of them like 25%
	Check    Check    `json:"check"`
	SoakS    float64  `json:"soakS"`  // least time that a step's replicas stay healthy
	PlaceS   float64  `json:"placeS"` // most time for a step's replicas to run and be healthy
	OnFail   string   `json:"onFail"`
	Anytime  bool     `json:"anytime,omitempty"` // goes on in slots too
	Template wire.Job `json:"template"`          // class, team, priority, resources; for a new service
	Replicas int      `json:"replicas"`          // of a new service
}

// Fill puts the usual values where nothing is said.
func (s *Spec) Fill() {
	def := func(v *float64, d float64) {
		if *v == 0 {
			*v = d
		}
	}
	defN := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	if len(s.Steps) == 0 {
		s.Steps = []string{"1", "25%", "100%"}
	}
	def(&s.Check.EveryS, 2)
	def(&s.Check.TimeoutS, 1)
	defN(&s.Check.Healthy, 2)
	defN(&s.Check.Unhealthy, 3)
	defN(&s.Check.Tries, 3)
	def(&s.SoakS, 10)
	def(&s.PlaceS, 120)
	if s.OnFail == "" {
		s.OnFail = OnFailRollback
	}
}

// fieldError is bad input: it names the field and the reason.
func fieldError(field, format string, args ...any) error {
	return fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...))
}

// ErrInput marks what is wrong with a request; nothing was changed.
var ErrInput = errors.New("bad input")

// Validate says what is wrong with a spec.
func (s *Spec) Validate() error {
	switch {
	case !validName(s.Service):
		return fieldError("service", "%q is not a name: 1 to 40 of a-z, 0-9, -", s.Service)
	case !validName(s.To.Name):
		return fieldError("to.name", "%q is not a name: 1 to 40 of a-z, 0-9, -", s.To.Name)
	case (s.Check.HTTP == "") == !s.Check.TCP:
		return fieldError("check", "either http or tcp")
	case s.OnFail != OnFailRollback && s.OnFail != OnFailPause:
		return fieldError("onFail", "%q is neither rollback nor pause", s.OnFail)
	}
	if s.Check.HTTP != "" {
		if u, err := url.Parse(s.Check.HTTP); err != nil || !strings.HasPrefix(s.Check.HTTP, "/") || u.Host != "" {
			return fieldError("check.http", "%q is not a path", s.Check.HTTP)
		}
	}
	if err := s.To.Desc.Check(); err != nil {
		return fmt.Errorf("to.desc: %w", err)
	}
	for _, f := range []struct {
		name        string
		v, min, max float64
	}{
		{"check.everyS", s.Check.EveryS, 0.2, 300}, {"check.timeoutS", s.Check.TimeoutS, 0.05, 30},
		{"check.healthy", float64(s.Check.Healthy), 1, 100}, {"check.unhealthy", float64(s.Check.Unhealthy), 1, 100},
		{"check.tries", float64(s.Check.Tries), 1, 100}, {"soakS", s.SoakS, 0, 86400}, {"placeS", s.PlaceS, 1, 86400},
	} {
		if math.IsNaN(f.v) || f.v < f.min || f.v > f.max {
			return fieldError(f.name, "%v is not within %v and %v", f.v, f.min, f.max)
		}
	}
	if _, err := Targets(s.Steps, 100); err != nil {
		return err
	}
	return nil
}

func validName(s string) bool {
	if s == "" || len(s) > 40 {
		return false
	}
	for _, c := range s {
		if !(c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-') {
			return false
		}
	}
	return true
}

// Targets turns steps into numbers of new replicas, of so many in all. Each must
// be more than the one before it where it can, and the last must be all.
func Targets(steps []string, replicas int) ([]int, error) {
	if len(steps) == 0 || len(steps) > 50 {
		return nil, fieldError("steps", "1 to 50 are needed")
	}
	var out []int
	for i, s := range steps {
		n := 0
		if p, ok := strings.CutSuffix(s, "%"); ok {
			v, err := strconv.ParseFloat(p, 64)
			if err != nil || !(v > 0) || v > 100 {
				return nil, fieldError(fmt.Sprintf("steps[%d]", i), "%q is not a part like 25%%", s)
			}
			n = int(math.Ceil(v / 100 * float64(replicas)))
		} else {
			v, err := strconv.Atoi(s)
			if err != nil || v < 1 {
				return nil, fieldError(fmt.Sprintf("steps[%d]", i), "%q is neither a number of replicas nor a part like 25%%", s)
			}
			n = min(v, replicas)
		}
		if len(out) > 0 && n < out[len(out)-1] {
			return nil, fieldError(fmt.Sprintf("steps[%d]", i), "%q is less than the step before", s)
		}
		if len(out) == 0 || n > out[len(out)-1] {
			out = append(out, n) // of few replicas two steps may be the same
		}
	}
	if out[len(out)-1] != replicas {
		return nil, fieldError("steps", "the last, %q, does not reach 100%%", steps[len(steps)-1])
	}
	return out, nil
}

// Batch is a job with replicas of one version of a service.
type Batch struct {
	UID      string `json:"uid"`
	Replicas int    `json:"replicas"`
	Version  string `json:"version"`
}

// Service is a service as it is recorded.
type Service struct {
	Name     string   `json:"name"`
	Replicas int      `json:"replicas"`
	Template wire.Job `json:"template"`
	Version  Version  `json:"version"` // that runs, or is to be restored
	Batches  []Batch  `json:"batches"`
}

// Phase is how far a roll-out is.
type Phase string

// Phases. The last three are final.
const (
	Pending     Phase = "pending"
	WaitingSlot Phase = "waiting-for-slot"
	Placing     Phase = "placing" // the step's new replicas come up
	Soaking     Phase = "soaking" // they stay healthy for a while
	Retiring    Phase = "retiring"
	Paused      Phase = "paused"
	RollingBack Phase = "rolling-back"
	Done        Phase = "done"
	Aborted     Phase = "aborted"  // ended by an operator, the old version restored
	Restored    Phase = "restored" // health failed, the old version restored
)

// Final reports whether nothing follows.
func (p Phase) Final() bool { return p == Done || p == Aborted || p == Restored }

// Run is a roll-out as it is recorded.
type Run struct {
	ID      int     `json:"id"` // counts a service's roll-outs
	Spec    Spec    `json:"spec"`
	From    Version `json:"from"`
	Targets []int   `json:"targets"` // new replicas after each step
	Step    int     `json:"step"`    // index of the step in progress
	Phase   Phase   `json:"phase"`
	Resume  Phase   `json:"resume,omitempty"` // of a paused one
	Why     string  `json:"why,omitempty"`
	Outcome Phase   `json:"outcome,omitempty"` // that a rolling back ends in
	New     []Batch `json:"new"`               // submitted, or to be
	Old     []Batch `json:"old"`               // not retired
	Restore []Batch `json:"restore,omitempty"` // old version, submitted again by a rolling back
	Drop    []Batch `json:"drop,omitempty"`    // to be cancelled, perhaps again
	Lost    int     `json:"lost,omitempty"`    // times that replicas went while soaking, in this step
	Seq     int     `json:"seq"`               // numbers the jobs
	Since   int64   `json:"since"`             // ms of Unix time at which the phase began
	Verdict int64   `json:"verdict,omitempty"` // when a rolling back was decided
	Begun   int64   `json:"begun"`
	Ended   int64   `json:"ended,omitempty"`
}

func total(bs []Batch) (n int) {
	for _, b := range bs {
		n += b.Replicas
	}
	return n
}

// batch makes the next job of a roll-out. Its id is never used for another.
func (r *Run) batch(replicas int, version string) Batch {
	r.Seq++
	return Batch{UID: fmt.Sprintf("j-svc-%s-%d-%d", r.Spec.Service, r.ID, r.Seq), Replicas: replicas, Version: version}
}

func (r *Run) enter(p Phase, why string, now time.Time) {
	r.Phase, r.Why, r.Since = p, why, now.UnixMilli()
	if p.Final() {
		r.Ended = r.Since
	}
}

func (r *Run) age(now time.Time) time.Duration { return now.Sub(time.UnixMilli(r.Since)) }
