package scale

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/periodic"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	userPollInterval = 5 * time.Second
	priorityUrgent   = "urgent"
)

// users submits jobs on a fixed schedule, regardless of the progress of earlier jobs, and polls
// each job until it is done.
type users struct {
	settings   *Settings
	track      *tracker
	client     *client.Client
	followers  sync.WaitGroup // goroutines that submit and poll jobs
	lastNumber int            // number in the id of the last job
}

// Classes of jobs.
const (
	classService = "service"
	classArray   = "array"
	classUrgent  = "urgent"
)

// newJob returns a new job of a class.
func (u *users) newJob(class, team string, tasks int, scheduledAt time.Time) *job {
	s := u.settings
	u.lastNumber++
	job := &job{Job: &wire.Job{
		UID: fmt.Sprintf("j-%s-%07d", class, u.lastNumber), Class: class, Team: team, Kind: wire.KindArray, Priority: "normal", Tasks: tasks,
		CPUs: s.TaskCPUs, MemoryGB: 0.1, Image: "image-" + class, ImageGB: s.FetchS * fetchGBPerS, EstimateS: s.RunS,
	}, runTime: seconds(s.RunS), scheduledAt: scheduledAt}
	switch class {
	case classUrgent:
		job.Priority = priorityUrgent
	case classService:
		job.Kind, job.Priority, job.EstimateS, job.runTime = wire.KindService, "production", 0, 0
	}
	return job
}

// submitAsync submits a job and polls it in a goroutine of u.followers.
func (u *users) submitAsync(ctx context.Context, job *job) {
	u.track.addJob(job)
	u.followers.Go(func() { u.submitAndPoll(ctx, job) })
}

// submitAndPoll submits a job and polls it until it has ended or is rejected.
func (u *users) submitAndPoll(ctx context.Context, job *job) {
	state, err := u.client.SubmitDescribed(ctx, job.Job)
	for err == nil || errors.Is(err, client.ErrUnknown) && job.accepted {
		if err == nil {
			u.track.recordResponse(job, state.Stage)
			if state.Stage == wire.StageDone || state.Stage == wire.StageCancelled {
				return
			}
		}
		if !periodic.Sleep(ctx, userPollInterval) {
			return
		}
		state, err = u.client.Status(ctx, job.UID)
	}
	if ctx.Err() == nil {
		u.track.recordRejection(job, errors.Is(err, client.ErrUnknown))
	}
}

// submitServices submits the service jobs, which run all the time.
func (u *users) submitServices(ctx context.Context) {
	for i, team := range u.settings.Teams {
		if n := u.settings.replicas(i, len(u.settings.Teams)); n > 0 {
			u.submitAsync(ctx, u.newJob(classService, team.Name, n, time.Now()))
		}
	}
}

// submitAtRate submits jobs with a total of startsPerS tasks per second for the given duration.
// The wait of a job counts from its scheduled time, not from its submission. Earlier jobs may delay
// the submission, and this delay is part of the wait.
func (u *users) submitAtRate(ctx context.Context, startsPerS float64, duration time.Duration) {
	s := u.settings
	arraysPerS := (startsPerS - s.UrgentStarts) / float64(s.TasksPerJob)
	start := time.Now()
	next := map[string]time.Time{classArray: start, classUrgent: start}
	for turn := 0; ctx.Err() == nil; turn++ {
		class, tasks, interval := classArray, s.TasksPerJob, seconds(1/arraysPerS)
		if next[classUrgent].Before(next[classArray]) {
			class, tasks, interval = classUrgent, 1, seconds(1/s.UrgentStarts)
		}
		at := next[class]
		if at.Sub(start) >= duration {
			break
		}
		next[class] = at.Add(interval)
		if !periodic.Sleep(ctx, time.Until(at)) {
			return
		}
		u.submitAsync(ctx, u.newJob(class, s.Teams[u.lastNumber%len(s.Teams)].Name, tasks, at))
	}
	periodic.Sleep(ctx, time.Until(start.Add(duration)))
}
