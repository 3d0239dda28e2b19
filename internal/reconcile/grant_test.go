package reconcile_test

import (
	"log/slog"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/reconcile"
	"github.com/wallrack/wallrack/internal/wire"
)

// leader is a controller that leads shard 0 until its lease expires.
type leader struct {
	jobstate.Membership
	lease time.Duration
	shard uint64 // version of the shard's key
}

func (l *leader) Name() string                  { return "a" }
func (l *leader) LeaseRemaining() time.Duration { return l.lease }
func (l *leader) LeadsShard(int) (uint64, bool) { return l.shard, true }

type cancelled map[string]bool

func (c cancelled) IsCancelled(uid string) bool { return c[uid] }
func (c cancelled) RecordCancelled(...string)   {}

type noTypes struct{}

func (noTypes) Type(string) (wire.MachineType, bool) { return wire.MachineType{}, false }

// grantCase is a job of two tasks, the first of which has a recorded placement on worker w, and
// a request for its start.
type grantCase struct {
	state      *jobstate.State
	member     *leader
	job        *jobstate.Job
	placement  *jobstate.Placement
	reconciler *reconcile.Reconciler
	request    dispatch.GrantRequest
}

func newGrantCase() *grantCase {
	platform := &config.Platform{Params: config.Params{Teams: []config.Team{{Name: "t", CPUsMax: 4}}, Workers: config.Workers{ReportS: 8, LeaseS: 44}}}
	g := &grantCase{member: &leader{lease: time.Minute, shard: 7}}
	log := slog.New(slog.DiscardHandler)
	g.state = jobstate.New(platform, &config.Operator{Shards: 1, ShardControllers: 1}, g.member, noTypes{}, log)
	g.state.Loaded[0] = 7
	g.reconciler = reconcile.New(g.state, log)
	spec := &wire.Job{UID: "j-1", Class: "c", Team: "t", Kind: wire.KindArray, Tasks: 2, CPUs: 2, EstimateS: 5}
	g.job = &jobstate.Job{Spec: spec, Class: g.state.ClassOf("c"), Team: g.state.Teams["t"], Placements: map[int][]*jobstate.Placement{}}
	g.job.Resources.CPUs = 2
	g.job.Chunks = []*jobstate.Chunk{{Job: g.job, DoneBits: make([]byte, 128)}}
	g.state.Jobs["j-1"] = g.job
	g.placement = g.place("w", 1)
	g.request = dispatch.GrantRequest{TaskRef: g.placement.Ref, Dispatcher: "a", Token: 10, Session: 3}
	return g
}

// place adds a recorded placement of the first task.
func (g *grantCase) place(worker string, attempt uint64) *jobstate.Placement {
	placement := &jobstate.Placement{Job: g.job, Chunk: g.job.Chunks[0], Attempt: attempt, Worker: g.state.WorkerOf(worker), State: jobstate.PlacementRecorded}
	placement.Worker.View.Zone = "z"
	g.state.AddPlacement(placement)
	return placement
}

