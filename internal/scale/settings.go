// Package scale runs a site of a planned size on one machine, and measures it: real
// controllers against the stand-in services, hollow workers that keep the protocol and run
// timers, and users at a constant rate; with failures, cuts of links and restarts.
//
// Controllers are child processes that the caller starts; everything else is in this
// process, and nothing is kept after a run but settings, logs and the result. The package
// does not judge the figures; only broken rules are called so.
package scale

import (
	"errors"
	"fmt"
	"math"

	"olympos.io/encoding/edn"

	"github.com/wallrack/wallrack/internal/config"
)

// Team is a team of the site, in CPUs.
type Team struct {
	Name             string
	Guarantee, Limit float64
}

// Settings are what a run plays. Names end in the unit: S is seconds, Ms milliseconds.
type Settings struct {
	// The site.
	Workers, Controllers, Zones, Regions int
	RackWorkers                          int // cut off together
	WorkerCPUs, WorkerMemoryGB           float64
	ReportS, LeaseS, CancelS, BootS      float64

	Teams     []Team  // named ones first, then generated ones
	teamCount int     // how many are generated
	TeamSpare float64 // CPUs of a generated team's limit above its guarantee

	// The load.
	Running                     int // tasks on workers in the steady state
	TaskCPUs, RunS, FetchS      float64
	TasksPerJob                 int
	SteadyStarts, PeakStarts    float64 // tasks requested to start a second
	UrgentStarts, UrgentWithinS float64 // of them urgent a second; in time if started within

	// The phases' lengths. 0: the phase is left out.
	FillWithinS, SteadyS, PeakS, FailuresS float64
	RackS, ZoneS, RegionS, SettleS         float64
	RestartEveryS, DrainS                  float64

	DaySpeed                float64 // how many times faster than in a day failures come
	FailADay, RestartADay   float64 // machines
	StateRPS, StateWriteRPS float64
	StateLatencyMs          float64
	StateTxns               int // changes in a transaction
	CloudRPS                float64
	CloudLatencyMs          float64
	CloudLagS               float64 // of listings

	// What a controller may use, and the whole run.
	ControllerCPU, ControllerMB float64
	ControllerSockets           int
	MemoryGB                    float64 // most that the run may be planned to take

	Operator []byte // settings that the controllers get, or nil
}

// figure is a setting that is a number, with its bounds, its value at the planned size
// and where it goes: an *int or a *float64.
type figure struct {
	min, max, planned float64
	to                any
}

// figures are the settings that are numbers, by key.
func (s *Settings) figures() map[string]figure {
	return map[string]figure{
		"workers":              {1, 20000, 2600, &s.Workers},
		"controllers":          {1, 16, 6, &s.Controllers},
		"zones":                {1, 100, 10, &s.Zones},
		"regions":              {1, 100, 5, &s.Regions},
		"rack-workers":         {1, 1000, 40, &s.RackWorkers},
		"worker-cpus":          {0.1, 1024, 6, &s.WorkerCPUs},
		"worker-memory-gb":     {0.1, 1e5, 64, &s.WorkerMemoryGB},
		"report-s":             {0.1, 60, 4, &s.ReportS},
		"lease-s":              {0.5, 600, 22, &s.LeaseS},
		"cancel-s":             {1, 600, 52, &s.CancelS},
		"boot-s":               {0, 600, 2, &s.BootS},
		"teams":                {0, 4096, 410, &s.teamCount},
		"team-spare-cpus":      {1, 1e6, 60, &s.TeamSpare},
		"running":              {0, 200000, 11000, &s.Running},
		"task-cpus":            {0.01, 1024, 1, &s.TaskCPUs},
		"run-s":                {0.1, 3600, 3, &s.RunS},
		"fetch-s":              {0, 600, 0.2, &s.FetchS},
		"tasks-per-job":        {1, 10000, 40, &s.TasksPerJob},
		"steady-starts":        {0.1, 1e5, 90, &s.SteadyStarts},
		"peak-starts":          {0.1, 1e5, 890, &s.PeakStarts},
		"urgent-starts":        {0.1, 1e4, 5, &s.UrgentStarts},
		"urgent-within-s":      {0.1, 600, 1.7, &s.UrgentWithinS},
		"fill-within-s":        {1, 1800, 180, &s.FillWithinS},
		"steady-s":             {0, 3600, 60, &s.SteadyS},
		"peak-s":               {0, 3600, 60, &s.PeakS},
		"failures-s":           {0, 3600, 180, &s.FailuresS},
		"rack-cut-s":           {0, 3600, 180, &s.RackS},
		"zone-cut-s":           {0, 3600, 180, &s.ZoneS},
		"region-cut-s":         {0, 3600, 180, &s.RegionS},
		"settle-s":             {0, 600, 30, &s.SettleS},
		"restart-every-s":      {0, 600, 20, &s.RestartEveryS},
		"drain-s":              {1, 600, 60, &s.DrainS},
		"failures-a-day":       {0, 86400, 23, &s.FailADay},
		"restarts-a-day":       {0, 86400, 330, &s.RestartADay},
		"day-pace":             {1, 1000, 60, &s.DaySpeed},
		"state-rps":            {1, 1e6, 600, &s.StateRPS},
		"state-write-rps":      {1, 1e6, 240, &s.StateWriteRPS},
		"state-latency-ms":     {0, 1000, 5, &s.StateLatencyMs},
		"state-txn-ops":        {4, 1000, 48, &s.StateTxns},
		"cloud-rps":            {0.1, 1e4, 6, &s.CloudRPS},
		"cloud-latency-ms":     {0, 10000, 150, &s.CloudLatencyMs},
		"cloud-lag-s":          {0, 60, 4, &s.CloudLagS},
		"controller-cpu":       {0.01, 64, 1, &s.ControllerCPU},
		"controller-memory-mb": {24, 65536, 512, &s.ControllerMB},
		"controller-sockets":   {96, 65536, 4096, &s.ControllerSockets},
		"memory-gb":            {0.1, 1024, 11, &s.MemoryGB},
	}
}

