package scheduler

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// Known answers for a living or ended job from memory, if this controller
// surely owns it.
func (o *Owner) Known(uid string) (wire.JobState, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if f, ok := o.final[uid]; ok {
		return wire.JobState{UID: uid, Stage: f.Stage, Done: f.Done}, true
	}
	j := o.jobs[uid]
	if j == nil {
		return wire.JobState{}, false
	}
	if !o.sure(j) {
		return wire.JobState{}, false
	}
	return j.state(), true
}

// Refined adds what this controller, if it surely owns a job, knows of its tasks to what the
// store just said of it. The store has a living job as queued: while a cancel's outcome was
// open, and the store was asked therefore, a running job was called queued.
func (o *Owner) Refined(stored wire.JobState) wire.JobState {
	if stored.Stage != wire.StageQueued {
		return stored
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	j := o.jobs[stored.UID]
	if j == nil || !o.owns(j) {
		return stored
	}
	return j.state()
}

// owns reports whether the job's shard is surely this controller's, as it was loaded.
func (o *Owner) owns(j *job) bool {
	version, ok := o.member.Owns(j.shard)
	return ok && version == o.loaded[j.shard]
}

// sure reports whether what is in memory of a living job is not older than what any
// controller may have told.
func (o *Owner) sure(j *job) bool {
	// An owner whose lease may have ended could miss a later end.
	if !o.owns(j) {
		return false
	}
	// A write of its end may have been applied although the answer is out:
	// others may tell its user already, so only the store is sure. Before that
	// write the job is alive to everybody: in a storm of tiny jobs, polls for
	// hundreds whose ends still waited to be written all went to the store.
	if j.ending || j.cancels.any() {
		return false
	}
	// Its user may have heard of a cancel that was not recorded here.
	return j.cancelled || o.Cancels == nil || !o.Cancels.Has(j.spec.UID)
}

func (j *job) state() wire.JobState {
	s := wire.JobState{UID: j.spec.UID, Stage: wire.StageQueued, Done: j.done, Running: j.running}
	switch {
	case j.cancelled:
		s.Stage, s.Running = wire.StageCancelled, 0
	case j.running > 0:
		s.Stage = wire.StageRunning
	}
	return s
}

// Stored answers from the store, and says whether the job was ever accepted.
func Stored(ctx context.Context, store Reader, uid string) (wire.JobState, error) {
	// The living record first: it goes only when the final one is there.
	r, _, err := readLive(ctx, store, uid)
	if err == nil {
		s := wire.JobState{UID: uid, Stage: wire.StageQueued}
		if r.Cancelled {
			s.Stage = wire.StageCancelled
		}
		return s, nil
	}
	if !errors.Is(err, statestore.ErrNotFound) {
		return wire.JobState{}, err
	}
	return storedEnd(ctx, store, uid)
}

// storedEnd answers from the store for a job that is not living.
func storedEnd(ctx context.Context, store Reader, uid string) (wire.JobState, error) {
	f, err := readFinal(ctx, store, uid)
	if err != nil {
		return wire.JobState{}, err
	}
	return wire.JobState{UID: uid, Stage: f.Stage, Done: f.Done}, nil
}

// Cancel records that a job is cancelled. Only the shard's owner may do so, or
// anybody while nobody owns it: an owner that answers from memory would go on
// calling the job running after its user heard that it is cancelled.
func (o *Owner) Cancel(ctx context.Context, uid string) (wire.JobState, error) {
	return o.cancelWhy(ctx, uid, "")
}

// cancelWhy is Cancel; why, if it is given, is how the job's own terms end it.
func (o *Owner) cancelWhy(ctx context.Context, uid, why string) (wire.JobState, error) {
	for {
		r, recorded, err := readLive(ctx, o.store, uid)
		if errors.Is(err, statestore.ErrNotFound) {
			// The living record is not read again: a job that was accepted in the
			// meantime would have its cancel answered with "queued".
			return storedEnd(ctx, o.store, uid)
		}
		if err != nil {
			return wire.JobState{}, err
		}
		if r.Cancelled {
			return wire.JobState{UID: uid, Stage: wire.StageCancelled}, nil
		}
		version, mine := o.member.Owns(r.Shard)
		o.mu.Lock()
		if mine && o.loaded[r.Shard] != version {
			o.mu.Unlock()
			return wire.JobState{}, fmt.Errorf("shard %d is being taken over: %w", r.Shard, statestore.ErrUnavailable)
		}
		if mine {
			// A watch that lags may not have told of the job yet. Were it admitted after
			// the write below, it would be called queued although others, who read that
			// write, had told its user that it is cancelled.
			o.take(&r, recorded)
		}
		j := o.jobs[uid]
		if j != nil {
			j.cancels.sent(recorded, time.Now())
		}
		o.mu.Unlock()
		r.Cancelled = true
		if r.Terms != nil {
			asked := *r.Terms // the job has the other
			asked.Why = why
			r.Terms = &asked
		}
		rev, err := o.writeLive(ctx, uid, &r, recorded, version)
		if j != nil && surelyFailed(err) {
			o.mu.Lock()
			j.cancels.failed(recorded)
			o.mu.Unlock()
		}
		if o.recordChanged(err, &r) {
			continue
		}
		if err != nil {
			return wire.JobState{}, err
		}
		if mine {
			o.mu.Lock()
			o.take(&r, rev)
			o.mu.Unlock()
		}
		return wire.JobState{UID: uid, Stage: wire.StageCancelled}, nil
	}
}

// cancelLocked stops everything of a job whose cancel is recorded.
func (o *Owner) cancelLocked(j *job) {
	if j.cancelled {
		return
	}
	j.cancelled, j.cancels = true, openCancels{}
	if o.Cancels != nil {
		o.Cancels.Learn(j.spec.UID)
	}
	if j.ended == wire.StageDone {
		j.ended = "" // the cancel was recorded first
	}
	for _, ps := range j.places {
		for _, p := range append([]*place(nil), ps...) {
			if p.exited {
				o.clear(p) // nothing of the job starts again
			} else {
				o.halt(p, 0)
			}
		}
	}
	o.finish(j)
}

// Cancelled reads which living jobs are cancelled, whoever owns them.
func Cancelled(ctx context.Context, store Lister) (uids []string, err error) {
	items, _, err := store.List(ctx, liveKey)
	if err != nil {
		return nil, fmt.Errorf("read cancels: %w", err)
	}
	for _, it := range items {
		if !bytes.Contains(it.Value, []byte(`"cancelled"`)) {
			continue // most are not, and reading them in full costs
		}
		var r liveRecord
		if err := json.Unmarshal(it.Value, &r); err != nil {
			return nil, fmt.Errorf("read job: %w", err)
		}
		if r.Cancelled {
			uids = append(uids, r.Job.UID)
		}
	}
	return uids, nil
}

// Escaped names the machines, with their addresses, on which cancelled tasks still
// may be that were told to stop so long ago, as far as this owner remembers: its
// lease need not hold.
func (o *Owner) Escaped(after time.Duration) map[string]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string]string{}
	for _, m := range o.goingOn(after) {
		if m.view.Endpoint != "" && !m.gone {
			out[m.name] = m.view.Endpoint
		}
	}
	return out
}

