package submission

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// Of a thousand polls at once the owner gets a few messages, each poll its own
// job's answer, one that the owner can't tell none, and a peer that does not
// answer holds up nobody beyond the poll's own time.
func TestPollsGather(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		messages, dead := 0, false
		g := &gatherer{ask: func(ctx context.Context, r Request) (Reply, bool) {
			mu.Lock()
			messages++
			gone := dead
			mu.Unlock()
			time.Sleep(50 * time.Millisecond)
			if gone {
				return Reply{}, false
			}
			rep := Reply{Status: 200}
			for _, uid := range r.UIDs {
				if uid == "j-13" {
					uid = ""
				}
				rep.States = append(rep.States, wire.JobState{UID: uid})
			}
			return rep, true
		}}
		var wg sync.WaitGroup
		ask := func(i int, want bool) {
			wg.Add(1)
			go func() {
				defer wg.Done()
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				uid := fmt.Sprintf("j-%d", i)
				if s, ok := g.known(ctx, uid); ok != want || ok && s.UID != uid {
					t.Errorf("%s: %+v, %v", uid, s, ok)
				}
			}()
		}
		for i := range 1000 {
			ask(i, i != 13)
		}
		wg.Wait()
		if messages > 10 {
			t.Errorf("%d messages", messages)
		}
		dead = true
		for i := range 1000 {
			ask(i, false)
		}
		wg.Wait()
		synctest.Wait()
		if g.out != 0 || len(g.waits) != 0 {
			t.Errorf("%d messages are under way, %d polls wait", g.out, len(g.waits))
		}
	})
}
