// Command wallctl is the users' and operators' client of wallrack.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"

	"github.com/goccy/go-json"
	"github.com/spf13/cobra"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// Exit codes, as docs/local.md lists them.
const (
	exitUsage     = 1
	exitRefused   = 2
	exitNotFound  = 3
	exitUnknown   = 4
	exitCancelled = 5
)

// errCancelled is the outcome of a job that was cancelled.
var errCancelled = errors.New("the job was cancelled")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	cmd := command()
	if name := filepath.Base(os.Args[0]); slices.Contains(slurmCommands, name) {
		cmd.SetArgs(append([]string{name}, os.Args[1:]...))
	}
	if err := cmd.ExecuteContext(ctx); err != nil {
		var exit *exitError
		var asSlurm *slurmError
		switch {
		case errors.As(err, &exit):
			os.Exit(exit.code)
		case errors.As(err, &asSlurm):
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitUsage)
		}
		fmt.Fprintln(os.Stderr, "wallctl:", err)
		os.Exit(code(err))
	}
}

func code(err error) int {
	switch {
	case errors.Is(err, errCancelled), errors.Is(err, errStopped):
		return exitCancelled
	case errors.Is(err, client.ErrNotFound):
		return exitNotFound
	case errors.Is(err, client.ErrRefused), errors.Is(err, taskspec.ErrDiffers):
		return exitRefused
	case errors.Is(err, client.ErrUnknown), errors.Is(err, context.Canceled):
		return exitUnknown
	}
	return exitUsage
}

// app is what the commands share.
type app struct {
	server string
	json   bool
}

func (a *app) client() (*client.Client, error) {
	if a.server == "" {
		a.server = os.Getenv("WALLRACK_SERVER")
	}
	if !strings.HasPrefix(a.server, "http://") {
		return nil, errors.New("--server or WALLRACK_SERVER: http://HOST:PORT of the site is needed")
	}
	return client.New(a.server), nil
}

// show prints a job's state.
func (a *app) show(w io.Writer, s *wire.JobState) error {
	if a.json {
		return json.NewEncoder(w).Encode(s)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "JOB\tSTAGE\tDONE\tRUNNING")
	fmt.Fprintf(t, "%s\t%s\t%d\t%d\n", s.UID, s.Stage, s.Done, s.Running)
	return t.Flush()
}

func command() *cobra.Command {
	a := &app{}
	root := &cobra.Command{Use: "wallctl", Short: "Users' and operators' client of wallrack", SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().StringVar(&a.server, "server", "", "the site, http://HOST:PORT (or WALLRACK_SERVER)")
	root.PersistentFlags().BoolVar(&a.json, "json", false, "print JSON for programs")
	root.TraverseChildren = true // the commands that read their own options leave the root's to it
	root.AddCommand(a.slurm()...)
	root.AddCommand(a.accounting(), a.submit(), a.about("status UID", "Show a job's state", (*client.Client).Status), a.about("cancel UID", "Cancel a job", (*client.Client).Cancel),
		a.wait(), a.logs(), a.nodes(), a.links(), a.rollout(), a.raw("alerts", "List the jobs that miss their class's aim", "/ops/alerts"), a.raw("stats", "Show a controller's statistics", "/ops/stats"))
	return root
}

func (a *app) submit() *cobra.Command {
	j := wire.Job{Kind: wire.KindArray, Image: "none"}
	d := taskspec.Spec{}
	var env []string
	var script string
	var service bool
	c := &cobra.Command{
		Use:   "submit [flags] -- PROGRAM [ARG ...]",
		Short: "Submit a job and print its id",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			cl, err := a.client()
			if err != nil {
				return err
			}
			if j.UID == "" {
				j.UID = client.NewUID()
			}
			if !wire.ValidJobID(j.UID) {
				return fmt.Errorf("--uid: %q is not a job id: j- and letters, digits, - or _", j.UID)
			}
			if service {
				j.Kind, j.Estimate = wire.KindService, 0
			}
			d.Argv, d.CPUs, d.GPUs, d.MemoryGB = args, j.CPUs, j.GPUs, j.MemoryGB
			for _, e := range env {
				k, v, ok := strings.Cut(e, "=")
				if !ok {
					return fmt.Errorf("--env: %q is not NAME=VALUE", e)
				}
				if d.Env == nil {
					d.Env = map[string]string{}
				}
				d.Env[k] = v
			}
			if script != "" {
				data, err := os.ReadFile(script)
				if err != nil {
					return fmt.Errorf("--script: %w", err)
				}
				d.Script = string(data)
			}
			if err := d.Check(); err != nil {
				return err
			}
			s, err := cl.Submit(cmd.Context(), &j, &d)
			if err != nil {
				return fmt.Errorf("job %s: %w", j.UID, err)
			}
			if a.json {
				return a.show(cmd.OutOrStdout(), s)
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), s.UID)
			return err
		},
	}
	f := c.Flags()
	f.StringVar(&j.UID, "uid", "", "the job's id; a repeat with the same id makes no second job")
	f.StringVar(&j.Class, "class", "adhoc", "class of jobs, whose aims apply")
	f.StringVar(&j.Team, "team", "default", "team whose guarantee and limit apply")
	f.StringVar(&j.Priority, "priority", "normal", "production, urgent, normal or low")
	f.IntVar(&j.Tasks, "tasks", 1, "number of tasks; each finds its own in WALLRACK_TASK")
	f.Float64Var(&j.CPUs, "cpus", 1, "CPUs of a task")
	f.Float64Var(&j.GPUs, "gpus", 0, "GPUs of a task")
	f.Float64Var(&j.MemoryGB, "memory-gb", 0.5, "memory of a task, in GB")
	f.Float64Var(&j.Estimate, "estimate-s", 30, "expected run time of a task, in seconds")
	f.BoolVar(&service, "service", false, "a service: its replicas run until it is cancelled")
	f.StringArrayVar(&env, "env", nil, "NAME=VALUE for the tasks; may be repeated")
	f.StringVar(&d.Dir, "chdir", "", "working directory of the tasks")
	f.StringVar(&script, "script", "", "a file whose text is handed to the program as its last argument's file")
	return c
}

