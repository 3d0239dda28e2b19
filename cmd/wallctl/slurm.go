package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/listing"
	"github.com/wallrack/wallrack/internal/slurm"
	"github.com/wallrack/wallrack/internal/terms"
	"github.com/wallrack/wallrack/internal/wire"
)

// slurmCommands are the names under which this program speaks Slurm.
var slurmCommands = []string{"sbatch", "srun", "squeue", "scancel", "sacct", "sinfo", "scontrol"}

// maxScript is the longest script that is taken.
const maxScript = 512 << 10

// exitError ends the program with a job's own exit code.
type exitError struct{ code int }

func (e *exitError) Error() string { return "exit code " + strconv.Itoa(e.code) }

// slurmError is an error as Slurm's commands print it. Their exit code is 1.
type slurmError struct {
	command string
	err     error
}

func (e *slurmError) Error() string { return e.command + ": error: " + e.err.Error() }
func (e *slurmError) Unwrap() error { return e.err }

// Steps that a stepError names as Slurm's commands do.
const (
	stepSubmit = "Batch job submission failed"
	stepList   = "Unable to contact the site, or not to the end of the list"
)

// stepError is the failure of a step of a command, in Slurm's words, with its cause.
type stepError struct {
	step string
	err  error
}

func (e *stepError) Error() string { return e.step + ": " + e.err.Error() }
func (e *stepError) Unwrap() error { return e.err }

// slurmCommand makes a command that reads its own options, as Slurm's do.
func (a *app) slurmCommand(name, short string, run func(cmd *cobra.Command, cl *client.Client, args []string) error) *cobra.Command {
	return &cobra.Command{Use: name, Short: short, DisableFlagParsing: true, RunE: func(cmd *cobra.Command, args []string) error {
		cl, err := a.client()
		if err == nil {
			err = run(cmd, cl, args)
		}
		var exit *exitError
		switch {
		case errors.Is(err, pflag.ErrHelp):
			return nil
		case err == nil || errors.As(err, &exit):
			return err
		}
		return &slurmError{name, err}
	}}
}

func (a *app) slurm() []*cobra.Command {
	return []*cobra.Command{
		a.slurmCommand("sbatch", "Submit a batch script (Slurm's options)", sbatch),
		a.slurmCommand("srun", "Run a program and wait for it (Slurm's options)", srun),
		a.slurmCommand("squeue", "List waiting and running jobs (Slurm's options)", squeue),
		a.slurmCommand("scancel", "Cancel jobs or tasks of arrays (Slurm's options)", scancel),
		a.slurmCommand("sacct", "Show accounting of jobs (Slurm's options)", sacct),
		a.slurmCommand("sinfo", "List machines (Slurm's options)", sinfo),
		a.slurmCommand("scontrol", "Show, hold or release jobs, show machines (Slurm's way)", scontrol),
		{Use: "install-links DIR", Short: "Make links with Slurm's command names to this program", Args: cobra.ExactArgs(1), RunE: installLinks},
	}
}

// installLinks never replaces what is not a link to this program.
func installLinks(cmd *cobra.Command, args []string) error {
	exe, err := os.Executable()
	if err != nil {
		return fmt.Errorf("this program's file: %w", err)
	}
	for _, name := range slurmCommands {
		at := filepath.Join(args[0], name)
		if to, err := os.Readlink(at); err == nil && to == exe {
			continue
		}
		if err := os.Symlink(exe, at); err != nil {
			return err
		}
		fmt.Fprintln(cmd.OutOrStdout(), at)
	}
	return nil
}

func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return os.Getenv("USER")
}

