// Package slurm is Slurm's commands as a language: it reads options, scripts and
// environment as the published manuals have them, makes wallrack jobs of them, and
// writes listings as Slurm does. It is pure: it opens no file and asks nobody.
package slurm

import (
	"bufio"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/kballard/go-shellquote"
	"github.com/spf13/pflag"
)

// Command is a command that submits work.
type Command string

// The commands.
const (
	Sbatch Command = "sbatch"
	Srun   Command = "srun"
)

// Options are what a submission asks for, after everything was joined.
type Options struct {
	Account, Partition, QOS     string
	Name, Output, Error, Dir    string
	Array                       string
	Most                        int // array tasks at once; 0: all
	Tasks                       int // of a step
	CPUs                        int // of one task
	GPUs                        int // of the job, or of a task, see GPUsPerTask
	GPUsPerTask                 bool
	MemoryMB, MemoryPerCPUMB    float64
	LimitS                      float64 // 0: none
	BeginMs, DeadlineMs         int64
	Dependency                  string
	KillInvalid                 bool
	With, Without               []string // machine types and zones
	Spot                        bool
	Nice                        int
	Hold, Parsable, Wait, Quiet bool
	TestOnly, Label             bool
	Wrap                        string
	Export                      string
}

// Usage is an error in what a user typed.
type Usage struct {
	Where  string // "script line 4", or ""
	Option string
	Why    string
}

func (u *Usage) Error() string {
	out := u.Why
	if u.Option != "" {
		out = "--" + u.Option + ": " + out
	}
	if u.Where != "" {
		out = u.Where + ": " + out
	}
	return out
}

type option struct {
	name, short string
	kind        optionKind
	set         func(o *Options, v string, now time.Time) error
	only        Command // "": of both
	env         string  // suffix of SBATCH_ and SLURM_
	help        string
}

type optionKind int

const (
	valued   optionKind = iota // --name=VALUE
	flagged                    // --name
	optional                   // --name or --name=VALUE
)

func text(at func(o *Options) *string) func(*Options, string, time.Time) error {
	return func(o *Options, v string, _ time.Time) error {
		if v == "" {
			return errors.New("a value is needed")
		}
		*at(o) = v
		return nil
	}
}

func flag(at func(o *Options) *bool) func(*Options, string, time.Time) error {
	return func(o *Options, v string, _ time.Time) error {
		on, err := strconv.ParseBool(v)
		*at(o) = on
		return err
	}
}

func count(least int, at func(o *Options) *int) func(*Options, string, time.Time) error {
	return func(o *Options, v string, _ time.Time) error {
		n, err := strconv.Atoi(v)
		if err != nil || n < least || n > 1_000_000 {
			return fmt.Errorf("%.40q is not a number from %d", v, least)
		}
		*at(o) = n
		return nil
	}
}

func memory(at func(o *Options) *float64) func(*Options, string, time.Time) error {
	return func(o *Options, v string, _ time.Time) (err error) {
		*at(o), err = ParseMemoryMB(v)
		return err
	}
}