// named finds a job by either of its names.
func named(ctx context.Context, cl *client.Client, name string) (uid string, err error) {
	n, err := strconv.ParseUint(name, 10, 64)
	if err != nil {
		return name, nil
	}
	j, err := cl.Find(ctx, n)
	return j.UID, err
}

// about is a command that asks something of one job.
func (a *app) about(use, short string, ask func(*client.Client, context.Context, string) (*wire.JobState, error)) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		cl, err := a.client()
		if err != nil {
			return err
		}
		uid, err := named(cmd.Context(), cl, args[0])
		if err != nil {
			return fmt.Errorf("job %s: %w", args[0], err)
		}
		s, err := ask(cl, cmd.Context(), uid)
		if err != nil {
			return fmt.Errorf("job %s: %w", args[0], err)
		}
		return a.show(cmd.OutOrStdout(), s)
	}}
}

func (a *app) wait() *cobra.Command {
	var last *wire.JobState
	c := a.about("wait UID", "Wait until a job is done or cancelled", func(cl *client.Client, ctx context.Context, uid string) (s *wire.JobState, err error) {
		last, err = cl.Wait(ctx, uid)
		return last, err
	})
	show := c.RunE
	c.RunE = func(cmd *cobra.Command, args []string) error {
		if err := show(cmd, args); err != nil {
			return err
		}
		if last.Stage == wire.StageCancelled {
			return errCancelled
		}
		return nil
	}
	return c
}

func (a *app) logs() *cobra.Command {
	var stderr bool
	c := &cobra.Command{Use: "logs UID/TASK", Short: "Print what a task wrote", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		cl, err := a.client()
		if err != nil {
			return err
		}
		if _, _, err := wire.ParseTask(args[0]); err != nil {
			return err
		}
		path := "/logs/" + args[0]
		if stderr {
			path += "?stream=stderr"
		}
		out, err := cl.Raw(cmd.Context(), path)
		if err != nil {
			return fmt.Errorf("logs of %s: %w", args[0], err)
		}
		_, err = cmd.OutOrStdout().Write(out)
		return err
	}}
	c.Flags().BoolVar(&stderr, "stderr", false, "what it wrote to standard error")
	return c
}

// raw prints what a path of the operators' interface says.
func (a *app) raw(use, short, path string) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		cl, err := a.client()
		if err != nil {
			return err
		}
		out, err := cl.Raw(cmd.Context(), path)
		if err != nil {
			return err
		}
		var v any
		if !a.json && json.Unmarshal(out, &v) == nil {
			if pretty, err := json.MarshalIndent(v, "", "  "); err == nil {
				out = append(pretty, '\n')
			}
		}
		_, err = cmd.OutOrStdout().Write(out)
		return err
	}}
}

func (a *app) nodes() *cobra.Command {
	return &cobra.Command{Use: "nodes", Short: "List the machines", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		cl, err := a.client()
		if err != nil {
			return err
		}
		if a.json {
			out, err := cl.Raw(cmd.Context(), machinesPath)
			_, werr := cmd.OutOrStdout().Write(out)
			return errors.Join(err, werr)
		}
		ms, err := machines(cmd.Context(), cl)
		if err != nil {
			return err
		}
		t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "MACHINE\tTYPE\tZONE\tSPOT\tCPUS\tUSED\tTASKS\tHEARD")
		for _, m := range ms {
			fmt.Fprintf(t, "%s\t%s\t%s\t%v\t%g\t%g\t%d\t%.0f s\n", m.Name, m.Type, m.Zone, m.Spot, m.CPUs, m.UsedCPUs, m.Tasks, m.HeardS)
		}
		return t.Flush()
	}}
}