// ask reads a submission from command line, script and environment.
func ask(cmd *cobra.Command, name slurm.Command, args []string, now time.Time) (*slurm.Options, *slurm.Work, error) {
	given, rest, err := slurm.ParseArgs(name, args)
	if errors.Is(err, slurm.ErrHelp) {
		fmt.Fprintf(cmd.OutOrStdout(), "Usage: %s [OPTIONS] [PROGRAM|SCRIPT [ARG...]]\n%s", name, slurm.Help(name))
	}
	if err != nil {
		return nil, nil, err
	}
	w := &slurm.Work{Env: os.Environ(), User: userName()}
	if w.Dir, err = os.Getwd(); err != nil {
		return nil, nil, err
	}
	w.Host, _ = os.Hostname() // for display
	sources := []slurm.Given{slurm.FromEnv(name, os.LookupEnv), given}
	if name == slurm.Srun {
		if w.Argv = rest; len(rest) == 0 {
			return nil, nil, &slurm.Usage{Why: "No command given to execute."}
		}
	} else if given["wrap"] != "" {
		if len(rest) > 0 {
			return nil, nil, &slurm.Usage{Why: "Script arguments not permitted with --wrap option"}
		}
	} else {
		if w.Script, w.File, err = script(cmd.InOrStdin(), rest); err != nil {
			return nil, nil, err
		}
		if len(rest) > 0 {
			w.Argv = rest[1:]
		}
		lines, err := slurm.FromScript(w.Script, now)
		if err != nil {
			return nil, nil, err
		}
		sources = append([]slurm.Given{lines}, sources...)
	}
	o, err := slurm.Join(name, now, sources...)
	return o, w, err
}

func script(stdin io.Reader, args []string) (text, name string, err error) {
	in, name := stdin, "sbatch"
	if len(args) > 0 {
		f, err := os.Open(args[0])
		if err != nil {
			return "", "", &slurm.Usage{Why: "Unable to open file " + args[0]}
		}
		defer f.Close()
		in, name = f, args[0]
	}
	data, err := io.ReadAll(io.LimitReader(in, maxScript+1))
	switch {
	case err != nil:
		return "", "", err
	case len(data) == 0:
		return "", "", &slurm.Usage{Why: "Batch script is empty!"}
	case len(data) > maxScript:
		return "", "", &slurm.Usage{Why: fmt.Sprintf("Batch script is over %d bytes", maxScript)}
	}
	return string(data), name, nil
}

// submit translates and submits. Once numbers are taken, a repeat of anything makes
// no second job.
func submit(ctx context.Context, cl *client.Client, name slurm.Command, o *slurm.Options, w *slurm.Work, now time.Time) (*slurm.Request, error) {
	site, err := cl.Site(ctx)
	if err != nil {
		return nil, err
	}
	r, err := slurm.Translate(name, o, w, site, now)
	if err != nil {
		return nil, err
	}
	if r.Terms.Number, err = cl.Numbers(ctx, r.Job.Tasks); err != nil {
		return nil, &stepError{stepSubmit, err}
	}
	r.Job.UID, r.Description.Slurm.Number = client.NewUID(), r.Terms.Number
	_, err = cl.SubmitWith(ctx, &r.Job, &r.Terms, &r.Description, o.TestOnly)
	switch {
	case errors.Is(err, client.ErrUnknown):
		return nil, &stepError{stepSubmit, fmt.Errorf("no answer came in time; job %d (%s) may have been accepted or may be yet: ask with \"wallctl status %s\" before you submit again: %w",
			r.Terms.Number, r.Job.UID, r.Job.UID, err)}
	case err != nil:
		return nil, &stepError{stepSubmit, err}
	}
	return r, nil
}

func sbatch(cmd *cobra.Command, cl *client.Client, args []string) error {
	now := time.Now()
	o, w, err := ask(cmd, slurm.Sbatch, args, now)
	if err != nil {
		return err
	}
	r, err := submit(cmd.Context(), cl, slurm.Sbatch, o, w, now)
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	switch {
	case o.TestOnly:
		fmt.Fprintf(cmd.ErrOrStderr(), "sbatch: Job would be accepted: %d task(s) of %g processors in partition %s\n", r.Job.Tasks, r.Job.CPUs, r.Job.Class)
		return nil
	case o.Parsable:
		fmt.Fprintln(out, r.Terms.Number)
	case !o.Quiet:
		fmt.Fprintf(out, "Submitted batch job %d\n", r.Terms.Number)
	}
	if !o.Wait {
		return nil
	}
	if _, err := cl.Wait(cmd.Context(), r.Job.UID); err != nil {
		return fmt.Errorf("job %d goes on, but its end was not seen: %w", r.Terms.Number, err)
	}
	return ended(cmd.Context(), cl, r)
}

// ended ends the program as the job did.
func ended(ctx context.Context, cl *client.Client, r *slurm.Request) error {
	i, err := cl.Info(ctx, r.Job.UID)
	if err != nil {
		return fmt.Errorf("job %d is over, but how is not known: %w", r.Terms.Number, err)
	}
	switch {
	case i.Ending == nil && i.Stage == wire.StageDone, i.Ending != nil && i.Ending.State == terms.Completed:
		return nil
	case i.Ending != nil && i.Ending.Exit > 0:
		return &exitError{i.Ending.Exit}
	}
	return &exitError{1}
}

