package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/slurm"
	"github.com/wallrack/wallrack/internal/wire"
)

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
