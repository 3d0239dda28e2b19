package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/goccy/go-json"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/rollout"
	"github.com/wallrack/wallrack/internal/wire"
)

// errNotRolledOut is the error of a watched roll-out that was aborted or rolled back.
var errNotRolledOut = errors.New("the new version is not rolled out")

// rolloutPath is the path of the roll-outs in the operators' interface.
const rolloutPath = "/ops/rollouts"

func (a *app) rolloutCommand() *cobra.Command {
	root := &cobra.Command{Use: "rollout", Short: "Move services to new versions, step by step"}
	root.AddCommand(
		a.rolloutStartCommand(),
		a.rolloutStatusCommand(),
		a.rolloutHistoryCommand(),
		a.rolloutVerbCommand(rollout.VerbPause, "Hold a roll-out where it is"),
		a.rolloutVerbCommand(rollout.VerbResume, "Go on with a paused roll-out"),
		a.rolloutVerbCommand(rollout.VerbAbort, "End a roll-out and restore the version before"),
	)
	return root
}

// rolloutVerbCommand returns the command that applies a verb to a service's roll-out.
func (a *app) rolloutVerbCommand(verb, short string) *cobra.Command {
	return &cobra.Command{Use: verb + " SERVICE", Short: short, Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		return a.postRollout(cmd, rolloutPath+"/"+args[0]+"/"+verb, nil, false)
	}}
}

// postRollout posts a body, encoded as JSON, to the roll-outs' interface and prints the roll-out in
// the response. If watch is set, it prints the roll-out's progress until the roll-out ends instead.
func (a *app) postRollout(cmd *cobra.Command, path string, body any, watch bool) error {
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
		return watchRollout(cmd.Context(), cl, run.Spec.Service, run.ID, cmd.OutOrStdout())
	}
	if a.json {
		_, err := cmd.OutOrStdout().Write(out)
		return err
	}
	_, err = fmt.Fprintln(cmd.OutOrStdout(), formatRun(&run))
	return err
}

// printOrDecode gets a path of the operators' interface. With --json it prints the response
// unchanged and returns true. Otherwise it decodes the response into value and returns false.
func (a *app) printOrDecode(cmd *cobra.Command, cl *client.Client, path string, value any) (printed bool, err error) {
	out, err := cl.Get(cmd.Context(), path)
	if err != nil {
		return false, err
	}
	if a.json {
		_, err = cmd.OutOrStdout().Write(out)
		return true, err
	}
	if err := json.Unmarshal(out, value); err != nil {
		return false, fmt.Errorf("malformed answer: %w", err)
	}
	return false, nil
}

// formatRun returns a line that describes a roll-out.
func formatRun(run *rollout.Run) string {
	line := fmt.Sprintf("%s %d to %s: %s, step %d of %d", run.Spec.Service, run.ID, run.Spec.To.Name, run.Phase, run.Step+1, len(run.Targets))
	if run.Reason != "" {
		line += " (" + run.Reason + ")"
	}
	return line
}

func (a *app) rolloutStartCommand() *cobra.Command {
	spec := rollout.Spec{Template: wire.Job{Kind: wire.KindService, Image: "none"}}
	var watch bool
	cmd := &cobra.Command{
		Use:   "start SERVICE --to VERSION [flags] -- PROGRAM [ARG ...]",
		Short: "Begin a roll-out; with --replicas, of a new service",
		Long:  "Begins a roll-out. A replica listens on the port in WALLRACK_PORT of its environment.",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			spec.Service, spec.To.Desc.Argv = args[0], args[1:]
			spec.To.Desc.CPUs, spec.To.Desc.MemoryGB = spec.Template.CPUs, spec.Template.MemoryGB
			return a.postRollout(cmd, rolloutPath, spec, watch)
		},
	}
	fs := cmd.Flags()
	addSpecFlags(fs, &spec)
	fs.BoolVar(&watch, "watch", false, "show it until it is over")
	return cmd
}

