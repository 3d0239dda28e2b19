// Package rollout moves a service to a new version step by step. If a replica of the new version is
// unhealthy, it restores the previous version or pauses, as Spec.OnFail says. It pauses if a health
// check times out or a step takes too long. A service is a set of jobs that run until they are
// cancelled; a step submits a job with replicas of the new version, waits until they are healthy,
// and cancels jobs of the old version.
//
// Pure functions compute the next state (Advance, ApplyVerb). The state is stored in the state
// service before it is acted on, and all actions are idempotent, so another controller can
// take over at any time. The package itself neither places nor probes replicas: the
// scheduler and the workers do.
package rollout

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"net/url"
	"strconv"
	"strings"

	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// Limits of one site.
const (
	MaxServices = 200
	MaxRuns     = 50   // concurrent roll-outs
	MaxReplicas = 2000 // total of all services
)

// Version is a named version of a service, with the description of the tasks that run it.
type Version struct {
	Name string        `json:"name"`
	Desc taskspec.Spec `json:"desc"`
}

// Check configures the health checks of a replica.
type Check struct {
	HTTP               string  `json:"http,omitempty"` // path of an HTTP check; a status 2xx means healthy
	TCP                bool    `json:"tcp,omitempty"`  // TCP check; an accepted connection means healthy
	EveryS             float64 `json:"everyS"`
	TimeoutS           float64 `json:"timeoutS"`
	HealthyThreshold   int     `json:"healthy"`   // consecutive passes after which a replica is healthy
	UnhealthyThreshold int     `json:"unhealthy"` // consecutive failures after which it is unhealthy
	TimeoutThreshold   int     `json:"tries"`     // consecutive timeouts after which it is hung
}

// Actions of a roll-out when a replica is unhealthy (Spec.OnFail).
const (
	OnFailRollback = "rollback"
	OnFailPause    = "pause"
)

// Spec is an operator's request for a roll-out.
type Spec struct {
	Service     string   `json:"service"`
	To          Version  `json:"to"`
	Steps       []string `json:"steps"` // new replicas after each step: a number, or a percentage like 25%
	Check       Check    `json:"check"`
	SoakS       float64  `json:"soakS"`  // seconds that a step's replicas must stay healthy
	PlaceS      float64  `json:"placeS"` // seconds within which a step's replicas must become healthy
	OnFail      string   `json:"onFail"`
	IgnoreSlots bool     `json:"anytime,omitempty"` // steps may begin in slots and while a job of Settings.Classes is unfinished
	Template    wire.Job `json:"template"`          // job of a new service; id, kind, number of tasks and resources are ignored
	Replicas    int      `json:"replicas"`          // number of replicas of a new service
}

// SetDefaults sets fields that are zero to their defaults, if they have one.
func (s *Spec) SetDefaults() {
	if len(s.Steps) == 0 {
		s.Steps = []string{"1", "25%", "100%"}
	}
	setDefault(&s.Check.EveryS, 2)
	setDefault(&s.Check.TimeoutS, 1)
	setDefault(&s.Check.HealthyThreshold, 2)
	setDefault(&s.Check.UnhealthyThreshold, 3)
	setDefault(&s.Check.TimeoutThreshold, 3)
	setDefault(&s.SoakS, 10)
	setDefault(&s.PlaceS, 120)
	setDefault(&s.OnFail, OnFailRollback)
}

func setDefault[T comparable](field *T, value T) {
	*field = cmp.Or(*field, value)
}

// fieldError returns an error that names the field and the reason.
func fieldError(field, format string, args ...any) error {
	return fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...))
}

// ErrInput means that a request is invalid and nothing was changed.
var ErrInput = errors.New("bad input")

// Validate returns nil, or an error that begins with the name of the invalid field.
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
		name               string
		value, least, most float64
	}{
		{"check.everyS", s.Check.EveryS, 0.2, 300},
		{"check.timeoutS", s.Check.TimeoutS, 0.05, 30},
		{"check.healthy", float64(s.Check.HealthyThreshold), 1, 100},
		{"check.unhealthy", float64(s.Check.UnhealthyThreshold), 1, 100},
		{"check.tries", float64(s.Check.TimeoutThreshold), 1, 100},
		{"soakS", s.SoakS, 0, 86400},
		{"placeS", s.PlaceS, 1, 86400},
	} {
		if math.IsNaN(f.value) || f.value < f.least || f.value > f.most {
			return fieldError(f.name, "%v is not within %v and %v", f.value, f.least, f.most)
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
		switch {
		case c >= 'a' && c <= 'z', c >= '0' && c <= '9', c == '-':
		default:
			return false
		}
	}
	return true
}

// Targets returns the number of new replicas after each step, for a service with the given number
// of replicas. No step may be smaller than the previous one, and the last one must be all replicas.
// Successive steps with the same number of replicas, such as small percentages of few replicas, are
// merged.
func Targets(steps []string, replicas int) ([]int, error) {
	if len(steps) == 0 || len(steps) > 50 {
		return nil, fieldError("steps", "1 to 50 are needed")
	}
	var targets []int
	last := 0
	for i, step := range steps {
		field := fmt.Sprintf("steps[%d]", i)
		n, err := parseStep(field, step, replicas)
		if err != nil {
			return nil, err
		}
		if n < last {
			return nil, fieldError(field, "%q is less than the step before", step)
		}
		if n > last || i == 0 {
			targets = append(targets, n)
		}
		last = n
	}
	if last != replicas {
		return nil, fieldError("steps", "the last, %q, does not reach 100%%", steps[len(steps)-1])
	}
	return targets, nil
}

// parseStep returns the number of replicas of a step. A percentage like 25% is rounded up, and a
// number above replicas is reduced to replicas.
func parseStep(field, step string, replicas int) (int, error) {
	if part, ok := strings.CutSuffix(step, "%"); ok {
		percent, err := strconv.ParseFloat(part, 64)
		if err != nil || !(percent > 0) || percent > 100 {
			return 0, fieldError(field, "%q is not a part like 25%%", step)
		}
		return int(math.Ceil(percent / 100 * float64(replicas))), nil
	}
	n, err := strconv.Atoi(step)
	if err != nil || n < 1 {
		return 0, fieldError(field, "%q is neither a number of replicas nor a part like 25%%", step)
	}
	return min(n, replicas), nil
}
