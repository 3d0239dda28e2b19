package scheduler_test

import (
	"testing"

	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// cancelledElsewhere knows of the cancel of every job.
type cancelledElsewhere struct{}

func (cancelledElsewhere) IsCancelled(string) bool   { return true }
func (cancelledElsewhere) RecordCancelled(...string) {}

// Another controller may have told the user of the job's end or cancel, so that a stage would be an older answer.
func TestStageOfLoadedJobIsNotToldWhileItsEndOrCancelMayBeKnownElsewhere(t *testing.T) {
	for name, change := range map[string]func(leader *scheduler.Scheduler, store *scriptedStore){
		"the write of its end was sent": func(leader *scheduler.Scheduler, _ *scriptedStore) { leader.SetEndWriteSent("j-1") },
		"another controller confirmed its cancel": func(leader *scheduler.Scheduler, _ *scriptedStore) {
			leader.SetCancellations(cancelledElsewhere{})
		},
		"a cancel got no response": func(leader *scheduler.Scheduler, store *scriptedStore) {
			store.txn = func() (uint64, error) { return 0, statestore.ErrUnknown }
			if state, err := leader.Cancel(t.Context(), "j-1"); err == nil {
				t.Fatalf("the cancel is answered with %+v", state)
			}
		},
		"the lease ended": func(_ *scheduler.Scheduler, store *scriptedStore) { store.leaseRemaining = 0 },
	} {
		leader, store := newSuccessor(t)
		if state, ok := leader.LocalState("j-1"); !ok || state.Stage != wire.StageRunning {
			t.Fatalf("%s: the loaded job is %+v, %v", name, state, ok)
		}
		if info, ok := leader.LocalJobInfo("j-1"); !ok || info.Stage != wire.StageRunning {
			t.Errorf("%s: the loaded job is listed as %s, %v", name, info.Stage, ok)
		}
		change(leader, store)
		if state, ok := leader.LocalState("j-1"); ok {
			t.Errorf("%s: the job is called %s from memory", name, state.Stage)
		}
		if info, ok := leader.LocalJobInfo("j-1"); ok {
			t.Errorf("%s: the job is listed as %s from memory", name, info.Stage)
		}
	}
}
