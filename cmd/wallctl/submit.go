package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// submission is the job that the options of submit describe.
type submission struct {
	job         wire.Job
	description taskspec.Spec
	env         []string // NAME=VALUE
	scriptFile  string
	service     bool
}

func (a *app) submitCommand() *cobra.Command {
	s := &submission{job: wire.Job{Kind: wire.KindArray, Image: "none"}}
	cmd := &cobra.Command{
		Use:   "submit [flags] -- PROGRAM [ARG ...]",
		Short: "Submit a job and print its id",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			cl, err := a.client()
			if err != nil {
				return err
			}
			if err := s.setDerivedFields(args); err != nil {
				return err
			}
			state, err := cl.Submit(cmd.Context(), &s.job, &s.description)
			if err != nil {
				return fmt.Errorf("job %s: %w", s.job.UID, err)
			}
			if a.json {
				return a.printState(cmd.OutOrStdout(), state)
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), state.UID)
			return err
		},
	}
	s.addFlags(cmd.Flags())
	return cmd
}

func (s *submission) addFlags(fs *pflag.FlagSet) {
	fs.StringVar(&s.job.UID, "uid", "", "the job's id; a repeat with the same id makes no second job")
	fs.StringVar(&s.job.Class, "class", "adhoc", "class of jobs, whose aims apply")
	fs.StringVar(&s.job.Team, "team", "default", "team whose guarantee and limit apply")
	fs.StringVar(&s.job.Priority, "priority", "normal", "production, urgent, normal or low")
	fs.IntVar(&s.job.Tasks, "tasks", 1, "number of tasks; each finds its own in WALLRACK_TASK")
	fs.Float64Var(&s.job.CPUs, "cpus", 1, "CPUs of a task")
	fs.Float64Var(&s.job.GPUs, "gpus", 0, "GPUs of a task")
	fs.Float64Var(&s.job.MemoryGB, "memory-gb", 0.5, "memory of a task, in GB")
	fs.Float64Var(&s.job.EstimateS, "estimate-s", 30, "expected run time of a task, in seconds")
	fs.BoolVar(&s.service, "service", false, "a service: its replicas run until it is cancelled")
	fs.StringArrayVar(&s.env, "env", nil, "NAME=VALUE for the tasks; may be repeated")
	fs.StringVar(&s.description.Dir, "chdir", "", "working directory of the tasks")
	fs.StringVar(&s.scriptFile, "script", "", "a file whose text is handed to the program as its last argument's file")
}

// setDerivedFields sets the fields that the options don't set directly, and validates the submission.
func (s *submission) setDerivedFields(program []string) error {
	if s.job.UID == "" {
		s.job.UID = client.NewUID()
	}
	if !wire.ValidJobID(s.job.UID) {
		return fmt.Errorf("--uid: %q is not a job id: j- and letters, digits, - or _", s.job.UID)
	}
	if s.service {
		s.job.Kind, s.job.EstimateS = wire.KindService, 0
	}
	d := &s.description
	d.Argv, d.CPUs, d.GPUs, d.MemoryGB = program, s.job.CPUs, s.job.GPUs, s.job.MemoryGB
	for _, setting := range s.env {
		name, value, found := strings.Cut(setting, "=")
		if !found {
			return fmt.Errorf("--env: %q is not NAME=VALUE", setting)
		}
		if d.Env == nil {
			d.Env = map[string]string{}
		}
		d.Env[name] = value
	}
	if s.scriptFile != "" {
		data, err := os.ReadFile(s.scriptFile)
		if err != nil {
			return fmt.Errorf("--script: %w", err)
		}
		d.Script = string(data)
	}
	return d.Check()
}