func srun(cmd *cobra.Command, cl *client.Client, args []string) error {
	now := time.Now()
	o, w, err := ask(cmd, slurm.Srun, args, now)
	if err != nil {
		return err
	}
	r, err := submit(cmd.Context(), cl, slurm.Srun, o, w, now)
	if err != nil || o.TestOnly {
		return err
	}
	if !o.Quiet {
		fmt.Fprintf(cmd.ErrOrStderr(), "srun: job %d queued and waiting for resources\n", r.Terms.Number)
	}
	s := &stream{cl: cl, uid: r.Job.UID, tasks: r.Job.Tasks, label: o.Label, quiet: o.Output != "", out: cmd.OutOrStdout(), err: cmd.ErrOrStderr(), read: map[string]int{}}
	done := make(chan error, 1)
	go func() {
		_, err := cl.Wait(cmd.Context(), r.Job.UID)
		done <- err
	}()
	for {
		select {
		case err = <-done:
		case <-time.After(streamEvery):
			s.show(cmd.Context())
			continue
		}
		break
	}
	if cmd.Context().Err() != nil {
		// The user pressed Ctrl-C: what was started for this terminal ends with it.
		ctx, cancel := context.WithTimeout(context.Background(), cancelWithin)
		defer cancel()
		if _, err := cl.Cancel(ctx, r.Job.UID); err != nil {
			return fmt.Errorf("job %d may still run: cancel it with \"scancel %d\": %w", r.Terms.Number, r.Terms.Number, err)
		}
		return fmt.Errorf("job %d was cancelled", r.Terms.Number)
	}
	if err != nil {
		return fmt.Errorf("job %d goes on, but its end was not seen: %w", r.Terms.Number, err)
	}
	s.show(cmd.Context())
	return ended(cmd.Context(), cl, r)
}

const (
	streamEvery  = 500 * time.Millisecond
	cancelWithin = 20 * time.Second
)

// stream shows what a step's tasks write, as it comes.
type stream struct {
	cl       *client.Client
	uid      string
	tasks    int
	label    bool
	quiet    bool
	out, err io.Writer
	read     map[string]int
}

func (s *stream) show(ctx context.Context) {
	if s.quiet {
		return
	}
	for n := range s.tasks {
		for _, path := range []string{"", "?stream=stderr"} {
			key := wire.TaskName(s.uid, n) + path
			data, err := s.cl.Once(ctx, "/logs/"+key)
			if err != nil {
				continue // it has not begun, or is asked about again
			}
			if len(data) < s.read[key] {
				s.read[key] = 0 // another attempt began
			}
			text := string(data[s.read[key]:])
			s.read[key] = len(data)
			to := s.out
			if path != "" {
				to = s.err
			}
			for line := range strings.Lines(text) {
				if s.label {
					line = strconv.Itoa(n) + ": " + line
				}
				_, _ = io.WriteString(to, line)
			}
		}
	}
}

// list parses a list option.
func list(fs *pflag.FlagSet, name, short, help string) *[]string {
	return fs.StringSliceP(name, short, nil, help)
}

// filters makes the options that squeue and scancel share; what they mean is known
// when they were read.
func filters(fs *pflag.FlagSet, stateOption string) func() (slurm.Filter, error) {
	users, sts := list(fs, "user", "u", "of these users"), list(fs, stateOption, "t", "in these states")
	parts, accounts := list(fs, "partition", "p", "of these partitions"), list(fs, "account", "A", "of these accounts")
	names, qos := list(fs, "name", "n", "of these names"), list(fs, "qos", "q", "of these qualities of service")
	me := fs.Bool("me", false, "my jobs")
	return func() (f slurm.Filter, err error) {
		f = slurm.Filter{Users: *users, Partitions: *parts, Accounts: *accounts, Names: *names, QOS: *qos}
		if *me {
			f.Users = []string{userName()}
		}
		f.States, err = states(*sts)
		return f, err
	}
}

