// Package soak runs real controllers as child processes under random faults, and checks from
// outside that they keep the rules of the protocol.
//
// A site has three or five controllers, the local state service and cloud, hollow workers, and users who
// submit, ask, repeat and cancel all the time. Every link of a controller passes through a proxy that
// can hold, reset, delay and lose data. A seed determines the faults; what the processes do meanwhile
// differs from run to run.
//
// The package judges only what users and workers see. It ends every process that it started.
package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/goccy/go-json"
	"golang.org/x/sync/errgroup"

	"github.com/wallrack/wallrack/internal/periodic"
)

const (
	unansweredLimit    = 90 * time.Second // as stated by the operators
	nothingLearntLimit = 75 * time.Second // as stated by the operators
	unfinishedLimit    = 90 * time.Second // as stated by the operators
	restartDelay       = 700 * time.Millisecond
	readyTimeout       = 30 * time.Second
	overCheckInterval  = 500 * time.Millisecond
	settleTime         = 2 * time.Second // after all jobs are over, for last looks at them
)

// Run is the run of one seed.
type Run struct {
	Schedule *Schedule
	Exe      string // the program wallrack
	Dir      string // for settings, logs and the history
}

// Result is the outcome of a run.
type Result struct {
	Schedule   *Schedule
	Dir        string
	Violations []Violation
	Jobs       int // accepted
	Requests   int // of users, about jobs
	Starts     int // of tasks
	Copies     int // of calls that were answered
	Took       time.Duration
	OverAfter  time.Duration // time from the end of the faults until every job was known to be over; 0: not all were
}

// Do plays the schedule and checks what was seen. It returns an error if the site can't be started,
// if a controller ended by itself, or if ctx ends. All child processes have ended when it returns.
func (r *Run) Do(ctx context.Context) (*Result, error) {
	if _, err := os.Stat(r.Exe); err != nil {
		return nil, fmt.Errorf("the program to be tested: %w", err)
	}
	recorder := newRecorder()
	servicesCtx, stopServices := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServices()
	group, _ := errgroup.WithContext(servicesCtx)
	tasks := newTasks(recorder)
	site, err := newSite(servicesCtx, group, r.Schedule, r.Exe, r.Dir, tasks)
	if err != nil {
		return nil, err
	}
	tasks.users = newUsers(r.Schedule.Seed, site.userAddrs, zones, recorder)
	tasks.users.balancer = site.balancerAddr()
	if site.repeater != nil {
		tasks.users.client.Transport = site.repeater.wrapTransport(tasks.users.client.Transport)
	}
	played := player{site: site, users: tasks.users, recorder: recorder, schedule: r.Schedule}
	overAfter, err := played.play(ctx)
	site.close()
	stopServices()
	err = errors.Join(err, group.Wait())
	if err != nil {
		return nil, err
	}
	result, err := r.result(recorder.snapshot(), overAfter)
	if err != nil {
		return nil, err
	}
	result.Copies = site.repeater.count()
	return result, nil
}

// result checks the history, and stores it if a rule was broken.
func (r *Run) result(history History, overAfter time.Duration) (*Result, error) {
	result := &Result{Schedule: r.Schedule, Dir: r.Dir, OverAfter: overAfter}
	logged, err := loggedViolations(r.Dir, r.Schedule.Shortage)
	if err != nil {
		return nil, err
	}
	result.Violations = Check(history, Limits{Unanswered: unansweredLimit, NothingLearnt: nothingLearntLimit, Unfinished: unfinishedLimit, Cancel: cancelLimit, TeamCPUs: teams})
	result.Violations = append(result.Violations, logged...)
	accepted := map[string]bool{}
	for i := range history.Events {
		switch e := &history.Events[i]; e.Kind {
		case Submit, Poll, Cancel:
			result.Requests++
			if e.succeeded() {
				accepted[e.Job] = true
			}
		case TaskStarted:
			result.Starts++
		}
		result.Took = history.Events[i].At
	}
	result.Jobs = len(accepted)
	if len(result.Violations) == 0 {
		return result, nil
	}
	data, err := json.Marshal(history)
	if err != nil {
		return nil, fmt.Errorf("encode history: %w", err)
	}
	if err := os.WriteFile(filepath.Join(r.Dir, "history.json"), data, 0o644); err != nil {
		return nil, fmt.Errorf("--dir: %w", err)
	}
	return result, nil
}