// table is every option that is understood. Order is the manual's.
var table = []option{
	{name: "account", short: "A", set: text(func(o *Options) *string { return &o.Account }), env: "ACCOUNT", help: "team whose guarantee and limit apply"},
	{name: "array", short: "a", only: Sbatch, set: setArray, env: "ARRAY_INX", help: "indices of an array's tasks, as 0-15:2,20%4"},
	{name: "begin", set: func(o *Options, v string, now time.Time) (err error) { o.BeginMs, err = parseMs(v, now); return err }, help: "no start before this time"},
	{name: "chdir", short: "D", set: text(func(o *Options) *string { return &o.Dir }), help: "working directory"},
	{name: "constraint", short: "C", set: setConstraint, env: "CONSTRAINT", help: "spot: machines that the cloud may take back will do"},
	{name: "cpus-per-task", short: "c", set: count(1, func(o *Options) *int { return &o.CPUs }), env: "CPUS_PER_TASK", help: "processors of a task"},
	{name: "deadline", set: func(o *Options, v string, now time.Time) (err error) { o.DeadlineMs, err = parseMs(v, now); return err }, help: "cancelled if it is not over by this time"},
	{name: "dependency", short: "d", set: setDependency, env: "DEPENDENCY", help: "after, afterany, afterok, afternotok:JOB[:JOB], singleton"},
	{name: "error", short: "e", set: text(func(o *Options) *string { return &o.Error }), env: "ERROR", help: "file for standard error, with %A %a %j %x"},
	{name: "exclude", short: "x", set: setList(func(o *Options) *[]string { return &o.Without }), help: "machine types and zones to keep from"},
	{name: "export", set: setExport, env: "EXPORT", help: "ALL, NONE or a list of variables"},
	{name: "gpus", short: "G", set: setGPUs(false), env: "GPUS", help: "GPUs of the job"},
	{name: "gpus-per-task", set: setGPUs(true), env: "GPUS_PER_TASK", help: "GPUs of a task"},
	{name: "gres", set: setGres, env: "GRES", help: "gpu:N"},
	{name: "hold", short: "H", only: Sbatch, kind: flagged, set: flag(func(o *Options) *bool { return &o.Hold }), help: "wait until scontrol release"},
	{name: "job-name", short: "J", set: text(func(o *Options) *string { return &o.Name }), env: "JOB_NAME", help: "name of the job"},
	{name: "kill-on-invalid-dep", only: Sbatch, set: setYes(func(o *Options) *bool { return &o.KillInvalid }), env: "KILL_ON_INVALID_DEP", help: "yes: cancel a job whose dependency can never be met"},
	{name: "label", short: "l", only: Srun, kind: flagged, set: flag(func(o *Options) *bool { return &o.Label }), help: "put the task's number before each line"},
	{name: "mem", set: memory(func(o *Options) *float64 { return &o.MemoryMB }), env: "MEM_PER_NODE", help: "memory of the job on its machine, in MB or with K, M, G, T"},
	{name: "mem-per-cpu", set: memory(func(o *Options) *float64 { return &o.MemoryPerCPUMB }), env: "MEM_PER_CPU", help: "memory for each processor"},
	{name: "nice", kind: optional, set: setNice, help: "a lower priority"},
	{name: "nodelist", short: "w", set: setList(func(o *Options) *[]string { return &o.With }), help: "machine types and zones to use"},
	{name: "nodes", short: "N", set: setNodes, help: "1"},
	{name: "ntasks", short: "n", set: count(1, func(o *Options) *int { return &o.Tasks }), env: "NTASKS", help: "tasks of a step"},
	{name: "output", short: "o", set: text(func(o *Options) *string { return &o.Output }), env: "OUTPUT", help: "file for standard output, with %A %a %j %x"},
	{name: "parsable", only: Sbatch, kind: flagged, set: flag(func(o *Options) *bool { return &o.Parsable }), help: "print the number alone"},
	{name: "partition", short: "p", set: text(func(o *Options) *string { return &o.Partition }), env: "PARTITION", help: "class of jobs whose aims apply"},
	{name: "qos", short: "q", set: text(func(o *Options) *string { return &o.QOS }), env: "QOS", help: "production, urgent, normal or low"},
	{name: "quiet", short: "Q", kind: flagged, set: flag(func(o *Options) *bool { return &o.Quiet }), help: "say nothing but errors"},
	{name: "requeue", only: Sbatch, kind: flagged, set: func(*Options, string, time.Time) error { return nil }, env: "REQUEUE", help: "as it is anyway: lost tasks start again"},
	{name: "test-only", kind: flagged, set: flag(func(o *Options) *bool { return &o.TestOnly }), help: "check, and submit nothing"},
	{name: "time", short: "t", set: func(o *Options, v string, _ time.Time) (err error) { o.LimitS, err = ParseLimit(v); return err }, env: "TIMELIMIT", help: "time limit: minutes, M:S, H:M:S, D-H[:M[:S]]"},
	{name: "wait", short: "W", only: Sbatch, kind: flagged, set: flag(func(o *Options) *bool { return &o.Wait }), env: "WAIT", help: "return when the job is over, with its exit code"},
	{name: "wrap", only: Sbatch, set: text(func(o *Options) *string { return &o.Wrap }), help: "a command instead of a script"},
}