// parse reads the options of a command that asks.
func parse(cmd *cobra.Command, fs *pflag.FlagSet, args []string) error {
	fs.SetOutput(io.Discard)
	fs.SortFlags = false
	fs.Usage = func() {}
	err := fs.Parse(args)
	if errors.Is(err, pflag.ErrHelp) {
		fmt.Fprintf(cmd.OutOrStdout(), "Usage: %s [OPTIONS]\n%s", fs.Name(), fs.FlagUsages())
	}
	return err
}

// states reads names of states, short or long.
func states(names []string) ([]string, error) {
	var out []string
	for _, n := range names {
		if strings.EqualFold(n, "all") {
			return nil, nil
		}
		s, ok := slurm.StateName(n)
		if !ok {
			return nil, &slurm.Usage{Why: "Invalid state specified: " + n}
		}
		out = append(out, s)
	}
	return out, nil
}

func targets(args []string) ([]slurm.Target, error) {
	var out []slurm.Target
	for _, s := range args {
		t, err := slurm.ParseTarget(s)
		if err != nil {
			return nil, err
		}
		out = append(out, t)
	}
	return out, nil
}

// jobList splits a list of jobs at commas outside brackets.
func jobList(s string) []string {
	var out []string
	depth, from := 0, 0
	for i, c := range s {
		switch {
		case c == '[':
			depth++
		case c == ']':
			depth--
		case c == ',' && depth == 0:
			out = append(out, s[from:i])
			from = i + 1
		}
	}
	return append(out, s[from:])
}

func squeue(cmd *cobra.Command, cl *client.Client, args []string) error {
	fs := pflag.NewFlagSet("squeue", pflag.ContinueOnError)
	filter := filters(fs, "states")
	jobs := fs.StringP("jobs", "j", "", "these jobs")
	format, long := fs.StringP("format", "o", "", "layout, as %.18i %j"), fs.StringP("Format", "O", "", "layout, as JobArrayID:18,Name")
	start := fs.Bool("start", false, "when waiting jobs may start at the earliest")
	noHeader, each := fs.BoolP("noheader", "h", false, "no titles"), fs.BoolP("array", "r", false, "a line for each task of an array")
	more, asJSON := fs.BoolP("long", "l", false, "more columns"), fs.Bool("json", false, "JSON")
	if err := parse(cmd, fs, args); err != nil {
		return err
	}
	f, err := filter()
	if err != nil {
		return err
	}
	if *jobs != "" {
		if f.Jobs, err = targets(jobList(*jobs)); err != nil {
			return err
		}
	}
	if *start && len(f.States) == 0 {
		f.States = []string{"PENDING"}
	}
	if *more && *format == "" {
		*format = "%.18i %.9P %.8j %.8u %.8T %.10M %.9l %.6D %R"
	}
	t, err := slurm.QueueTable(*format, *long, *start)
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	var all []slurm.QueueJSON
	if !*noHeader && !*asJSON {
		fmt.Fprint(out, t.Header())
	}
	err = cl.Jobs(cmd.Context(), func(p *listing.Page) error {
		for i := range p.Jobs {
			rows := slurm.Queue(&p.Jobs[i], *each, p.NowMs, time.Local)
			for k := range rows {
				switch r := &rows[k]; {
				case !f.Has(r):
				case *asJSON:
					all = append(all, r.JSON())
				default:
					if _, err := io.WriteString(out, t.Row(r)); err != nil {
						return err
					}
				}
			}
		}
		return nil
	})
	if err != nil {
		return &stepError{stepList, err}
	}
	if *asJSON {
		if all == nil {
			all = []slurm.QueueJSON{}
		}
		return json.NewEncoder(out).Encode(map[string]any{"jobs": all, "errors": []string{}})
	}
	return nil
}

