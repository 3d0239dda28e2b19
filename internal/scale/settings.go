// Package scale runs a site of a planned size on one machine and measures it. Real controllers run
// against local services. Hollow workers follow the protocol, but their tasks are only timers. Users
// submit jobs at a rate that is constant within each phase. Machine failures, network partitions and
// controller restarts are injected.
//
// Controllers are child processes started by the caller; everything else runs in this process.
// Only settings, logs and the result remain after a run. The package reports measurements without
// evaluating them, except for violated rules.
package scale

import (
	"errors"
	"fmt"
	"math"

	"olympos.io/encoding/edn"

	"github.com/wallrack/wallrack/internal/config"
)

// Team is a team of the site, with its guarantee and limit in CPUs.
type Team struct {
	Name             string
	Guarantee, Limit float64
}

// Settings configure a run. Suffixes give the unit: S is seconds, Ms milliseconds.
type Settings struct {
	// Size of the site.
	Workers, Controllers, Zones, Regions int
	RackWorkers                          int // number of workers cut off by a rack failure
	WorkerCPUs, WorkerMemoryGB           float64
	ReportS, LeaseS, CancelS, BootS      float64

	Teams     []Team  // named teams, followed by generated ones
	teamCount int     // number of generated teams
	TeamSpare float64 // CPUs of a generated team's limit above its guarantee

	// Load.
	Running                     int // tasks running on workers in the steady state
	TaskCPUs, RunS, FetchS      float64
	TasksPerJob                 int
	SteadyStarts, PeakStarts    float64 // requested task starts per second
	UrgentStarts, UrgentWithinS float64 // urgent starts per second, included above; longest wait that counts as in time

	// Durations of the phases. A phase with duration 0 is left out.
	FillWithinS, SteadyS, PeakS, FailuresS  float64
	RackCutS, ZoneCutS, RegionCutS, SettleS float64
	RestartEveryS, DrainS                   float64

	FailureSpeedup                 float64 // factor by which failures are more frequent than on a real day
	FailuresPerDay, RestartsPerDay float64 // machines per real day
	StateRPS, StateWriteRPS        float64
	StateLatencyMs                 float64
	StateTxnOps                    int // maximum number of changes in a transaction
	CloudRPS                       float64
	CloudLatencyMs                 float64
	CloudLagS                      float64 // delay of listings

	// Resource limits of a controller, and of the whole run.
	ControllerCPU, ControllerMB float64
	ControllerSockets           int
	MemoryGB                    float64 // limit on the estimated memory of the run

	Operator []byte // the controllers' operator settings, or nil
}

// numericSetting is a setting with a numeric value: its bounds, its default and its destination,
// an *int or a *float64.
type numericSetting struct {
	min, max, defaultValue float64
	dest                   any
}

// numericSettings returns the settings with numeric values by key.
func (s *Settings) numericSettings() map[string]numericSetting {
	return map[string]numericSetting{
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
		"rack-cut-s":           {0, 3600, 180, &s.RackCutS},
		"zone-cut-s":           {0, 3600, 180, &s.ZoneCutS},
		"region-cut-s":         {0, 3600, 180, &s.RegionCutS},
		"settle-s":             {0, 600, 30, &s.SettleS},
		"restart-every-s":      {0, 600, 20, &s.RestartEveryS},
		"drain-s":              {1, 600, 60, &s.DrainS},
		"failures-a-day":       {0, 86400, 23, &s.FailuresPerDay},
		"restarts-a-day":       {0, 86400, 330, &s.RestartsPerDay},
		"day-pace":             {1, 1000, 60, &s.FailureSpeedup},
		"state-rps":            {1, 1e6, 600, &s.StateRPS},
		"state-write-rps":      {1, 1e6, 240, &s.StateWriteRPS},
		"state-latency-ms":     {0, 1000, 5, &s.StateLatencyMs},
		"state-txn-ops":        {4, 1000, 48, &s.StateTxnOps},
		"cloud-rps":            {0.1, 1e4, 6, &s.CloudRPS},
		"cloud-latency-ms":     {0, 10000, 150, &s.CloudLatencyMs},
		"cloud-lag-s":          {0, 60, 4, &s.CloudLagS},
		"controller-cpu":       {0.01, 64, 1, &s.ControllerCPU},
		"controller-memory-mb": {24, 65536, 512, &s.ControllerMB},
		"controller-sockets":   {96, 65536, 4096, &s.ControllerSockets},
		"memory-gb":            {0.1, 1024, 11, &s.MemoryGB},
	}
}

// noScaleIn prevents the controllers from deleting machines, so that the size of the site is constant.
const noScaleIn = "(wallrack (idle-s 3600) (headroom-percent 500) (dear-headroom-percent 500))"

// LoadSettings reads a file of the form `(scale (key number) ... (team "name" guarantee limit)
// ... (operator (key value) ...))`. Missing keys have their defaults. Errors begin with the path.
func LoadSettings(path string) (*Settings, error) { return config.Load(path, ParseSettings) }

