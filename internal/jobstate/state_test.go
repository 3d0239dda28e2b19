package jobstate_test

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

// soleController is a controller that leads all shards.
type soleController struct{}

func (soleController) Name() string                              { return "controller-a" }
func (soleController) LeaseRemaining() time.Duration             { return time.Minute }
func (soleController) LeadsShard(int) (uint64, bool)             { return 1, true }
func (soleController) ClaimedShards() map[int]uint64             { return map[int]uint64{0: 1} }
func (soleController) NextToken(context.Context) (uint64, error) { return 2, nil }
func (soleController) ShardKey(int) string                       { return "shard/0" }

type noTypes struct{}

func (noTypes) Type(string) (wire.MachineType, bool) { return wire.MachineType{}, false }

// newState returns the state of a leader of one shard; leases last 30 seconds.
func newState() *jobstate.State {
	platform := &config.Platform{Params: config.Params{Workers: config.Workers{ReportS: 5, LeaseS: 30}}}
	s := jobstate.New(platform, &config.Operator{Shards: 1}, soleController{}, noTypes{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	s.Loaded[0] = 1
	return s
}

// addJob adds a live job with the given number of pending tasks.
func addJob(s *jobstate.State, tasks int) *jobstate.Job {
	job := &jobstate.Job{
		Spec: &wire.Job{UID: "j-1", Tasks: tasks}, AcceptedAt: time.Now(), Class: s.ClassOf("batch"), Team: &jobstate.Team{},
		Resources: matching.Resources{CPUs: 2}, Placements: map[int][]*jobstate.Placement{},
	}
	for first := 0; first < tasks; first += jobrecord.ChunkSize {
		job.Chunks = append(job.Chunks, &jobstate.Chunk{Number: len(job.Chunks), DoneBits: make([]byte, jobrecord.ChunkSize/8), Job: job})
	}
	for task := range tasks {
		job.Pending = append(job.Pending, task)
	}
	s.Jobs[job.Spec.UID] = job
	s.JobOrder = append(s.JobOrder, job)
	return job
}

// place places the job's last pending task on a worker of dispatcher d-1.
func place(s *jobstate.State, job *jobstate.Job, worker string, state jobstate.PlacementState) *jobstate.Placement {
	task := job.Pending[len(job.Pending)-1]
	job.Pending = job.Pending[:len(job.Pending)-1]
	return placeTask(s, job, task, worker, state)
}

// placeTask places a task that is not pending on a worker of dispatcher d-1.
func placeTask(s *jobstate.State, job *jobstate.Job, task int, worker string, state jobstate.PlacementState) *jobstate.Placement {
	chunk := job.Chunks[task/jobrecord.ChunkSize]
	chunk.NextAttempt++
	p := &jobstate.Placement{
		Job: job, Chunk: chunk, Task: task, Attempt: chunk.NextAttempt, Worker: s.WorkerOf(worker),
		State: state, InStore: true, SentTo: "d-1",
	}
	p.Worker.View.Dispatcher, p.Worker.View.Zone = "d-1", "zone-a"
	s.AddPlacement(p)
	s.CountUse(p, 1)
	return p
}

func TestEndedPlacementMakesTaskPendingOnce(t *testing.T) {
	s := newState()
	job := addJob(s, 1)
	placement := place(s, job, "n-1", jobstate.PlacementGranted)
	if job.Team.Used.CPUs != 2 || job.ZoneUse.Zones["zone-a"] != 1 {
		t.Fatalf("use after the grant: %v, in zones %v", job.Team.Used, job.ZoneUse.Zones)
	}
	s.EndPlacement(placement)
	s.EndPlacement(placement) // as for a repeated report of the loss
	if len(job.Pending) != 1 || len(job.Placements) != 0 || len(placement.Worker.Placements) != 0 {
		t.Errorf("pending %v, placements %v", job.Pending, job.Placements)
	}
	if job.Team.Used.CPUs != 0 || job.ZoneUse.Zones["zone-a"] != 0 {
		t.Errorf("use after the end: %v, in zones %v", job.Team.Used, job.ZoneUse.Zones)
	}
	if changes := s.UnwrittenChanges[0]; len(changes) != 1 || changes[0].Kind != jobstate.PlacementRemoved {
		t.Errorf("changes to record: %v", changes)
	}
}

func TestFinishedTaskWithdrawsOtherUngrantedPlacements(t *testing.T) {
	s := newState()
	job := addJob(s, 1)
	finished := place(s, job, "n-1", jobstate.PlacementReported)
	granted := placeTask(s, job, 0, "n-2", jobstate.PlacementGranted)
	queued := placeTask(s, job, 0, "n-3", jobstate.PlacementRecorded)
	finished.Chunk.SetOver(0)
	job.Done++
	s.FinishTask(finished)
	if left := job.Placements[0]; len(left) != 2 || left[0] != finished || left[1] != granted {
		t.Errorf("placements left: %v", left)
	}
	if halts := s.InstructionsFor("d-1").Halt; len(halts) != 1 || halts[0].TaskRef != queued.Ref {
		t.Errorf("halts %v", halts)
	}
	if job.EndStage != wire.StageDone || !finished.Exited {
		t.Errorf("stage %q, exited %v", job.EndStage, finished.Exited)
	}
}

func TestCancelledJobEndsOnceNoTaskMayRun(t *testing.T) {
	s := newState()
	job := addJob(s, 3)
	running := place(s, job, "n-1", jobstate.PlacementReported)
	place(s, job, "n-2", jobstate.PlacementRecorded)
	s.CancelJob(job)
	if job.EndStage != "" || len(job.Placements) != 1 || running.FirstHaltAt.IsZero() {
		t.Fatalf("stage %q, placements %v", job.EndStage, job.Placements)
	}
	s.EndPlacement(running)
	if job.EndStage != wire.StageCancelled {
		t.Errorf("stage %q", job.EndStage)
	}
}

func TestJobWithIndividuallyCancelledTasksEndsAsCancelled(t *testing.T) {
	s := newState()
	job := addJob(s, 3)
	job.Constraints = jobstate.NewConstraintState(&jobspec.Constraints{Number: 7})
	running := place(s, job, "n-1", jobstate.PlacementReported) // task 2
	record := &jobrecord.LiveRecord{Constraints: &jobspec.Constraints{Number: 7, CancelledTasks: "0,2"}}
	s.UpdateRecord(job, record, 9)
	if job.Finished != 2 || len(job.Pending) != 1 || job.Pending[0] != 1 || running.FirstHaltAt.IsZero() || job.Version != 9 {
		t.Fatalf("finished %d, pending %v, version %d", job.Finished, job.Pending, job.Version)
	}
	s.EndPlacement(running)
	last := place(s, job, "n-1", jobstate.PlacementReported)
	last.Chunk.SetOver(1)
	job.Done++
	s.FinishTask(last)
	s.ForgetTask(last)
	if end := s.EndStateOf(job); end.State != jobspec.Cancelled || end.Failed != 2 || job.EndStage != wire.StageCancelled {
		t.Errorf("ended as %+v, stage %q", end, job.EndStage)
	}
}

func TestCancelStaysPendingUntilItsOutcomeIsKnown(t *testing.T) {
	s := newState()
	job := addJob(s, 1)
	job.PendingCancels.RecordSent(7, time.Now())
	job.PendingCancels.RecordSent(7, time.Now())
	job.PendingCancels.RecordFailed(7)
	if !job.PendingCancels.Any() {
		t.Fatal("no cancel is pending after one of two has failed")
	}
	s.UpdateRecord(job, &jobrecord.LiveRecord{}, 7)
	if !job.PendingCancels.Any() {
		t.Fatal("no cancel is pending after a read of the record version on which it is conditional")
	}
	s.UpdateRecord(job, &jobrecord.LiveRecord{}, 8)
	if job.PendingCancels.Any() {
		t.Error("a cancel is still pending after a newer record that is not cancelled")
	}
	job.PendingCancels.RecordFailed(7) // late
	if job.PendingCancels.Any() {
		t.Error("a late failure makes a cancel pending again")
	}
}

func TestChunkRecordOmitsExitedPlacements(t *testing.T) {
	s := newState()
	job := addJob(s, 5)
	exited := place(s, job, "n-1", jobstate.PlacementReported)
	place(s, job, "n-2", jobstate.PlacementReported)
	place(s, job, "n-1", jobstate.PlacementRecorded)
	place(s, job, "n-2", jobstate.PlacementRecorded)
	exited.Exited = true
	chunk := job.Chunks[0]
	chunk.SetFailed(0, uint64(jobstate.OutcomeTimedOut), 0x1ff)
	data, err := json.Marshal(chunk.Record(12))
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"seq":12,"done":"AQAAAAAAAAAAAAAA","next":4,"machines":["n-2","n-1"],"places":[3,2,0,2,3,1,1,4,0],"failed":[0,2,255]}`
	if string(data) != want {
		t.Errorf("recorded as %s", data)
	}
	if _, err := jobrecord.ParseChunk(data, job.Spec.Tasks); err != nil {
		t.Error(err)
	}
}

func TestZoneRulesCountEveryPlacementThatMayRun(t *testing.T) {
	s := newState()
	here, elsewhere := s.WorkerOf("n-1"), s.WorkerOf("n-2")
	here.View.Zone, elsewhere.View.Zone = "zone-a", "zone-b"
	for _, c := range []struct {
		name            string
		oneZone, spread bool
		inZoneA         int
		unzoned         int
		here, elsewhere bool
	}{
		{"no rule", false, false, 4, 1, true, true},
		{"one zone, none placed", true, false, 0, 0, true, true},
		{"one zone, placed here", true, false, 1, 0, true, false},
		{"one zone, placed in an unknown zone", true, false, 0, 1, false, false},
		{"spread, below half here", false, true, 1, 0, true, true},
		{"spread, half here", false, true, 2, 0, false, true},
		{"spread, unknown zones may be any", false, true, 1, 1, false, true},
	} {
		job := &jobstate.Job{Spec: &wire.Job{Tasks: 4, OneZone: c.oneZone, Spread: c.spread}, ZoneUse: jobstate.ZoneUse{Zones: map[string]int{"zone-a": c.inZoneA}, Unzoned: c.unzoned}}
		if a, b := s.FitsZone(job, here), s.FitsZone(job, elsewhere); a != c.here || b != c.elsewhere {
			t.Errorf("%s: fits here %v, elsewhere %v", c.name, a, b)
		}
	}
}

func TestEachSessionSinceTheLastRenewalExtendsTheLease(t *testing.T) {
	s := newState()
	worker := s.WorkerOf("n-1")
	worker.RenewedAt, worker.RenewedSession = worker.KnownSince.Add(time.Minute), 3
	for session, want := range map[uint64]time.Duration{2: 30 * time.Second, 3: 30 * time.Second, 4: time.Minute} {
		worker.View.Session = session
		if got := s.LatestLeaseEnd(worker).Sub(worker.RenewedAt); got != want {
			t.Errorf("session %d: the lease expires after %v, not %v", session, got, want)
		}
	}
}

func TestOnlyFirstOfEqualJobsCountsAsLarge(t *testing.T) {
	var sizes jobstate.Sizes
	large := 0
	for range 30 {
		if sizes.Add(8) {
			large++
		}
	}
	if large != 1 {
		t.Errorf("%d of 30 equal jobs are large", large)
	}
	if !sizes.Add(9) || sizes.Add(1) {
		t.Error("a larger job does not count as large, or a smaller one does")
	}
}