func scancel(cmd *cobra.Command, cl *client.Client, args []string) error {
	fs := pflag.NewFlagSet("scancel", pflag.ContinueOnError)
	filter := filters(fs, "state")
	quiet := fs.BoolP("quiet", "Q", false, "say nothing of jobs that are over")
	if err := parse(cmd, fs, args); err != nil {
		return err
	}
	f, err := filter()
	if err != nil {
		return err
	}
	var numbers, uids []string
	for _, a := range fs.Args() {
		if wire.ValidJobID(a) {
			uids = append(uids, a)
		} else {
			numbers = append(numbers, jobList(a)...)
		}
	}
	if f.Jobs, err = targets(numbers); err != nil {
		return err
	}
	filtered := len(f.Users)+len(f.States)+len(f.Partitions)+len(f.Accounts)+len(f.Names)+len(f.QOS) > 0
	if !filtered && len(f.Jobs)+len(uids) == 0 {
		return &slurm.Usage{Why: "No job identification provided"}
	}
	var failed error
	note := func(what string, err error) {
		if err == nil {
			return
		}
		failed = &exitError{1}
		if !*quiet || errors.Is(err, client.ErrUnknown) {
			fmt.Fprintf(cmd.ErrOrStderr(), "scancel: error: Kill job error on job id %s: %v\n", what, err)
		}
	}
	ctx := cmd.Context()
	for _, uid := range uids {
		note(uid, cancelJob(ctx, cl, uid))
	}
	if !filtered {
		for i, t := range f.Jobs {
			note(numbers[i], cancelTarget(ctx, cl, t))
		}
		return failed
	}
	// What is meant is looked up first, so that a listing never runs into what
	// this command changes.
	type drop struct {
		info *listing.Info
		all  bool
		rows []slurm.QueueRow
	}
	var drops []drop
	err = cl.Jobs(ctx, func(p *listing.Page) error {
		for i := range p.Jobs {
			info := &p.Jobs[i]
			rows := slurm.Queue(info, true, p.NowMs, time.Local)
			d := drop{info: info, all: true}
			for _, r := range rows {
				if f.Has(&r) {
					d.rows = append(d.rows, r)
				} else {
					d.all = false
				}
			}
			if len(d.rows) > 0 {
				drops = append(drops, d)
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("the jobs could not be listed to the end, none was cancelled: %w", err)
	}
	for _, d := range drops {
		if d.all {
			note(strconv.FormatUint(d.info.Terms.Number, 10), cancelJob(ctx, cl, d.info.Job.UID))
			continue
		}
		var ns []int
		for _, r := range d.rows {
			ns = append(ns, int(r.RawID-d.info.Terms.Number))
		}
		note(strconv.FormatUint(d.info.Terms.Number, 10), cl.Drop(ctx, d.info.Job.UID, terms.RangesOf(ns)))
	}
	return failed
}

var (
	errOver         error = &slurm.Usage{Why: "Job/step already completing or completed"}
	errInvalidJobID error = &slurm.Usage{Why: "Invalid job id specified"}
)

func cancelJob(ctx context.Context, cl *client.Client, uid string) error {
	s, err := cl.Cancel(ctx, uid)
	switch {
	case errors.Is(err, client.ErrNotFound):
		return errInvalidJobID
	case err == nil && s.Stage != wire.StageCancelled:
		return errOver
	}
	return err
}

// cancelTarget cancels a job, or tasks of its array, by number.
func cancelTarget(ctx context.Context, cl *client.Client, t slurm.Target) error {
	found, err := cl.Find(ctx, t.Number)
	switch {
	case errors.Is(err, client.ErrNotFound):
		return errInvalidJobID
	case err != nil:
		return err
	}
	if t.All && t.Number == found.First {
		return cancelJob(ctx, cl, found.UID)
	}
	tasks := terms.RangesOf([]int{int(t.Number - found.First)})
	if !t.All {
		info, err := cl.Info(ctx, found.UID)
		if err != nil {
			return err
		}
		if info.Terms == nil {
			return errOver
		}
		if tasks, err = slurm.Tasks(t.Indices, info.Job.Tasks, info.Terms.Array); err != nil {
			return errInvalidJobID
		}
	}
	err = cl.Drop(ctx, found.UID, tasks)
	if errors.Is(err, client.ErrNotFound) {
		return errOver
	}
	return err
}

const machinesPath = "/ops/machines"

// machines lists the machines.
func machines(ctx context.Context, cl *client.Client) (ms []wire.MachineInfo, err error) {
	data, err := cl.Raw(ctx, machinesPath)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(data, &ms); err != nil {
		return nil, fmt.Errorf("malformed answer: %w", err)
	}
	return ms, nil
}

func sinfo(cmd *cobra.Command, cl *client.Client, args []string) error {
	fs := pflag.NewFlagSet("sinfo", pflag.ContinueOnError)
	each, noHeader := fs.BoolP("Node", "N", false, "a line for each machine"), fs.BoolP("noheader", "h", false, "no titles")
	format, parts := fs.StringP("format", "o", "", "layout, as %N %T"), list(fs, "partition", "p", "of these partitions")
	asJSON := fs.Bool("json", false, "JSON")
	if err := parse(cmd, fs, args); err != nil {
		return err
	}
	site, err := cl.Site(cmd.Context())
	if err != nil {
		return err
	}
	if *asJSON {
		data, err := cl.Raw(cmd.Context(), machinesPath)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(cmd.OutOrStdout(), "{\"sinfo\":%s}\n", strings.TrimSpace(string(data)))
		return err
	}
	ms, err := machines(cmd.Context(), cl)
	if err != nil {
		return err
	}
	t, err := slurm.NodeTable(*format, *each)
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	if !*noHeader {
		fmt.Fprint(out, t.Header())
	}
	for _, r := range slurm.Nodes(ms, site, *each) {
		if len(*parts) == 0 || slices.Contains(*parts, strings.TrimSuffix(r.Partition, "*")) {
			fmt.Fprint(out, t.Row(&r))
		}
	}
	return nil
}

func scontrol(cmd *cobra.Command, cl *client.Client, args []string) error {
	verb, what := "", ""
	if len(args) > 0 {
		verb = args[0]
	}
	if len(args) > 1 {
		what = args[1]
	}
	ctx, out := cmd.Context(), cmd.OutOrStdout()
	switch {
	case verb == "show" && (what == "job" || what == "jobs" || what == "node" || what == "nodes"):
		if strings.HasPrefix(what, "node") {
			return showNodes(cmd, cl, args[2:])
		}
		return showJobs(ctx, out, cl, args[2:])
	case (verb == "hold" || verb == "release") && len(args) > 1:
		for _, arg := range args[1:] {
			for _, s := range jobList(arg) {
				uid, _, err := findJob(ctx, cl, s)
				if err == nil {
					err = cl.Order(ctx, uid, verb)
				}
				if err != nil {
					return fmt.Errorf("%s: %w", s, err)
				}
			}
		}
		return nil
	case verb == "-h" || verb == "--help" || verb == "help":
		fmt.Fprintln(out, "Usage: scontrol show job|node [NAME] | hold JOB... | release JOB...")
		return nil
	}
	return fmt.Errorf("%s: not supported by wallrack; there are show job, show node, hold, release", strings.Join(args, " "))
}

// findJob finds a job by its number or its uid; all of an array only.
func findJob(ctx context.Context, cl *client.Client, s string) (uid string, task int, err error) {
	if wire.ValidJobID(s) {
		return s, 0, nil
	}
	t, err := slurm.ParseTarget(s)
	if err != nil {
		return "", 0, err
	}
	if !t.All {
		return "", 0, fmt.Errorf("single tasks of an array are not supported here by wallrack")
	}
	found, err := cl.Find(ctx, t.Number)
	if errors.Is(err, client.ErrNotFound) {
		return "", 0, errInvalidJobID
	}
	if err != nil {
		return "", 0, err
	}
	return found.UID, int(t.Number - found.First), nil
}

func showJobs(ctx context.Context, out io.Writer, cl *client.Client, args []string) error {
	if len(args) == 0 {
		return cl.Jobs(ctx, func(p *listing.Page) error {
			for i := range p.Jobs {
				fmt.Fprint(out, slurm.ShowJob(&p.Jobs[i], time.Local))
			}
			return nil
		})
	}
	for _, a := range args {
		uid, _, err := findJob(ctx, cl, a)
		if err != nil {
			return err
		}
		i, err := cl.Info(ctx, uid)
		if err != nil {
			return err
		}
		fmt.Fprint(out, slurm.ShowJob(i, time.Local))
	}
	return nil
}

func showNodes(cmd *cobra.Command, cl *client.Client, args []string) error {
	site, err := cl.Site(cmd.Context())
	if err != nil {
		return err
	}
	ms, err := machines(cmd.Context(), cl)
	if err != nil {
		return err
	}
	one := *site
	one.Classes = []string{site.Class}
	shown := 0
	for _, r := range slurm.Nodes(ms, &one, true) {
		if len(args) == 0 || slices.Contains(args, r.Name) {
			fmt.Fprint(cmd.OutOrStdout(), slurm.ShowNode(&r))
			shown++
		}
	}
	if shown == 0 && len(args) > 0 {
		return &slurm.Usage{Why: fmt.Sprintf("Node %s not found", strings.Join(args, ","))}
	}
	return nil
}