// noScaleIn is for controllers that delete no machine, so that the site keeps its size.
const noScaleIn = "(wallrack (idle-s 3600) (headroom-percent 500) (dear-headroom-percent 500))"

// LoadSettings reads `(scale (key number) ... (team "name" guarantee limit) ...
// (operator (key value) ...))` over the planned size. Errors begin with the path.
func LoadSettings(path string) (*Settings, error) { return config.Load(path, ParseSettings) }

// ParseSettings reads the text of the settings, and checks that they can be played. Errors
// begin with the key.
func ParseSettings(data []byte) (*Settings, error) {
	entries, err := config.ParseEntries(data, "scale", "(key value ...)")
	if err != nil {
		return nil, err
	}
	s := &Settings{Operator: []byte(noScaleIn)}
	figures, seen := s.figures(), map[string]bool{}
	for _, f := range figures {
		f.set(f.planned)
	}
	for i, e := range entries {
		entry, ok := e.([]any)
		if !ok || len(entry) < 2 {
			return nil, fmt.Errorf("entry %d: expected (key value ...)", i+1)
		}
		sym, _ := entry[0].(edn.Symbol) // another kind is an unknown key
		key := string(sym)
		if key != "team" && seen[key] {
			return nil, fmt.Errorf("%s: given twice", key)
		}
		seen[key] = true
		switch f, isFigure := figures[key]; {
		case isFigure && len(entry) == 2:
			err = f.take(entry[1])
		case key == "team" && len(entry) == 4:
			err = s.addTeam(entry[1], entry[2], entry[3])
		case key == "operator":
			err = s.takeOperator(entry[1:])
		default:
			return nil, fmt.Errorf("%s: unknown key, or not as many values as it takes", key)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", key, err)
		}
	}
	if err := s.generateTeams(); err != nil {
		return nil, err
	}
	return s, s.check()
}

// take sets the figure to a value of the settings.
func (f figure) take(value any) error {
	v, err := config.NumberInRange(value, f.min, f.max)
	if _, whole := f.to.(*int); err == nil && whole && v != math.Trunc(v) {
		err = fmt.Errorf("%v is not a whole number", v)
	}
	if err == nil {
		f.set(v)
	}
	return err
}

func (f figure) set(v float64) {
	switch to := f.to.(type) {
	case *int:
		*to = int(v)
	case *float64:
		*to = v
	}
}

const (
	maxTeamName = 120 // bytes, that a job's message holds
	maxTeamCPUs = 1e6
)

// addTeam adds a team that the settings name.
func (s *Settings) addTeam(name, guarantee, limit any) error {
	team := Team{}
	team.Name, _ = name.(string) // another kind is an empty name
	if team.Name == "" || len(team.Name) > maxTeamName {
		return fmt.Errorf("%.40q: a name of 1 to %d bytes is needed", team.Name, maxTeamName)
	}
	var err error
	if team.Guarantee, err = config.NumberInRange(guarantee, 0, maxTeamCPUs); err != nil {
		return fmt.Errorf("%q: guarantee: %w", team.Name, err)
	}
	if team.Limit, err = config.NumberInRange(limit, 0, maxTeamCPUs); err != nil {
		return fmt.Errorf("%q: limit: %w", team.Name, err)
	}
	s.Teams = append(s.Teams, team)
	return s.checkTeam(len(s.Teams) - 1)
}

