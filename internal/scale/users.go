package scale

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	pollEvery      = 5 * time.Second
	priorityUrgent = "urgent"
)

// users submit jobs by a constant schedule, whatever becomes of those before, and
// poll them until they are done.
type users struct {
	settings *Settings
	track    *tracker
	client   *client.Client
	sent     sync.WaitGroup
	number   int
}

// newJob makes the next job of a class.
func (u *users) newJob(class string, team string, tasks int, intended time.Time) *job {
	s := u.settings
	u.number++
	j := &job{Job: &wire.Job{
		UID: fmt.Sprintf("j-%s-%07d", class, u.number), Class: class, Team: team, Kind: wire.KindArray, Priority: "normal", Tasks: tasks,
		CPUs: s.TaskCPUs, MemoryGB: 0.1, Image: "image-" + class, ImageGB: s.FetchS * fetchGBPerS, Estimate: s.RunS,
	}, run: seconds(s.RunS), intended: intended}
	switch class {
	case classUrgent:
		j.Priority = priorityUrgent
	case classService:
		j.Kind, j.Priority, j.Estimate, j.run = wire.KindService, "production", 0, 0
	}
	return j
}

// Classes of jobs.
const (
	classService = "service"
	classArray   = "array"
	classUrgent  = "urgent"
)

// send submits a job as users do and follows it.
func (u *users) send(ctx context.Context, j *job) {
	u.track.add(j)
	u.sent.Add(1)
	go func() {
		defer u.sent.Done()
		state, err := u.client.SubmitDescribed(ctx, j.Job)
		for err == nil || errors.Is(err, client.ErrUnknown) && j.accepted {
			if err == nil {
				u.track.answered(j, state.Stage)
				if state.Stage == wire.StageDone || state.Stage == wire.StageCancelled {
					return
				}
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(pollEvery):
			}
			state, err = u.client.Status(ctx, j.UID)
		}
		if ctx.Err() == nil {
			u.track.denied(j, errors.Is(err, client.ErrUnknown))
		}
	}()
}

// fill submits what runs all the time.
func (u *users) fill(ctx context.Context) {
	for i, t := range u.settings.Teams {
		if n := u.settings.replicas(i, len(u.settings.Teams)); n > 0 {
			u.send(ctx, u.newJob(classService, t.Name, n, time.Now()))
		}
	}
}

// load sends jobs for so long, tasks to start at a rate. Each is counted from when
// the schedule has it sent: one that comes late, because those before it held up the
// sender, has waited already.
func (u *users) load(ctx context.Context, starts float64, length time.Duration) {
	s := u.settings
	arrays := (starts - s.UrgentStarts) / float64(s.TasksPerJob)
	began := time.Now()
	next := map[string]time.Time{classArray: began, classUrgent: began}
	for turn := 0; ctx.Err() == nil; turn++ {
		class, tasks, every := classArray, s.TasksPerJob, seconds(1/arrays)
		if next[classUrgent].Before(next[classArray]) {
			class, tasks, every = classUrgent, 1, seconds(1/s.UrgentStarts)
		}
		at := next[class]
		if at.Sub(began) >= length {
			break
		}
		next[class] = at.Add(every)
		if !wait(ctx, time.Until(at)) {
			return
		}
		u.send(ctx, u.newJob(class, s.Teams[u.number%len(s.Teams)].Name, tasks, at))
	}
	wait(ctx, time.Until(began.Add(length)))
}

// wait waits; false: ctx has ended.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