// unsupported are options of Slurm's that wallrack knows the meaning of and has
// nothing for; others are unknown to both.
var unsupported = strings.Fields(`acctg-freq batch bb bbf bell burst-buffer cluster-constraint clusters comment container container-id contiguous
	core-spec cores-per-socket cpu-bind cpu-freq cpus-per-gpu delay-boot disable-stdout-job-summary distribution epilog exact exclusive export-file
	extra-node-info get-user-env gid gpu-bind gpu-freq gpus-per-node gpus-per-socket gres-flags hint ignore-pbs immediate input interactive
	jobid kill-on-bad-exit licenses mail-type mail-user mcs-label mem-bind mem-per-gpu mincpus mpi multi-prog network no-allocate no-kill no-requeue
	ntasks-per-core ntasks-per-gpu ntasks-per-node ntasks-per-socket open-mode overcommit overlap oversubscribe power prefer preserve-env
	priority profile prolog propagate pty reboot relative reservation resv-ports segment send-libs signal slurmd-debug sockets-per-node
	spread-job stepmgr switches task-epilog task-prolog thread-spec threads threads-per-core time-min tmp tres-bind tres-per-task tres-per-job
	uid unbuffered use-min-nodes verbose wait-all-nodes wckey x11`)

// Given is what one source asks: the value by the option's name.
type Given map[string]string

// flags makes a command's options for the parser. Later arguments are the
// program's, not the command's.
func flags(cmd Command) *pflag.FlagSet {
	fs := pflag.NewFlagSet(string(cmd), pflag.ContinueOnError)
	fs.SetInterspersed(false)
	fs.SortFlags = false
	for _, o := range table {
		if o.only != "" && o.only != cmd {
			continue
		}
		fs.StringP(o.name, o.short, "", o.help)
		switch o.kind {
		case flagged:
			fs.Lookup(o.name).NoOptDefVal = "true"
		case optional:
			fs.Lookup(o.name).NoOptDefVal = "100" // as Slurm's nice
		}
	}
	return fs
}

// Help lists a command's options.
func Help(cmd Command) string { return flags(cmd).FlagUsages() }

// ErrHelp means that the user asked for help.
var ErrHelp = pflag.ErrHelp

// ParseArgs reads a command line: the options and what follows them.
func ParseArgs(cmd Command, args []string) (Given, []string, error) {
	fs := flags(cmd)
	fs.SetOutput(discard{})
	fs.Usage = func() {}
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, pflag.ErrHelp) {
			return nil, nil, ErrHelp
		}
		return nil, nil, refuseFlag(err)
	}
	g := Given{}
	fs.Visit(func(f *pflag.Flag) { g[f.Name] = f.Value.String() })
	return g, fs.Args(), nil
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// refuseFlag says of an option that is not taken whether Slurm has it.
func refuseFlag(err error) error {
	var unknown *pflag.NotExistError
	if !errors.As(err, &unknown) {
		return &Usage{Why: err.Error()}
	}
	name := unknown.GetSpecifiedName()
	for _, u := range unsupported {
		if u == name {
			return &Usage{Option: name, Why: "is not supported by wallrack"}
		}
	}
	if s := unknown.GetSpecifiedShortnames(); s != "" {
		return &Usage{Why: fmt.Sprintf("-%s: unknown or not supported by wallrack", name)}
	}
	return &Usage{Option: name, Why: "unrecognized option"}
}

// Line is an #SBATCH line.
type Line struct {
	N    int
	Args []string
}

