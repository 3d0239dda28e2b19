package slurm

import (
	"strings"
	"time"
)

// Command is a Slurm command that submits jobs.
type Command string

// The supported submitting commands.
const (
	Sbatch Command = "sbatch"
	Srun   Command = "srun"
)

// Options are the validated options of a submission, merged from all sources by MergeOptions.
type Options struct {
	Account, Partition, QOS     string
	Name, Output, Error, Dir    string
	Array                       string
	MaxConcurrent               int // maximum number of array tasks that run at the same time; 0: unlimited
	Tasks                       int // tasks of a step (--ntasks)
	CPUs                        int // per task
	GPUs                        int // of the job; of each task if GPUsPerTask is set
	GPUsPerTask                 bool
	MemoryMB, MemoryPerCPUMB    float64
	LimitS                      float64 // maximum run time in seconds; 0: unlimited
	BeginMs, DeadlineMs         int64   // Unix time in milliseconds; 0: none
	Dependency                  string
	KillInvalid                 bool     // cancel the job once its dependency can never be satisfied
	NodeList, Exclude           []string // names of machine types and zones
	Spot                        bool
	Nice                        int
	Hold, Parsable, Wait, Quiet bool
	TestOnly, Label             bool
	Wrap                        string
	Export                      string
}

// option describes a supported option of one or both commands.
type option struct {
	name, short string
	kind        optionKind
	set         setter
	only        Command // the only command that has the option; "": both
	env         string  // name of the environment variable without its SBATCH_ or SLURM_ prefix; "": none
	help        string
}

// setter validates an option's value and sets the field of Options. Relative times are resolved
// against now.
type setter func(o *Options, value string, now time.Time) error

// optionKind states whether an option takes a value.
type optionKind int

const (
	requiredValue optionKind = iota // --name=VALUE
	noValue                         // --name
	optionalValue                   // --name or --name=VALUE
)

