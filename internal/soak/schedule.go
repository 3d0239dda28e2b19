package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults. A link fault concerns one link of one controller, in both directions.
const (
	Kill           FaultKind = "kill"            // SIGKILL of a controller, which is started again
	Pause          FaultKind = "pause"           // SIGSTOP of a controller, later SIGCONT
	HoldLink       FaultKind = "hold link"       // data are held and delivered at the end
	ResetLink      FaultKind = "reset link"      // connections are reset and new ones refused
	DelayLink      FaultKind = "delay link"      // data arrive late, in order
	LoseAnswers    FaultKind = "lose answers"    // data from the server to the client are lost
	StateOutage    FaultKind = "state outage"    // the state service refuses all requests of all controllers
	StateRefuses   FaultKind = "state refuses"   // the state service refuses one controller
	StateSlow      FaultKind = "state slow"      // the state service answers one controller late
	StateLoses     FaultKind = "state loses"     // transactions of one controller are applied at once, their answers are lost
	StateApplyLate FaultKind = "state late"      // transactions of one controller are applied late and get no answer
	CutWorkers     FaultKind = "cut workers"     // a part of the workers is cut off from all controllers
	LateReports    FaultKind = "late reports"    // copies of workers' reports arrive again, late
	LeaderSeries   FaultKind = "leaders end"     // the leader is killed again and again
	KillAll        FaultKind = "kill all"        // SIGKILL of all controllers
	CancelBurst    FaultKind = "cancel together" // users cancel many jobs at once

	// See Schedule.AddRepeats.

	RepeatCalls    FaultKind = "repeat calls"        // copies of calls that were answered arrive, on every link
	RestartAll     FaultKind = "all restart at once" // SIGKILL of all controllers, which are back within a second
	RestartWorkers FaultKind = "workers restart"     // a part of the workers lose their state, and are back within a second

	// SIGSTOP and SIGCONT in short turns; see Schedule.AddShortages.

	ProcessorShortage    FaultKind = "short of processor time"     // of a controller
	AllProcessorShortage FaultKind = "all short of processor time" // of all controllers
)

// Link is a link of a controller.
type Link string

// The links of a controller.
const (
	UserLink   Link = "users"
	WorkerLink Link = "workers"
	PeerLink   Link = "peers"
	StateLink  Link = "state service"
)

// Fault is one fault of a schedule.
type Fault struct {
	At, Duration time.Duration // from the start of the run
	Kind         FaultKind
	Controller   int // index; the leader at the time if leader is set
	Leader       bool
	Link         Link    // of a link fault
	Share        float64 // of the workers, reports or jobs concerned; of the time for which a controller runs
}

// String returns the fault as a line of the printed schedule.
func (f Fault) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%6.2f s, for %5.2f s: %s", f.At.Seconds(), f.Duration.Seconds(), f.Kind)
	switch {
	case f.Leader:
		b.WriteString(", leader")
	case f.Kind.concernsController():
		fmt.Fprintf(&b, ", controller %d", f.Controller)
	}
	if f.Link != "" {
		fmt.Fprintf(&b, ", link to %s", f.Link)
	}
	if f.Share > 0 {
		fmt.Fprintf(&b, ", share %.2f", f.Share)
	}
	return b.String()
}

func (k FaultKind) concernsController() bool {
	return !slices.Contains([]FaultKind{StateOutage, CutWorkers, LateReports, LeaderSeries, KillAll, CancelBurst, AllProcessorShortage, RepeatCalls, RestartAll, RestartWorkers}, k)
}

func (k FaultKind) concernsLink() bool {
	return slices.Contains([]FaultKind{HoldLink, ResetLink, DelayLink, LoseAnswers}, k)
}

// Schedule is what is played in a run.
type Schedule struct {
	Seed        uint64
	Controllers int
	Workers     int
	JobsPerS    float64
	Faults      []Fault // in the order of their times
	FaultsEnd   time.Duration

	// Not determined by the seed.

	LoadBalancer bool // users' ordinary requests go through a load balancer
	EndedJobs    int  // jobs that ended before the run, about which users ask after the faults
	Shortage     FaultMode
	Repeats      FaultMode
}

const (
	warmUp           = 6 * time.Second // before the first fault
	faultPeriod      = 28 * time.Second
	minFault         = 500 * time.Millisecond
	maxFault         = 9 * time.Second
	maxPauseBetween  = 4 * time.Second // between the starts of two groups of faults
	leaderKillPeriod = 2500 * time.Millisecond
	manyWorkers      = 200
	fewWorkers       = 24
)

// faultKinds are the kinds that are drawn; those that stand twice are drawn twice as often.
var faultKinds = []FaultKind{
	Kill, Kill, Pause, HoldLink, HoldLink, ResetLink, DelayLink, LoseAnswers, StateOutage, StateRefuses, StateRefuses, StateSlow, StateLoses, StateApplyLate,
	CutWorkers, LateReports, LeaderSeries, KillAll, CancelBurst, CancelBurst,
}

var links = []Link{UserLink, WorkerLink, PeerLink, StateLink}

// NewSchedule returns the schedule of a seed. It depends on nothing else.
func NewSchedule(seed uint64) *Schedule {
	r := rand.New(rand.NewPCG(seed, 0))
	s := &Schedule{Seed: seed, Controllers: 3, Workers: fewWorkers, JobsPerS: 2}
	if r.IntN(3) == 0 {
		s.Controllers = 5
	}
	if r.IntN(4) == 0 {
		s.Workers, s.JobsPerS = manyWorkers, 4
	}
	for at := warmUp; at < warmUp+faultPeriod; at += time.Duration(r.Int64N(int64(maxPauseBetween))) {
		for range 1 + r.IntN(3) {
			fault := drawFault(r, s.Controllers, at+time.Duration(r.Int64N(int64(time.Second))))
			s.Faults = append(s.Faults, fault)
			s.FaultsEnd = max(s.FaultsEnd, fault.At+fault.Duration)
		}
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return s
}

func drawFault(r *rand.Rand, controllers int, at time.Duration) Fault {
	f := Fault{
		At: at, Duration: minFault + time.Duration(r.Int64N(int64(maxFault-minFault))),
		Kind: faultKinds[r.IntN(len(faultKinds))], Controller: r.IntN(controllers), Leader: r.IntN(2) == 0,
	}
	if f.Kind.concernsLink() {
		f.Link = links[r.IntN(len(links))]
	}
	f.Leader = f.Leader && f.Kind.concernsController()
	switch f.Kind {
	case CutWorkers, LateReports, CancelBurst:
		f.Share = 0.1 + 0.8*r.Float64()
	}
	if f.Kind == KillAll || f.Kind == CancelBurst || f.Kind == Kill {
		f.Duration = minFault // the time until the controller is started again
	}
	return f
}

// String returns the schedule, a line for each fault.
func (s *Schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d controllers, %d workers, %.0f jobs/s, last fault ends at %.2f s\n", s.Seed, s.Controllers, s.Workers, s.JobsPerS, s.FaultsEnd.Seconds())
	for _, f := range s.Faults {
		fmt.Fprintln(&b, f)
	}
	return b.String()
}
