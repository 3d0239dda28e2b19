package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/goccy/go-json"
	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
	"golang.org/x/term"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/rollout"
	"github.com/wallrack/wallrack/internal/wire"
)

// errStopped is the outcome of a roll-out that did not bring the new version.
var errStopped = errors.New("the new version is not rolled out")

const rolloutPath = "/ops/rollouts"

func (a *app) rollout() *cobra.Command {
	c := &cobra.Command{Use: "rollout", Short: "Move services to new versions, step by step"}
	c.AddCommand(a.rolloutStart(), a.rolloutStatus(), a.rolloutHistory())
	for verb, short := range map[string]string{rollout.VerbPause: "Hold a roll-out where it is", rollout.VerbResume: "Go on with a paused roll-out",
		rollout.VerbAbort: "End a roll-out and restore the version before"} {
		c.AddCommand(&cobra.Command{Use: verb + " SERVICE", Short: short, Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			return a.sendRollout(cmd, rolloutPath+"/"+args[0]+"/"+verb, nil, false)
		}})
	}
	return c
}

// sendRollout posts to the roll-outs' interface and shows the roll-out.
func (a *app) sendRollout(cmd *cobra.Command, path string, body any, watch bool) error {
	cl, err := a.client()
	if err != nil {
		return err
	}
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	out, err := cl.Send(cmd.Context(), http.MethodPost, path, data)
	if err != nil {
		return err
	}
	var run rollout.Run
	if err := json.Unmarshal(out, &run); err != nil {
		return fmt.Errorf("malformed answer: %w", err)
	}
	if watch {
		return a.watchRollout(cmd.Context(), cl, run.Spec.Service, run.ID, cmd.OutOrStdout())
	}
	if a.json {
		_, err := cmd.OutOrStdout().Write(out)
		return err
	}
	_, err = fmt.Fprintln(cmd.OutOrStdout(), describe(&run))
	return err
}

// fetch gets a path of the operators' interface. With --json it prints the answer as it
// came, else it decodes it into v.
func (a *app) fetch(cmd *cobra.Command, cl *client.Client, path string, v any) (printed bool, err error) {
	out, err := cl.Raw(cmd.Context(), path)
	if err != nil {
		return false, err
	}
	if a.json {
		_, err = cmd.OutOrStdout().Write(out)
		return true, err
	}
	if err := json.Unmarshal(out, v); err != nil {
		return false, fmt.Errorf("malformed answer: %w", err)
	}
	return false, nil
}

// describe is a roll-out in a line.
func describe(r *rollout.Run) string {
	s := fmt.Sprintf("%s %d to %s: %s, step %d of %d", r.Spec.Service, r.ID, r.Spec.To.Name, r.Phase, r.Step+1, len(r.Targets))
	if r.Why != "" {
		s += " (" + r.Why + ")"
	}
	return s
}

func (a *app) rolloutStart() *cobra.Command {
	s := rollout.Spec{Template: wire.Job{Kind: wire.KindService, Image: "none"}}
	var watch bool
	c := &cobra.Command{
		Use:   "start SERVICE --to VERSION [flags] -- PROGRAM [ARG ...]",
		Short: "Begin a roll-out; with --replicas, of a new service",
		Long:  "Begins a roll-out. A replica listens on the port in WALLRACK_PORT of its environment.",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			s.Service, s.To.Desc.Argv = args[0], args[1:]
			s.To.Desc.CPUs, s.To.Desc.MemoryGB = s.Template.CPUs, s.Template.MemoryGB
			return a.sendRollout(cmd, rolloutPath, s, watch)
		},
	}
	f := c.Flags()
	f.StringVar(&s.To.Name, "to", "", "name of the new version")
	f.IntVar(&s.Replicas, "replicas", 0, "replicas of a new service")
	f.StringSliceVar(&s.Steps, "steps", nil, "new replicas after each step, numbers or parts (default 1,25%,100%)")
	f.StringVar(&s.Check.HTTP, "http", "", "path that is asked for health: 2xx is healthy")
	f.BoolVar(&s.Check.TCP, "tcp", false, "a connection is healthy")
	f.Float64Var(&s.Check.EveryS, "every-s", 0, "seconds between checks (default 2)")
	f.Float64Var(&s.Check.TimeoutS, "timeout-s", 0, "seconds after which a check hangs (default 1)")
	f.IntVar(&s.Check.Healthy, "healthy", 0, "checks in a row that make a replica healthy (default 2)")
	f.IntVar(&s.Check.Unhealthy, "unhealthy", 0, "and unhealthy (default 3)")
	f.IntVar(&s.Check.Tries, "tries", 0, "hung checks in a row that pause the roll-out (default 3)")
	f.Float64Var(&s.SoakS, "soak-s", 0, "least seconds that a step's replicas stay healthy (default 10)")
	f.Float64Var(&s.PlaceS, "place-s", 0, "most seconds for a step's replicas to be healthy (default 120)")
	f.StringVar(&s.OnFail, "on-fail", "", "rollback (default) or pause")
	f.BoolVar(&s.Anytime, "anytime", false, "go on in slots too")
	f.BoolVar(&watch, "watch", false, "show it until it is over")
	f.StringVar(&s.Template.Class, "class", "service", "class of a new service's jobs")
	f.StringVar(&s.Template.Team, "team", "default", "team of a new service")
	f.StringVar(&s.Template.Priority, "priority", "production", "priority of a new service")
	f.Float64Var(&s.Template.CPUs, "cpus", 1, "CPUs of a replica")
	f.Float64Var(&s.Template.MemoryGB, "memory-gb", 0.5, "memory of a replica, in GB")
	return c
}

