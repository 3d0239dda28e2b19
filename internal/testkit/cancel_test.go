package testkit_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// A cancel recorded behind the owner's back let the owner, whose watch lagged,
// call the job running after its user had heard that it was cancelled.
func TestCancelIsTheOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, 1)
		w.reliable = true
		for _, n := range []string{"a", "b", "c"} {
			w.start(n)
		}
		time.Sleep(2 * time.Second)
		w.submit("j-1", 3)
		time.Sleep(time.Second)
		chief := w.nodes["a"].member.Owners()[0]
		for name, n := range w.nodes {
			if name == chief {
				continue
			}
			if s, err := n.owner.Cancel(context.Background(), "j-1"); err == nil {
				t.Errorf("%s is not the owner and says %+v", name, s)
			}
		}
		if s, ok := w.nodes[chief].owner.Known("j-1"); !ok || s.Stage != wire.StageQueued {
			t.Errorf("the owner says %+v, %v", s, ok)
		}
		if s, err := w.nodes[chief].owner.Cancel(context.Background(), "j-1"); err != nil || s.Stage != wire.StageCancelled {
			t.Errorf("the owner says %+v, %v", s, err)
		}
		if s, ok := w.nodes[chief].owner.Known("j-1"); ok && s.Stage != wire.StageCancelled {
			t.Errorf("after the cancel the owner says %+v", s)
		}
		for _, n := range []string{"a", "b", "c"} {
			w.crash(n)
		}
	})
}
