package scheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/wire"
)

// A holder says that it doesn't know what a task takes that runs on a machine of its own: an
// old report, without the task, came to it when it was told. It is told again, now and then,
// until it knows.
func TestHolderThatLacksATasksEntryIsToldAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 0)
		stop := f.run()
		f.acceptArray(1)
		for range 2 {
			f.show(0, 0.2)
			time.Sleep(time.Second)
		}
		ref := f.owner.PlacesOf("j-1")[0]
		if !f.owner.GrantLocal(dispatch.GrantRequest{TaskRef: ref, Holder: "a", Token: 7, Session: 1}).OK {
			t.Fatal("not granted")
		}
		running := dispatch.TaskView{Task: wire.Task{Task: ref.Task, Attempt: ref.Attempt, State: wire.TaskRunning}}
		told := func(unknown bool) int64 {
			before := f.told.Load()
			running.Unknown = unknown
			for range 12 {
				f.show(0, 3, running)
				time.Sleep(time.Second)
			}
			return f.told.Load() - before
		}
		if n := told(false); n > 0 {
			t.Errorf("a holder that knows the task was told of it %d times", n)
		}
		if n := told(true); n < 3 || n > 6 {
			t.Errorf("a holder that lacks the task's entry was told %d times in 12 s", n)
		}
		if n := told(false); n > 0 {
			t.Errorf("told %d times again, once it knew", n)
		}
		stop()
	})
}
