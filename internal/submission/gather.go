package submission

import (
	"context"
	"net/http"
	"sync"

	"github.com/wallrack/wallrack/internal/wire"
)

const (
	asksAtOnce = 2   // messages with polls that are under way to a peer
	mostAsked  = 200 // jobs in one
)

// gatherer hands users' polls to the peer that owns the jobs. While messages are
// under way the next polls gather into one: in a storm of tiny jobs the owner would
// otherwise spend its processor on a message a poll.
type gatherer struct {
	ask func(ctx context.Context, r Request) (Reply, bool)

	mu    sync.Mutex
	out   int
	waits []asker
}

type asker struct {
	uid string
	got chan wire.JobState // without a uid: the peer can't tell
}

// known asks for a job; false if the peer can't tell, or not in time.
func (g *gatherer) known(ctx context.Context, uid string) (wire.JobState, bool) {
	a := asker{uid, make(chan wire.JobState, 1)}
	g.mu.Lock()
	g.waits = append(g.waits, a)
	if g.out < asksAtOnce {
		g.out++
		go g.run(context.WithoutCancel(ctx))
	}
	g.mu.Unlock()
	select {
	case s := <-a.got:
		return s, s.UID != ""
	case <-ctx.Done():
		return wire.JobState{}, false
	}
}

// run sends what has gathered until nothing is left.
func (g *gatherer) run(ctx context.Context) {
	for {
		g.mu.Lock()
		n := min(len(g.waits), mostAsked)
		if n == 0 {
			g.out--
			g.mu.Unlock()
			return
		}
		batch := g.waits[:n:n]
		g.waits = g.waits[n:]
		g.mu.Unlock()
		r := Request{Verb: VerbKnown}
		for _, a := range batch {
			r.UIDs = append(r.UIDs, a.uid)
		}
		rep, ok := g.ask(ctx, r)
		for i, a := range batch {
			var s wire.JobState
			if ok && i < len(rep.States) && rep.States[i].UID == a.uid {
				s = rep.States[i]
			}
			a.got <- s
		}
	}
}

// gather returns the gatherer for a peer.
func (in *Service) gather(peer string) *gatherer {
	in.mu.Lock()
	defer in.mu.Unlock()
	g := in.gatherers[peer]
	if g == nil {
		g = &gatherer{ask: func(ctx context.Context, r Request) (Reply, bool) { return in.ask(ctx, peer, r) }}
		in.gatherers[peer] = g
	}
	return g
}

// known answers a peer's gathered polls.
func (in *Service) known(uids []string) Reply {
	rep := Reply{Status: http.StatusOK, States: make([]wire.JobState, len(uids))}
	for i, uid := range uids {
		rep.States[i], _ = in.jobs.LocalState(uid) // without a uid: it can't be told
	}
	return rep
}
