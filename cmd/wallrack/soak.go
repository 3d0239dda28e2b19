package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/wallrack/wallrack/internal/soak"
)

// maxSoakJobs is the largest number of seeds that are played at the same time.
const maxSoakJobs = 16

// maxSoakEndedJobs is the largest number of jobs that ended before a run.
const maxSoakEndedJobs = 10_000

// soakFlags are the flags of the command soak.
type soakFlags struct {
	seeds, dir   string
	jobs         int
	loadBalancer bool
	endedJobs    int
	shortage     string
	repeats      string
	leaderSeries string
}

// soakCommand returns the command that plays random faults on real controllers.
func soakCommand() *cobra.Command {
	var flags soakFlags
	c := &cobra.Command{
		Use:   "soak --seeds 1-50",
		Short: "Play random faults on real controllers, and check the rules from outside",
		Long: "Runs, for each seed, controllers as child processes on loopback with stand-ins for cloud\n" +
			"and state service, hollow workers, and users who submit, ask, repeat and cancel all the\n" +
			"time, while controllers are killed and paused and links are cut. Prints a line for each\n" +
			"seed, and for a broken rule the schedule of the faults and where the logs are.\n" +
			"It ends by itself, its children too. Exit code 2: the flags can't be used and nothing was\n" +
			"started; 1: a run failed, or a rule was broken.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runSoak(cmd.Context(), flags, cmd.OutOrStdout())
		},
	}
	f := c.Flags()
	f.StringVar(&flags.seeds, "seeds", "", "seeds to play, such as 7 or 1-50,60")
	f.StringVar(&flags.dir, "dir", "", "directory for settings, logs and histories; without it a temporary one, which is kept if a rule is broken")
	f.IntVar(&flags.jobs, "jobs", 2, "number of seeds that are played at the same time")
	f.BoolVar(&flags.loadBalancer, "load-balancer", false, "users' requests go through a load balancer, which checks the controllers' health")
	f.IntVar(&flags.endedJobs, "ended-jobs", 0, "jobs that ended before the run, about which users ask after the faults")
	f.StringVar(&flags.shortage, "processor-shortage", string(soak.ModeNone), "controllers are short of processor time: none, beside other faults, or alone")
	f.StringVar(&flags.repeats, "repeat-calls", string(soak.ModeNone), "copies of answered calls arrive, controllers and workers are back within a second: none, beside other faults, or alone")
	f.StringVar(&flags.leaderSeries, "leader-series", string(soak.ModeNone), "each leader is killed soon after its failover, for 100 s, while some workers are cut off: none, beside other faults, or alone")
	return c
}

// runSoak plays the seeds. A settingsError means that nothing was started.
func runSoak(ctx context.Context, flags soakFlags, out io.Writer) error {
	seeds, err := soak.ParseSeeds(flags.seeds)
	if err != nil {
		return settingsError{fmt.Errorf("--seeds: %w", err)}
	}
	if flags.jobs < 1 || flags.jobs > maxSoakJobs {
		return settingsError{fmt.Errorf("--jobs: must be 1 to %d", maxSoakJobs)}
	}
	if flags.endedJobs < 0 || flags.endedJobs > maxSoakEndedJobs {
		return settingsError{fmt.Errorf("--ended-jobs: must be 0 to %d", maxSoakEndedJobs)}
	}
	if err := flags.checkModes(); err != nil {
		return settingsError{err}
	}
	exe, err := os.Executable()
	if err != nil {
		return settingsError{fmt.Errorf("this program's file: %w", err)}
	}
	dir := flags.dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "wallrack-soak-"); err != nil {
			return settingsError{fmt.Errorf("--dir: %w", err)}
		}
	}
	broken, err := playSeeds(ctx, seeds, flags, exe, dir, out)
	if err != nil {
		return err
	}
	printTo(out, "%d seeds played, rules broken on %d\n", len(seeds), broken)
	if broken > 0 {
		return errors.New("rules were broken")
	}
	if flags.dir == "" {
		_ = os.RemoveAll(dir) // on an error temporary files remain
	}
	return nil
}

// checkModes returns an error unless the modes of faults are known and can be played together.
func (f *soakFlags) checkModes() error {
	modes := []struct{ flag, mode string }{
		{"--processor-shortage", f.shortage}, {"--repeat-calls", f.repeats}, {"--leader-series", f.leaderSeries},
	}
	for _, m := range modes {
		if _, err := soak.ParseFaultMode(m.mode); err != nil {
			return fmt.Errorf("%s: %w", m.flag, err)
		}
	}
	for _, alone := range modes {
		for _, other := range modes {
			if alone.mode == string(soak.ModeAlone) && other.flag != alone.flag && other.mode != string(soak.ModeNone) {
				return fmt.Errorf("%s: can't be played where %s is alone", other.flag, alone.flag)
			}
		}
	}
	return nil
}

// playSeeds plays the seeds, several at the same time, prints their results, and returns the
// number of seeds on which a rule was broken.
func playSeeds(ctx context.Context, seeds []uint64, flags soakFlags, exe, dir string, out io.Writer) (broken int, err error) {
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(flags.jobs)
	for _, seed := range seeds {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			schedule := soak.NewSchedule(seed)
			schedule.LoadBalancer, schedule.EndedJobs = flags.loadBalancer, flags.endedJobs
			schedule.AddLeaderSeries(soak.FaultMode(flags.leaderSeries))
			schedule.AddRepeats(soak.FaultMode(flags.repeats))
			schedule.AddShortages(soak.FaultMode(flags.shortage))
			run := soak.Run{Schedule: schedule, Exe: exe, Dir: filepath.Join(dir, fmt.Sprintf("seed-%d", seed))}
			result, err := run.Do(ctx)
			if err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			mu.Lock()
			defer mu.Unlock()
			if len(result.Violations) > 0 {
				broken++
			}
			printTo(out, "%s", result)
			return nil
		})
	}
	return broken, group.Wait()
}
