package scheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
)

// A start was granted to a holder that has it queued still, since the grant is long under
// way to it: the machine was taken for deaf, and returned. It is deaf if the holder sent the
// start, and its reports show nothing of it.
func TestGrantThatHasNotReachedTheHolderMakesNoMachineDeaf(t *testing.T) {
	for _, unsent := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 2, 0)
			stop := f.run()
			f.acceptArray(1)
			var ref dispatch.TaskRef
			show := func() {
				for i := range f.views {
					v := &f.views[i]
					v.Seq, v.Holder, v.Queue = v.Seq+1, "b", nil
					if v.Asked = v.Name != ref.Machine; !v.Asked {
						v.Queue = []dispatch.QueueView{{TaskRef: ref, Unsent: unsent}}
					}
					f.owner.ObserveWorker(*v)
				}
				time.Sleep(time.Second)
			}
			for range 2 {
				f.show(0, 0.2)
				time.Sleep(time.Second)
			}
			ref = f.owner.PlacesOf("j-1")[0]
			if !f.owner.GrantLocal(dispatch.GrantRequest{TaskRef: ref, Holder: "b", Token: 7, Session: 1}).OK {
				t.Fatal("not granted")
			}
			deaf := false
			for range 9 { // less than the time after which the owner asks for a newer token
				show()
				_, silent := f.owner.UnresponsiveWorkers(2 * time.Second)
				for i := range silent {
					deaf = deaf || silent[i].Name == ref.Machine && silent[i].OutboundLost
				}
			}
			if deaf == unsent {
				t.Errorf("start not sent: %v; taken for deaf: %v", unsent, deaf)
			}
			stop()
		})
	}
}
