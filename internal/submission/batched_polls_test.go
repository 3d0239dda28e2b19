package submission

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// slowPeer responds to batches after 50 ms with the states of all jobs but j-13, or with a
// failure while it is down.
type slowPeer struct {
	mu       sync.Mutex
	messages int
	down     bool
}

func (p *slowPeer) query(_ context.Context, r Request) (Reply, bool) {
	p.mu.Lock()
	p.messages++
	failed := p.down
	p.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	if failed {
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
}

// A thousand concurrent polls cost the peer at most 10 messages. Each poll gets its own job's
// state, or none if the job is unknown there, and a peer that does not respond delays no poll
// beyond its timeout.
func TestPollsAreBatchedAndBoundByTheirTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &slowPeer{}
		b := &pollBatcher{query: peer.query}
		var wg sync.WaitGroup
		poll := func(i int, want bool) {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				uid := fmt.Sprintf("j-%d", i)
				answer := b.poll(ctx, uid)
				if ok := answer.outcome == pollAnswered; ok != want || ok && answer.state.UID != uid {
					t.Errorf("%s: %+v", uid, answer)
				}
			})
		}
		for i := range 1000 {
			poll(i, i != 13)
		}
		wg.Wait()
		if peer.messages > 10 {
			t.Errorf("the peer received %d messages", peer.messages)
		}
		peer.down = true
		for i := range 1000 {
			poll(i, false)
		}
		wg.Wait()
		synctest.Wait()
		if b.inFlight != 0 || len(b.pending) != 0 {
			t.Errorf("%d batches are in flight, %d polls are pending", b.inFlight, len(b.pending))
		}
	})
}

// A leader of an earlier version lists live jobs whose tasks may be running as "unsettled", without a state.
func TestJobsThatEarlierVersionsReportAsUnsettledAreAnswered(t *testing.T) {
	var reply Reply
	if err := json.Unmarshal([]byte(`{"status":200,"states":[{},{"uid":"j-2","stage":"queued"},{}],"unsettled":["j-1"]}`), &reply); err != nil {
		t.Fatal(err)
	}
	for i, want := range []peerAnswer{
		{pollAnswered, wire.JobState{UID: "j-1", Stage: wire.StageRunning}},
		{pollAnswered, wire.JobState{UID: "j-2", Stage: wire.StageQueued}},
		{outcome: pollJobUnknown},
	} {
		if got := answerInBatch(&reply, true, i, fmt.Sprintf("j-%d", i+1)); got != want {
			t.Errorf("poll %d: %+v, want %+v", i, got, want)
		}
	}
}
