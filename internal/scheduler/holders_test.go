package scheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

// TestSameReportWaitsForNoPass: a report that says nothing new is not held up by a pass, in
// which its worker would wait for its answer; the owner takes it up soon after, as of when
// it came.
func TestSameReportWaitsForNoPass(t *testing.T) {
	f := newFleet(t, 1, 0)
	v := f.views[0]
	v.Seq, v.Same = v.Seq+1, true
	time.Sleep(50 * time.Millisecond)
	came := time.Now()
	f.owner.WhileBusy(func() {
		observed := make(chan struct{})
		go func() { f.owner.ObserveWorker(v); close(observed) }()
		select {
		case <-observed:
		case <-time.After(5 * time.Second):
			t.Error("the report waits")
		}
		time.Sleep(50 * time.Millisecond)
	})
	v.Seq, v.Same = v.Seq-1, false // an older one, which says nothing of its own
	f.owner.ObserveWorker(v)
	ago, since := f.owner.HeardAgo(v.Name), time.Since(came)
	if ago > since || ago < since-40*time.Millisecond {
		t.Errorf("heard %v ago, when the report came %v ago", ago, since)
	}
}

// TestOwnPlacementsCountAtOnce: what an owner has just placed on a machine of another
// holder takes room there, although a view comes that was made before the holder knew.
func TestOwnPlacementsCountAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 0)
		stop := f.run()
		idle := func() {
			v := &f.views[0]
			v.Seq++
			v.Holder = "b"
			v.Matrix = matching.NewWaitMatrix(matching.Resources{CPUs: size.CPUs, MemoryGB: size.MemoryGB}, nil, nil)
			f.owner.ObserveWorker(*v)
		}
		submit := func(uid string) {
			f.owner.JobAccepted(&wire.Job{UID: uid, Class: "c", Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: 1, CPUs: size.CPUs, MemoryGB: 1, Estimate: 30, Spot: true},
				nil, 0, time.Now().UnixMilli(), 1)
		}
		idle()
		submit("j-1")
		time.Sleep(300 * time.Millisecond)
		if f.owner.Placed("j-1") != 1 {
			t.Fatal("the first job is not placed")
		}
		idle()
		submit("j-2")
		time.Sleep(300 * time.Millisecond)
		if f.owner.Placed("j-2") != 0 {
			t.Error("the room of the first job is given away again")
		}
		ref := f.owner.PlacesOf("j-1")[0]
		if !f.owner.GrantAll([]dispatch.GrantRequest{{TaskRef: ref, Holder: "b", Token: 7, Session: 1}})[0].OK {
			t.Fatal("no grant")
		}
		idle()
		time.Sleep(300 * time.Millisecond)
		if f.owner.Placed("j-2") != 0 {
			t.Error("the room of the first job, which was just granted, is given away again")
		}
		stop()
	})
}