func (a *app) rolloutStatus() *cobra.Command {
	var watch bool
	c := &cobra.Command{Use: "status [SERVICE]", Short: "Show services and their roll-outs", Args: cobra.MaximumNArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		cl, err := a.client()
		if err != nil {
			return err
		}
		if watch && len(args) == 1 {
			return a.watchRollout(cmd.Context(), cl, args[0], 0, cmd.OutOrStdout())
		}
		var all []rollout.Status
		if printed, err := a.fetch(cmd, cl, rolloutPath, &all); err != nil || printed {
			return err
		}
		t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "SERVICE\tVERSION\tREPLICAS\tROLL-OUT")
		found := false
		for _, s := range all {
			if len(args) == 1 && s.Service.Name != args[0] {
				continue
			}
			found = true
			line := "-"
			if s.Run != nil {
				line = describe(s.Run)
			}
			fmt.Fprintf(t, "%s\t%s\t%d\t%s\n", s.Service.Name, s.Service.Version.Name, s.Service.Replicas, line)
		}
		if len(args) == 1 && !found {
			return fmt.Errorf("service %s: %w", args[0], client.ErrNotFound)
		}
		return t.Flush()
	}}
	c.Flags().BoolVar(&watch, "watch", false, "show it until it is over")
	return c
}

func (a *app) rolloutHistory() *cobra.Command {
	return &cobra.Command{Use: "history SERVICE", Short: "List a service's ended roll-outs", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		cl, err := a.client()
		if err != nil {
			return err
		}
		var runs []rollout.Run
		if printed, err := a.fetch(cmd, cl, rolloutPath+"/"+args[0]+"/history", &runs); err != nil || printed {
			return err
		}
		t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "ID\tFROM\tTO\tOUTCOME\tBEGUN\tTOOK\tRESTORED IN\tWHY")
		for _, r := range runs {
			back := "-"
			if r.Verdict != 0 {
				back = (time.Duration(r.Ended-r.Verdict) * time.Millisecond).String()
			}
			fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.ID, r.From.Name, r.Spec.To.Name, r.Phase, time.UnixMilli(r.Begun).UTC().Format(time.RFC3339),
				time.Duration(r.Ended-r.Begun)*time.Millisecond, back, r.Why)
		}
		return t.Flush()
	}}
}

// watchRollout shows a roll-out until it is over: a bar a step on a terminal, a
// line a change elsewhere.
func (a *app) watchRollout(ctx context.Context, cl *client.Client, service string, id int, w io.Writer) error {
	f, isFile := w.(*os.File)
	live := isFile && term.IsTerminal(int(f.Fd()))
	var bar *progressbar.ProgressBar
	step, last := -1, ""
	for {
		out, err := cl.Raw(ctx, rolloutPath+"/"+service)
		if err != nil && !errors.Is(err, client.ErrUnknown) {
			return err
		}
		var s rollout.Status
		if err == nil && json.Unmarshal(out, &s) == nil && s.Run != nil && (id == 0 || s.Run.ID >= id) {
			r := s.Run
			healthy := 0
			for _, b := range r.New {
				healthy += s.Jobs[b.UID].Healthy
			}
			switch {
			case live && !r.Phase.Final():
				if r.Step != step {
					if bar != nil {
						_ = bar.Finish()
						fmt.Fprintln(w)
					}
					step = r.Step
					bar = progressbar.NewOptions(r.Targets[step], progressbar.OptionSetWriter(w), progressbar.OptionSetWidth(30), progressbar.OptionShowCount())
				}
				bar.Describe(fmt.Sprintf("step %d of %d, %s %s", step+1, len(r.Targets), r.Phase, r.Why))
				_ = bar.Set(healthy) // only drawing can fail
			case !live:
				if line := fmt.Sprintf("%s, %d of %d healthy", describe(r), healthy, r.Targets[r.Step]); line != last {
					last = line
					fmt.Fprintln(w, line)
				}
			}
			if r.Phase.Final() {
				if live {
					fmt.Fprintln(w)
					fmt.Fprintln(w, describe(r))
				}
				if r.Phase != rollout.Done {
					return fmt.Errorf("%w: %s", errStopped, r.Why)
				}
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Second):
		}
	}
}