// A start is granted only if no condition forbids it and no other placement of the task may be
// running. Requests for tasks that can never start are dropped; others may be granted later.
func TestStartIsGrantedOnlyIfAllConditionsHold(t *testing.T) {
	granted, retryLater, drop := dispatch.GrantReply{OK: true}, dispatch.GrantReply{}, dispatch.GrantReply{Drop: true}
	for _, c := range []struct {
		name   string
		change func(g *grantCase)
		want   dispatch.GrantReply
	}{
		{"all conditions hold", func(*grantCase) {}, granted},
		{"it was granted before", func(g *grantCase) { g.reconciler.GrantLocal(g.request) }, granted},
		{"the leader's lease is about to expire", func(g *grantCase) { g.member.lease = 100 * time.Millisecond }, retryLater},
		{"no shard is led", func(g *grantCase) { delete(g.state.Loaded, 0) }, retryLater},
		{"the shard was claimed again since it was loaded", func(g *grantCase) { g.member.shard = 8 }, retryLater},
		{"the task's name is invalid", func(g *grantCase) { g.request.Task = "j-1" }, drop},
		{"the job is unknown, and all shards are led", func(g *grantCase) { delete(g.state.Jobs, "j-1") }, drop},
		{"the job is unknown, and others lead shards", func(g *grantCase) { delete(g.state.Jobs, "j-1"); g.state.Operator.Shards = 2 }, retryLater},
		{"the attempt is unknown", func(g *grantCase) { g.request.Attempt = 9 }, drop},
		{"the job is cancelled", func(g *grantCase) { g.job.Cancelled = true }, drop},
		{"the task is done", func(g *grantCase) { g.job.Chunks[0].SetOver(0) }, drop},
		{"another controller cancelled the job", func(g *grantCase) { g.state.Cancellations = cancelled{"j-1": true} }, retryLater},
		{"it is being recorded", func(g *grantCase) { g.placement.State = jobstate.PlacementRecording }, retryLater},
		{"it is an earlier leader's", func(g *grantCase) { g.placement.State = jobstate.PlacementUnconfirmed }, retryLater},
		{"it runs", func(g *grantCase) { g.placement.State = jobstate.PlacementReported }, retryLater},
		{"it was halted", func(g *grantCase) { g.placement.LastHaltAt = time.Now() }, retryLater},
		{"another placement of the task may run", func(g *grantCase) { g.place("x", 2).State = jobstate.PlacementUnconfirmed }, retryLater},
		{"another placement of the task waits", func(g *grantCase) { g.place("x", 2) }, granted},
		{"another placement completed the task", func(g *grantCase) { g.place("x", 2).Exited = true }, retryLater},
		{"its worker is drained", func(g *grantCase) { g.placement.Worker.View.Draining = true }, retryLater},
		{"its worker is on a spot machine", func(g *grantCase) { g.placement.Worker.View.Spot = true }, retryLater},
		{"its worker is unresponsive", func(g *grantCase) { g.placement.Worker.UnresponsiveSince = time.Now() }, retryLater},
		{"granted before its worker became unresponsive", func(g *grantCase) {
			g.reconciler.GrantLocal(g.request)
			g.placement.Worker.UnresponsiveSince = time.Now()
		}, granted},
		{"granted in an earlier session of its worker", func(g *grantCase) {
			g.reconciler.GrantLocal(g.request)
			g.request.Session++
		}, drop},
		{"the user holds the job", func(g *grantCase) { g.job.Constraints = jobstate.NewConstraintState(&jobspec.Constraints{Held: true}) }, retryLater},
		{"the team's limit is reached", func(g *grantCase) { g.job.Team.Used.CPUs = 3 }, retryLater},
		{"the team's limit has just enough room", func(g *grantCase) { g.job.Team.Used.CPUs = 2 }, granted},
		{"the gang is in another zone", func(g *grantCase) { g.job.Spec.OneZone = true; g.job.ZoneUse.Add("y", 1) }, retryLater},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGrantCase()
			c.change(g)
			if got := g.reconciler.GrantLocal(g.request); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// A grant counts once however often it is repeated, extends the placement's range of fencing
// tokens, and withdraws the task's other placements.
func TestGrantIsCountedOnceAndWithdrawsOtherPlacements(t *testing.T) {
	g := newGrantCase()
	g.place("x", 2)
	for _, token := range []uint64{10, 12, 9} {
		g.request.Token = token
		if replies := g.reconciler.GrantAll([]dispatch.GrantRequest{g.request}); !replies[0].OK {
			t.Fatalf("token %d: %+v", token, replies)
		}
	}
	p := g.placement
	if p.State != jobstate.PlacementGranted || p.MinToken != 9 || p.MaxToken != 12 || p.Worker.MaxToken != 12 || p.Session != 3 {
		t.Errorf("granted as %+v", p)
	}
	if g.state.Stats.Granted != 1 || g.job.Team.Used.CPUs != 2 || g.job.ZoneUse.Zones["z"] != 1 {
		t.Errorf("%d grants, %v CPUs in use, zones %v", g.state.Stats.Granted, g.job.Team.Used.CPUs, g.job.ZoneUse.Zones)
	}
	if placements := g.job.Placements[0]; len(placements) != 1 || placements[0] != p {
		t.Errorf("the task has %d placements", len(placements))
	}
}