// checkTeam checks a team against itself and those before it.
func (s *Settings) checkTeam(i int) error {
	team := s.Teams[i]
	for _, earlier := range s.Teams[:i] {
		if earlier.Name == team.Name {
			return fmt.Errorf("%q: given twice", team.Name)
		}
	}
	if team.Limit <= 0 || team.Guarantee > team.Limit {
		return fmt.Errorf("%q: a guarantee of %v is above the limit of %v", team.Name, team.Guarantee, team.Limit)
	}
	return nil
}

// takeOperator checks the settings that the controllers get, and keeps their text.
func (s *Settings) takeOperator(entries []any) error {
	data, err := edn.Marshal(append([]any{edn.Symbol("wallrack")}, entries...))
	if err != nil {
		return err
	}
	// A list is marshalled as a vector, which the reader takes as well.
	base, err := config.LoadOperator("")
	if err == nil {
		_, err = config.ParseOperator(data, base)
	}
	s.Operator = data
	return err
}

// tightEvery is how often a generated team has a sixth of the others' spare CPUs, so
// that it stands at its limit when a job of it comes.
const tightEvery = 10

// generateTeams adds as many teams as are to be generated.
func (s *Settings) generateTeams() error {
	named := len(s.Teams)
	for i := range s.teamCount {
		base, spare := float64(s.replicas(named+i, named+s.teamCount))*s.TaskCPUs, s.TeamSpare
		if i%tightEvery == 0 {
			spare /= 6
		}
		s.Teams = append(s.Teams, Team{fmt.Sprintf("team-%03d", i), base, base + max(spare, s.TaskCPUs)})
		if err := s.checkTeam(len(s.Teams) - 1); err != nil {
			return fmt.Errorf("team: %w", err)
		}
	}
	return nil
}

// services is how many tasks run all the time: what short tasks at the steady rate
// don't give.
func (s *Settings) services() int { return max(0, s.Running-int(s.SteadyStarts*s.RunS)) }

// replicas is how many of the services team i of so many has.
func (s *Settings) replicas(i, teams int) int {
	n := s.services() / teams
	if i < s.services()%teams {
		n++
	}
	return n
}

// check returns which figures can't be played together.
func (s *Settings) check() error {
	perZone := s.Workers / s.Zones
	capacity := float64(s.Workers) * math.Floor(s.WorkerCPUs/s.TaskCPUs+1e-9)
	peak := float64(s.services()) + s.PeakStarts*s.RunS
	guaranteed := 0.0
	for i, team := range s.Teams {
		guaranteed += team.Guarantee
		if need := float64(s.replicas(i, len(s.Teams))) * s.TaskCPUs; need > team.Limit {
			return fmt.Errorf("running: team %q would hold %v CPUs, above its limit of %v", team.Name, need, team.Limit)
		}
	}
	planGB := (float64(s.Controllers)*s.ControllerMB + float64(s.Workers)*workerMB + baseMB) / 1024
	switch {
	case len(s.Teams) == 0:
		return errors.New("teams: at least one is needed")
	case s.Workers%s.Zones != 0 || s.Zones%s.Regions != 0:
		return fmt.Errorf("zones: %d workers in %d zones in %d regions don't share evenly", s.Workers, s.Zones, s.Regions)
	case s.RackWorkers > perZone:
		return fmt.Errorf("rack-workers: %d are more than the %d of a zone", s.RackWorkers, perZone)
	case s.PeakStarts < s.SteadyStarts:
		return fmt.Errorf("peak-starts: %v is below steady-starts, %v", s.PeakStarts, s.SteadyStarts)
	case s.UrgentStarts >= s.SteadyStarts:
		return fmt.Errorf("urgent-starts: %v is not below steady-starts, %v", s.UrgentStarts, s.SteadyStarts)
	case s.ReportS*2 > s.LeaseS:
		return fmt.Errorf("report-s: %v leaves no second report within lease-s, %v", s.ReportS, s.LeaseS)
	case capacity < 1 || peak > capacity:
		return fmt.Errorf("running: %.0f tasks at the peak don't fit %d workers of %v CPUs", peak, s.Workers, s.WorkerCPUs)
	case guaranteed > float64(s.Workers)*s.WorkerCPUs:
		return fmt.Errorf("team: guarantees of %v CPUs are more than the site has", guaranteed)
	case planGB > s.MemoryGB:
		return fmt.Errorf("memory-gb: the run may take %.1f, above %v", planGB, s.MemoryGB)
	}
	return nil
}

const (
	workerMB = 0.4 // of a hollow worker with its connections and tasks
	baseMB   = 512 // of the services and users
)