// optionTable lists every supported option, in the order of Slurm's manual and of the help text.
var optionTable = []option{
	{name: "account", short: "A", set: setText(func(o *Options) *string { return &o.Account }), env: "ACCOUNT", help: "team whose guarantee and limit apply"},
	{name: "array", short: "a", only: Sbatch, set: setArray, env: "ARRAY_INX", help: "indices of an array's tasks, as 0-15:2,20%4"},
	{name: "begin", set: func(o *Options, v string, now time.Time) (err error) {
		o.BeginMs, err = parseUnixMs(v, now)
		return err
	}, help: "no start before this time"},
	{name: "chdir", short: "D", set: setText(func(o *Options) *string { return &o.Dir }), help: "working directory"},
	{name: "constraint", short: "C", set: setConstraint, env: "CONSTRAINT", help: "spot: machines that the cloud may take back will do"},
	{name: "cpus-per-task", short: "c", set: setCount(1, func(o *Options) *int { return &o.CPUs }), env: "CPUS_PER_TASK", help: "processors of a task"},
	{name: "deadline", set: func(o *Options, v string, now time.Time) (err error) {
		o.DeadlineMs, err = parseUnixMs(v, now)
		return err
	}, help: "cancelled if it is not over by this time"},
	{name: "dependency", short: "d", set: setDependency, env: "DEPENDENCY", help: "after, afterany, afterok, afternotok:JOB[:JOB], singleton"},
	{name: "error", short: "e", set: setText(func(o *Options) *string { return &o.Error }), env: "ERROR", help: "file for standard error, with %A %a %j %x"},
	{name: "exclude", short: "x", set: setList(func(o *Options) *[]string { return &o.Exclude }), help: "machine types and zones to keep from"},
	{name: "export", set: setExport, env: "EXPORT", help: "ALL, NONE or a list of variables"},
	{name: "gpus", short: "G", set: setGPUs(false), env: "GPUS", help: "GPUs of the job"},
	{name: "gpus-per-task", set: setGPUs(true), env: "GPUS_PER_TASK", help: "GPUs of a task"},
	{name: "gres", set: setGres, env: "GRES", help: "gpu:N"},
	{name: "hold", short: "H", only: Sbatch, kind: noValue, set: setFlag(func(o *Options) *bool { return &o.Hold }), help: "wait until scontrol release"},
	{name: "job-name", short: "J", set: setText(func(o *Options) *string { return &o.Name }), env: "JOB_NAME", help: "name of the job"},
	{name: "kill-on-invalid-dep", only: Sbatch, set: setYesNo(func(o *Options) *bool { return &o.KillInvalid }), env: "KILL_ON_INVALID_DEP", help: "yes: cancel a job whose dependency can never be met"},
	{name: "label", short: "l", only: Srun, kind: noValue, set: setFlag(func(o *Options) *bool { return &o.Label }), help: "put the task's number before each line"},
	{name: "mem", set: setMemory(func(o *Options) *float64 { return &o.MemoryMB }), env: "MEM_PER_NODE", help: "memory of the job on its machine, in MB or with K, M, G, T"},
	{name: "mem-per-cpu", set: setMemory(func(o *Options) *float64 { return &o.MemoryPerCPUMB }), env: "MEM_PER_CPU", help: "memory for each processor"},
	{name: "nice", kind: optionalValue, set: setNice, help: "a lower priority"},
	{name: "nodelist", short: "w", set: setList(func(o *Options) *[]string { return &o.NodeList }), help: "machine types and zones to use"},
	{name: "nodes", short: "N", set: setNodes, help: "1"},
	{name: "ntasks", short: "n", set: setCount(1, func(o *Options) *int { return &o.Tasks }), env: "NTASKS", help: "tasks of a step"},
	{name: "output", short: "o", set: setText(func(o *Options) *string { return &o.Output }), env: "OUTPUT", help: "file for standard output, with %A %a %j %x"},
	{name: "parsable", only: Sbatch, kind: noValue, set: setFlag(func(o *Options) *bool { return &o.Parsable }), help: "print the number alone"},
	{name: "partition", short: "p", set: setText(func(o *Options) *string { return &o.Partition }), env: "PARTITION", help: "class of jobs whose aims apply"},
	{name: "qos", short: "q", set: setText(func(o *Options) *string { return &o.QOS }), env: "QOS", help: "production, urgent, normal or low"},
	{name: "quiet", short: "Q", kind: noValue, set: setFlag(func(o *Options) *bool { return &o.Quiet }), help: "say nothing but errors"},
	{name: "requeue", only: Sbatch, kind: noValue, set: func(*Options, string, time.Time) error { return nil }, env: "REQUEUE", help: "as it is anyway: lost tasks start again"},
	{name: "test-only", kind: noValue, set: setFlag(func(o *Options) *bool { return &o.TestOnly }), help: "check, and submit nothing"},
	{name: "time", short: "t", set: func(o *Options, v string, _ time.Time) (err error) { o.LimitS, err = ParseTimeLimit(v); return err }, env: "TIMELIMIT", help: "time limit: minutes, M:S, H:M:S, D-H[:M[:S]]"},
	{name: "wait", short: "W", only: Sbatch, kind: noValue, set: setFlag(func(o *Options) *bool { return &o.Wait }), env: "WAIT", help: "return when the job is over, with its exit code"},
	{name: "wrap", only: Sbatch, set: setText(func(o *Options) *string { return &o.Wrap }), help: "a command instead of a script"},
}

// unsupportedOptions are the Slurm options without an equivalent in wallrack. An option that is
// neither here nor in optionTable is unknown to Slurm too and has a different error text.
var unsupportedOptions = strings.Fields(`acctg-freq batch bb bbf bell burst-buffer cluster-constraint clusters comment container container-id contiguous
	core-spec cores-per-socket cpu-bind cpu-freq cpus-per-gpu delay-boot disable-stdout-job-summary distribution epilog exact exclusive export-file
	extra-node-info get-user-env gid gpu-bind gpu-freq gpus-per-node gpus-per-socket gres-flags hint ignore-pbs immediate input interactive
	jobid kill-on-bad-exit licenses mail-type mail-user mcs-label mem-bind mem-per-gpu mincpus mpi multi-prog network no-allocate no-kill no-requeue
	ntasks-per-core ntasks-per-gpu ntasks-per-node ntasks-per-socket open-mode overcommit overlap oversubscribe power prefer preserve-env
	priority profile prolog propagate pty reboot relative reservation resv-ports segment send-libs signal slurmd-debug sockets-per-node
	spread-job stepmgr switches task-epilog task-prolog thread-spec threads threads-per-core time-min tmp tres-bind tres-per-task tres-per-job
	uid unbuffered use-min-nodes verbose wait-all-nodes wckey x11`)