// ScriptLines finds the #SBATCH lines of a script: those before its first command.
func ScriptLines(script string) ([]Line, error) {
	if !strings.HasPrefix(script, "#!") {
		return nil, &Usage{Why: "This does not look like a batch script.  The first line must start with #! followed by the path to an interpreter."}
	}
	if strings.Contains(script, "\r\n") {
		return nil, &Usage{Why: "Batch script contains DOS line breaks (\\r\\n) instead of expected UNIX line breaks (\\n)."}
	}
	if strings.ContainsRune(script, 0) {
		return nil, &Usage{Why: "The batch script holds a zero byte."}
	}
	var out []Line
	sc := bufio.NewScanner(strings.NewReader(script))
	sc.Buffer(nil, len(script)+1)
	for n := 1; sc.Scan(); n++ {
		line := sc.Text()
		trimmed := strings.TrimSpace(line)
		rest, ok := strings.CutPrefix(line, "#SBATCH")
		switch {
		case ok && rest != "" && (rest[0] == ' ' || rest[0] == '\t'):
			args, err := shellquote.Split(beforeComment(rest))
			if err != nil {
				return nil, &Usage{Where: where(n), Why: err.Error()}
			}
			out = append(out, Line{n, args})
		case trimmed != "" && trimmed[0] != '#':
			return out, nil
		}
	}
	return out, nil
}

func where(line int) string { return fmt.Sprintf("script line %d", line) }

// beforeComment cuts a comment off: a # that begins a word outside quotes.
func beforeComment(s string) string {
	quote := rune(0)
	last := ' '
	for i, c := range s {
		switch {
		case quote != 0:
			if c == quote {
				quote = 0
			}
		case c == '\'' || c == '"':
			quote = c
		case c == '#' && (last == ' ' || last == '\t'):
			return s[:i]
		}
		last = c
	}
	return s
}

// FromScript reads a script's #SBATCH lines; each value is checked, so that what
// is wrong is named with its line.
func FromScript(script string, now time.Time) (Given, error) {
	lines, err := ScriptLines(script)
	if err != nil {
		return nil, err
	}
	g := Given{}
	for _, l := range lines {
		one, rest, err := ParseArgs(Sbatch, l.Args)
		if err == nil && len(rest) > 0 {
			err = &Usage{Why: fmt.Sprintf("%.40q is not an option", rest[0])}
		}
		if err == nil {
			_, err = Join(Sbatch, now, one)
		}
		var u *Usage
		if errors.As(err, &u) {
			return nil, &Usage{Where: where(l.N), Option: u.Option, Why: u.Why}
		}
		if err != nil {
			return nil, &Usage{Where: where(l.N), Why: err.Error()}
		}
		for k, v := range one {
			g[k] = v
		}
	}
	return g, nil
}

// FromEnv reads the variables that stand for options: SBATCH_* for sbatch,
// SLURM_* for srun.
func FromEnv(cmd Command, lookup func(string) (string, bool)) Given {
	prefix := "SBATCH_"
	if cmd == Srun {
		prefix = "SLURM_"
	}
	g := Given{}
	for _, o := range table {
		if o.env == "" || o.only != "" && o.only != cmd {
			continue
		}
		v, ok := lookup(prefix + o.env)
		switch {
		case !ok:
		case o.kind == flagged:
			g[o.name] = "true" // Slurm takes the variable's being there for yes
		case v != "":
			g[o.name] = v
		}
	}
	return g
}

// Join joins sources, later ones first in worth, and checks every value.
func Join(cmd Command, now time.Time, sources ...Given) (*Options, error) {
	o := &Options{Tasks: 1, CPUs: 1, Export: "ALL"}
	all := Given{}
	for _, s := range sources {
		for k, v := range s {
			all[k] = v
		}
	}
	for _, opt := range table {
		v, ok := all[opt.name]
		if !ok {
			continue
		}
		if err := opt.set(o, v, now); err != nil {
			return nil, &Usage{Option: opt.name, Why: err.Error()}
		}
	}
	if o.MemoryMB > 0 && o.MemoryPerCPUMB > 0 {
		return nil, &Usage{Option: "mem", Why: "is mutually exclusive with --mem-per-cpu"}
	}
	return o, nil
}