// player plays a schedule on a site.
type player struct {
	site     *site
	users    *users
	recorder *recorder
	schedule *Schedule

	faults sync.WaitGroup
}

// play starts the controllers, plays the users and faults, and waits until all jobs are over, for as long
// as the limits allow. It returns the time from the end of the faults until all jobs were over.
func (p *player) play(ctx context.Context) (overAfter time.Duration, err error) {
	for _, process := range p.site.processes {
		if err := process.start(); err != nil {
			return 0, err
		}
	}
	if err := p.awaitReady(ctx); err != nil {
		return 0, err
	}
	p.recorder.restart()
	ended := endedJobIDs(p.schedule.EndedJobs)
	p.recorder.addEnded(ended)
	ctx, stop := context.WithCancel(ctx)
	defer p.users.followers.Wait()
	defer stop()
	p.users.followers.Go(func() { p.users.submitJobs(ctx, p.schedule.JobsPerS, p.schedule.FaultsEnd) })
	for _, fault := range p.schedule.Faults {
		if !periodic.Sleep(ctx, fault.At-p.recorder.now()) {
			break
		}
		p.faults.Go(func() { p.inject(ctx, fault) })
	}
	p.faults.Wait()
	over := p.recorder.add(Event{Kind: FaultsOver})
	p.users.askAboutEnded(ctx, ended)
	overAfter = p.awaitOver(ctx, over.At)
	p.recorder.add(Event{Kind: RunOver})
	for _, process := range p.site.processes {
		err = errors.Join(err, process.crashed())
	}
	return overAfter, errors.Join(err, ctx.Err())
}

// awaitReady waits until a controller answers users.
func (p *player) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		for node := range p.users.addrs {
			if p.users.ready(ctx, node) {
				return nil
			}
		}
		if !periodic.Sleep(ctx, overCheckInterval) {
			return ctx.Err()
		}
	}
	return fmt.Errorf("no controller answered users within %v, see the logs", readyTimeout)
}

// awaitOver waits until every accepted job is known to be over, or the limits are exceeded.
func (p *player) awaitOver(ctx context.Context, faultsOver time.Duration) time.Duration {
	for p.recorder.now()-faultsOver < unfinishedLimit+overCheckInterval && periodic.Sleep(ctx, overCheckInterval) {
		if allOver(p.recorder.snapshot()) {
			overAfter := p.recorder.now() - faultsOver
			periodic.Sleep(ctx, settleTime)
			return overAfter
		}
	}
	return 0
}

// maxPrintedViolations bounds the violations that String returns.
const maxPrintedViolations = 20

// String returns the result as text: one line, or, if a rule was broken, the violations and the
// schedule too.
func (r *Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d controllers, %d workers, %d jobs, %d requests, %d starts, ", r.Schedule.Seed, r.Schedule.Controllers, r.Schedule.Workers, r.Jobs, r.Requests, r.Starts)
	if r.Copies > 0 {
		fmt.Fprintf(&b, "%d copies of calls, ", r.Copies)
	}
	fmt.Fprintf(&b, "%.0f s, over %.1f s after the faults, %d violations\n", r.Took.Seconds(), r.OverAfter.Seconds(), len(r.Violations))
	if len(r.Violations) == 0 {
		return b.String()
	}
	for _, violation := range r.Violations[:min(len(r.Violations), maxPrintedViolations)] {
		fmt.Fprintln(&b, violation)
	}
	fmt.Fprintf(&b, "%slogs and history: %s\n", r.Schedule, r.Dir)
	return b.String()
}