func addSpecFlags(fs *pflag.FlagSet, spec *rollout.Spec) {
	fs.StringVar(&spec.To.Name, "to", "", "name of the new version")
	fs.IntVar(&spec.Replicas, "replicas", 0, "replicas of a new service")
	fs.StringSliceVar(&spec.Steps, "steps", nil, "new replicas after each step, numbers or parts (default 1,25%,100%)")
	fs.StringVar(&spec.Check.HTTP, "http", "", "path that is asked for health: 2xx is healthy")
	fs.BoolVar(&spec.Check.TCP, "tcp", false, "a connection is healthy")
	fs.Float64Var(&spec.Check.EveryS, "every-s", 0, "seconds between checks (default 2)")
	fs.Float64Var(&spec.Check.TimeoutS, "timeout-s", 0, "seconds after which a check hangs (default 1)")
	fs.IntVar(&spec.Check.HealthyThreshold, "healthy", 0, "checks in a row that make a replica healthy (default 2)")
	fs.IntVar(&spec.Check.UnhealthyThreshold, "unhealthy", 0, "and unhealthy (default 3)")
	fs.IntVar(&spec.Check.TimeoutThreshold, "tries", 0, "hung checks in a row that pause the roll-out (default 3)")
	fs.Float64Var(&spec.SoakS, "soak-s", 0, "least seconds that a step's replicas stay healthy (default 10)")
	fs.Float64Var(&spec.PlaceS, "place-s", 0, "most seconds for a step's replicas to be healthy (default 120)")
	fs.StringVar(&spec.OnFail, "on-fail", "", "rollback (default) or pause")
	fs.BoolVar(&spec.IgnoreSlots, "anytime", false, "go on in slots too")
	fs.StringVar(&spec.Template.Class, "class", "service", "class of a new service's jobs")
	fs.StringVar(&spec.Template.Team, "team", "default", "team of a new service")
	fs.StringVar(&spec.Template.Priority, "priority", "production", "priority of a new service")
	fs.Float64Var(&spec.Template.CPUs, "cpus", 1, "CPUs of a replica")
	fs.Float64Var(&spec.Template.MemoryGB, "memory-gb", 0.5, "memory of a replica, in GB")
}

func (a *app) rolloutStatusCommand() *cobra.Command {
	var watch bool
	cmd := &cobra.Command{Use: "status [SERVICE]", Short: "Show services and their roll-outs", Args: cobra.MaximumNArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		cl, err := a.client()
		if err != nil {
			return err
		}
		service := ""
		if len(args) == 1 {
			service = args[0]
		}
		if watch && len(args) == 1 {
			return watchRollout(cmd.Context(), cl, service, 0, cmd.OutOrStdout())
		}
		var all []rollout.Status
		if printed, err := a.printOrDecode(cmd, cl, rolloutPath, &all); err != nil || printed {
			return err
		}
		if len(args) == 1 {
			all = slices.DeleteFunc(all, func(s rollout.Status) bool { return s.Service.Name != service })
			if len(all) == 0 {
				return fmt.Errorf("service %s: %w", service, client.ErrNotFound)
			}
		}
		return printServices(cmd.OutOrStdout(), all)
	}}
	cmd.Flags().BoolVar(&watch, "watch", false, "show it until it is over")
	return cmd
}

func printServices(w io.Writer, services []rollout.Status) error {
	t := newTable(w, 0)
	t.printf("SERVICE\tVERSION\tREPLICAS\tROLL-OUT\n")
	for _, s := range services {
		run := "-"
		if s.Run != nil {
			run = formatRun(s.Run)
		}
		t.printf("%s\t%s\t%d\t%s\n", s.Service.Name, s.Service.Version.Name, s.Service.Replicas, run)
	}
	return t.flush()
}

func (a *app) rolloutHistoryCommand() *cobra.Command {
	return &cobra.Command{Use: "history SERVICE", Short: "List a service's ended roll-outs", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		cl, err := a.client()
		if err != nil {
			return err
		}
		var runs []rollout.Run
		if printed, err := a.printOrDecode(cmd, cl, rolloutPath+"/"+args[0]+"/history", &runs); err != nil || printed {
			return err
		}
		return printHistory(cmd.OutOrStdout(), runs)
	}}
}

func printHistory(w io.Writer, runs []rollout.Run) error {
	t := newTable(w, 0)
	t.printf("ID\tFROM\tTO\tOUTCOME\tBEGUN\tTOOK\tRESTORED IN\tWHY\n")
	for i := range runs {
		run := &runs[i]
		restoredIn := "-"
		if run.RollbackSince != 0 {
			restoredIn = (time.Duration(run.Ended-run.RollbackSince) * time.Millisecond).String()
		}
		t.printf("%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", run.ID, run.From.Name, run.Spec.To.Name, run.Phase, time.UnixMilli(run.Begun).UTC().Format(time.RFC3339),
			time.Duration(run.Ended-run.Begun)*time.Millisecond, restoredIn, run.Reason)
	}
	return t.flush()
}