// ParseSettings parses the text of a settings file and validates the settings. Errors begin with
// the key.
func ParseSettings(data []byte) (*Settings, error) {
	entries, err := config.ParseEntries(data, "scale", "(key value ...)")
	if err != nil {
		return nil, err
	}
	s := &Settings{Operator: []byte(noScaleIn)}
	numeric, seen := s.numericSettings(), map[string]bool{}
	for _, f := range numeric {
		f.set(f.defaultValue)
	}
	for i, e := range entries {
		entry, ok := e.([]any)
		if !ok || len(entry) < 2 {
			return nil, fmt.Errorf("entry %d: expected (key value ...)", i+1)
		}
		sym, _ := entry[0].(edn.Symbol) // empty, and thus an unknown key, if it is not a symbol
		key := string(sym)
		if key != "team" && seen[key] {
			return nil, fmt.Errorf("%s: given twice", key)
		}
		seen[key] = true
		switch f, isNumeric := numeric[key]; {
		case isNumeric && len(entry) == 2:
			err = f.setFrom(entry[1])
		case key == "team" && len(entry) == 4:
			err = s.addTeam(entry[1], entry[2], entry[3])
		case key == "operator":
			err = s.setOperator(entry[1:])
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

// setFrom validates a value from the settings file and stores it.
func (f numericSetting) setFrom(value any) error {
	v, err := config.NumberInRange(value, f.min, f.max)
	if _, whole := f.dest.(*int); err == nil && whole && v != math.Trunc(v) {
		err = fmt.Errorf("%v is not a whole number", v)
	}
	if err == nil {
		f.set(v)
	}
	return err
}

func (f numericSetting) set(v float64) {
	switch to := f.dest.(type) {
	case *int:
		*to = int(v)
	case *float64:
		*to = v
	}
}

const (
	maxTeamName = 120 // bytes, the maximum in a job message
	maxTeamCPUs = 1e6
)

// addTeam adds a team named in the settings. It fails if a value or the team is invalid.
func (s *Settings) addTeam(name, guarantee, limit any) error {
	team := Team{}
	team.Name, _ = name.(string) // empty, and thus invalid, if it is not a string
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

// checkTeam validates team i, and checks that no earlier team has its name.
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

// setOperator validates the operator settings of the controllers and stores their text.
func (s *Settings) setOperator(entries []any) error {
	data, err := edn.Marshal(append([]any{edn.Symbol("wallrack")}, entries...))
	if err != nil {
		return err
	}
	// edn.Marshal encodes the list as a vector, which ParseOperator accepts too.
	base, err := config.LoadOperator("")
	if err == nil {
		_, err = config.ParseOperator(data, base)
	}
	s.Operator = data
	return err
}

// tightTeamInterval: one in tightTeamInterval generated teams has only a sixth of the usual spare
// CPUs, so that it is at its limit when one of its jobs arrives.
const tightTeamInterval = 10

// generateTeams adds the generated teams. The guarantee of each is the CPUs of its service tasks. Its
// limit is higher by the spare CPUs, which are at least those of one task.
func (s *Settings) generateTeams() error {
	named := len(s.Teams)
	for i := range s.teamCount {
		guarantee, spare := float64(s.replicas(named+i, named+s.teamCount))*s.TaskCPUs, s.TeamSpare
		if i%tightTeamInterval == 0 {
			spare /= 6
		}
		s.Teams = append(s.Teams, Team{fmt.Sprintf("team-%03d", i), guarantee, guarantee + max(spare, s.TaskCPUs)})
		if err := s.checkTeam(len(s.Teams) - 1); err != nil {
			return fmt.Errorf("team: %w", err)
		}
	}
	return nil
}

// serviceTasks returns the number of service tasks, which run all the time: the running tasks
// minus the short tasks that run at the steady rate.
func (s *Settings) serviceTasks() int { return max(0, s.Running-int(s.SteadyStarts*s.RunS)) }

// replicas returns team i's number of service tasks, which are divided equally among the teams.
func (s *Settings) replicas(i, teams int) int {
	n := s.serviceTasks() / teams
	if i < s.serviceTasks()%teams {
		n++
	}
	return n
}

// check returns the first conflict between settings, or nil.
func (s *Settings) check() error {
	perZone := s.Workers / s.Zones
	capacity := float64(s.Workers) * math.Floor(s.WorkerCPUs/s.TaskCPUs+1e-9)
	peak := float64(s.serviceTasks()) + s.PeakStarts*s.RunS
	guaranteed := 0.0
	for i, team := range s.Teams {
		guaranteed += team.Guarantee
		if need := float64(s.replicas(i, len(s.Teams))) * s.TaskCPUs; need > team.Limit {
			return fmt.Errorf("running: team %q would hold %v CPUs, above its limit of %v", team.Name, need, team.Limit)
		}
	}
	plannedGB := (float64(s.Controllers)*s.ControllerMB + float64(s.Workers)*hollowWorkerMB + baseMB) / 1024
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
	case plannedGB > s.MemoryGB:
		return fmt.Errorf("memory-gb: the run may take %.1f, above %v", plannedGB, s.MemoryGB)
	}
	return nil
}

const (
	hollowWorkerMB = 0.4 // per hollow worker, with its connections and tasks
	baseMB         = 512 // for the services and users
)