// Status is a living job as alerts see it.
type Status struct {
	UID, Class, Team string
	Age              time.Duration
	DueS             *float64
	Tasks, Started   int
	Done             int
	Cancelled        bool
}

// Statuses returns the living jobs.
func (o *Owner) Statuses() []Status {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]Status, 0, len(o.order))
	for _, j := range o.order {
		if j.asked != nil && o.waits(j, time.Now()) != "" {
			continue // it waits by its own terms
		}
		out = append(out, Status{UID: j.spec.UID, Class: j.spec.Class, Team: j.spec.Team, Age: time.Since(j.accepted),
			DueS: j.spec.DueS, Tasks: j.spec.Tasks, Started: max(j.started, j.done), Done: j.done, Cancelled: j.cancelled})
	}
	return out
}

// Counters returns the counters for operators.
func (o *Owner) Counters() Stats {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stats
}

// Queues returns how much this owner has in hand.
func (o *Owner) Queues() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := map[string]int{"jobs": len(o.jobs), "known_machines": len(o.machines), "pending": 0, "unwritten": 0}
	for _, j := range o.order {
		q["pending"] += len(j.pending)
	}
	for _, l := range o.logs {
		q["unwritten"] += len(l.queue)
	}
	return q
}

// Recovered returns how often this owner took shards over, the machines on which
// the records it read last had tasks, and how many of those were not heard since.
func (o *Owner) Recovered() (takeovers, machines, silent int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range o.machines {
		if m.recorded != o.stats.Takeovers || m.recorded == 0 {
			continue
		}
		machines++
		if m.heard.Before(o.loadedAt) && len(m.places) > 0 {
			silent++
		}
	}
	return o.stats.Takeovers, machines, silent
}

// Machines returns the machines that this owner has heard, by name.
func (o *Owner) Machines() []wire.MachineInfo {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]wire.MachineInfo, 0, len(o.machines))
	for _, m := range o.machines {
		if m.heard.IsZero() {
			continue
		}
		i := wire.MachineInfo{Name: m.name, Type: m.view.Type, Zone: m.view.Zone, Spot: m.view.Spot, CPUs: o.typeOf(m).CPUs,
			Tasks: len(m.places), HeardS: time.Since(m.heard).Seconds()}
		for p := range m.places {
			if p.on() {
				i.UsedCPUs += p.job.shape.CPUs
			}
		}
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b wire.MachineInfo) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// RunningTask is a task that a worker reported as running.
type RunningTask struct {
	Task    string
	Attempt uint64
	Machine string
}

// Running returns a living job's running tasks.
func (o *Owner) Running(uid string) []RunningTask {
	o.mu.Lock()
	defer o.mu.Unlock()
	j := o.jobs[uid]
	if j == nil {
		return nil
	}
	var out []RunningTask
	for _, ps := range j.places {
		for _, p := range ps {
			if !p.running.IsZero() && p.halted.IsZero() && !p.exited {
				out = append(out, RunningTask{p.ref.Task, p.attempt, p.mach.name})
			}
		}
	}
	slices.SortFunc(out, func(a, b RunningTask) int { return strings.Compare(a.Task, b.Task) })
	return out
}

// Unfinished reports whether a living job of the class is here.
func (o *Owner) Unfinished(class string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.ContainsFunc(o.order, func(j *job) bool { return j.spec.Class == class && !j.cancelled && j.ended == "" })
}
