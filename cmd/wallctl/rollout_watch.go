package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/goccy/go-json"
	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/rollout"
)

const rolloutPollInterval = time.Second

// watchRollout prints the progress of a service's roll-out until it ends: on a terminal a bar for each
// step, else a line for each change. Roll-outs with a lower id are ignored. It returns nil if
// the new version is rolled out, and an error that wraps errNotRolledOut if the roll-out ended
// otherwise. It also fails if ctx ends or the site refuses the request.
func watchRollout(ctx context.Context, cl *client.Client, service string, id int, w io.Writer) error {
	view := newRolloutView(w)
	for {
		out, err := cl.Get(ctx, rolloutPath+"/"+service)
		if err != nil && !errors.Is(err, client.ErrUnknown) {
			return err
		}
		var status rollout.Status
		if err == nil && json.Unmarshal(out, &status) == nil && status.Run != nil && status.Run.ID >= id {
			view.show(&status)
			if status.Run.Phase.Final() {
				return view.finish(status.Run)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(rolloutPollInterval):
		}
	}
}

// rolloutView prints the progress of a roll-out. Errors of printing are ignored, because the command
// must wait for the outcome anyway to set its exit code.
type rolloutView struct {
	w        io.Writer
	terminal bool
	bar      *progressbar.ProgressBar // bar of the present step; nil without a terminal or before the first step
	step     int                      // step of the bar, -1 before the first
	lastLine string                   // last printed line; unused on a terminal
}

func newRolloutView(w io.Writer) *rolloutView {
	f, isFile := w.(*os.File)
	return &rolloutView{w: w, terminal: isFile && term.IsTerminal(int(f.Fd())), step: -1}
}

func (v *rolloutView) println(args ...any) { _, _ = fmt.Fprintln(v.w, args...) }

// show redraws the bar on a terminal. Otherwise it prints a line if it differs from the last one.
func (v *rolloutView) show(status *rollout.Status) {
	run, healthy := status.Run, 0
	for _, batch := range run.New {
		healthy += status.Jobs[batch.UID].Healthy
	}
	switch {
	case v.terminal && !run.Phase.Final():
		v.showBar(run, healthy)
	case !v.terminal:
		if line := fmt.Sprintf("%s, %d of %d healthy", formatRun(run), healthy, run.Targets[run.Step]); line != v.lastLine {
			v.lastLine = line
			v.println(line)
		}
	}
}

func (v *rolloutView) showBar(run *rollout.Run, healthy int) {
	if run.Step != v.step {
		if v.bar != nil {
			_ = v.bar.Finish() // an error of drawing is ignored, here and below
			v.println()
		}
		v.step = run.Step
		v.bar = progressbar.NewOptions(run.Targets[v.step], progressbar.OptionSetWriter(v.w), progressbar.OptionSetWidth(30), progressbar.OptionShowCount())
	}
	v.bar.Describe(fmt.Sprintf("step %d of %d, %s %s", v.step+1, len(run.Targets), run.Phase, run.Reason))
	_ = v.bar.Set(healthy)
}

// finish prints the final state on a terminal. It returns nil if the new version is rolled out, else an
// error that wraps errNotRolledOut.
func (v *rolloutView) finish(run *rollout.Run) error {
	if v.terminal {
		v.println()
		v.println(formatRun(run))
	}
	if run.Phase != rollout.Done {
		return fmt.Errorf("%w: %s", errNotRolledOut, run.Reason)
	}
	return nil
}
