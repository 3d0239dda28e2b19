package scheduler

import (
	"testing"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/wire"
)

func TestOnlyLiveJobsThatAreNotCancelledAreKnown(t *testing.T) {
	var jobs liveJobs
	record := func(uid string, cancelled bool) *jobrecord.LiveRecord {
		return &jobrecord.LiveRecord{Job: wire.Job{UID: uid}, AcceptedMs: 7, Cancelled: cancelled}
	}
	expect := func(step string, known ...string) {
		t.Helper()
		want := map[string]bool{}
		for _, uid := range known {
			want[uid] = true
		}
		for _, uid := range []string{"j-1", "j-2", "j-3"} {
			if acceptedMs, ok := jobs.get(uid); ok != want[uid] || ok && acceptedMs != 7 {
				t.Errorf("%s: %s is known: %v, accepted at %d", step, uid, ok, acceptedMs)
			}
		}
	}
	expect("before the first record")
	jobs.remove("j-1")
	jobs.add(record("j-1", false))
	jobs.add(record("j-2", false))
	jobs.add(record("j-3", true))
	expect("after the first records", "j-1", "j-2")
	jobs.add(record("j-1", true))
	expect("after a cancel", "j-2")
	jobs.remove("j-2")
	expect("after an end")
	jobs.add(record("j-3", false))
	jobs.clear()
	expect("after a new listing began")
}
