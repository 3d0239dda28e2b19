package testkit_test

import (
	"context"
	"errors"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/viewsync"
)

// peer is another controller, if a message comes through to it now.
func (n *node) peer(name string) (*node, error) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	to := n.cluster.nodes[name]
	if !n.cluster.reach(n, to) {
		return nil, errCut
	}
	return to, nil
}

// overLink carries a request to a worker.
func overLink[T any](ctx context.Context, w *cluster, carryOut func() (T, error)) (T, error) {
	return carry(ctx, w.drawn(&w.messageDelay), w.drawn(&w.messageDelay), carryOut)
}

// overPeerLink carries a request to a peer.
func overPeerLink[T any](ctx context.Context, w *cluster, carryOut func() (T, error)) (T, error) {
	oneWay := func() time.Duration { return w.drawn(&w.messageDelay) + w.drawn(&w.transit) }
	return carry(ctx, oneWay(), oneWay(), carryOut)
}

// carry has a request arrive after a time, and its answer come back after another. A
// request that takes time is carried out even if nobody waits for it any more, and its
// answer may come too late.
func carry[T any](ctx context.Context, there, back time.Duration, carryOut func() (T, error)) (T, error) {
	if there+back == 0 {
		return carryOut()
	}
	type answer struct {
		value T
		err   error
	}
	got := make(chan answer, 1)
	go func() {
		time.Sleep(there)
		value, err := carryOut()
		time.Sleep(back)
		got <- answer{value, err}
	}()
	select {
	case a := <-got:
		return a.value, a.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// delayLinks sets how long messages to workers and peers take; nil: no time.
func (w *cluster) delayLinks(delay func() time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.messageDelay = delay
}

// linksAreSlow reports whether messages to workers and peers take time.
func (w *cluster) linksAreSlow() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.messageDelay != nil
}

// reportSlowly lets a worker report over a slow link: it has one report under way at a
// time, and the others do not wait for it.
func (w *cluster) reportSlowly(k *testkit.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reporting[k] {
		return
	}
	w.reporting[k] = true
	go func() {
		w.sendReport(k)
		w.check()
		w.mu.Lock()
		delete(w.reporting, k)
		w.mu.Unlock()
	}()
}

// besideSlow does something now, or beside the rest while links are slow.
func (w *cluster) besideSlow(do func()) {
	if w.linksAreSlow() {
		go do()
		return
	}
	do()
}

// ended reports whether a controller is down.
func (n *node) ended() bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.down
}

// onDuty has a controller do something that waits for workers' or peers' answers. While
// links are slow it does so beside the rest, one at a time of each duty, as cmd/wallrack's
// loops do, and until it ends. Done in place, it stopped the world for as long as the
// answers took: no worker reported meanwhile, and all leases ended for no fault.
func (n *node) onDuty(duty string, do func(ctx context.Context)) {
	w := n.cluster
	if !w.linksAreSlow() {
		do(n.ctx)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if n.duties[duty] {
		return
	}
	n.duties[duty] = true
	n.underWay.Go(func() {
		do(n.ctx)
		w.mu.Lock()
		delete(n.duties, duty)
		w.mu.Unlock()
	})
}

// publishWithin is how long a message about workers is waited for.
const publishWithin = 4 * time.Second

// publishTo tells a peer what changed on the workers held here, as cmd/wallrack does: one
// message at a time.
func (n *node) publishTo(to *node) {
	if !n.publishing.Begin(to.name) {
		return
	}
	defer n.publishing.End(to.name)
	for more := true; more; {
		m := n.published.Next(time.Since(n.started).Milliseconds(), to.name)
		if m == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), publishWithin)
		reply, err := overLink(ctx, n.cluster, func() (viewsync.Reply, error) { return n.cluster.carryViews(n, to, m) })
		cancel()
		if err != nil {
			return
		}
		more = n.published.HandleReply(time.Since(n.started).Milliseconds(), to.name, reply)
	}
}

// carryViews takes a message to a peer, and its reply back, as they travel.
func (w *cluster) carryViews(from, to *node, m *viewsync.Message) (viewsync.Reply, error) {
	if w.loseViews != nil && w.loseViews(from, to) {
		return viewsync.Reply{}, errCut
	}
	data, err := json.Marshal(m)
	if err != nil {
		w.fail("%s's views can't be encoded: %v", from.name, err)
		return viewsync.Reply{}, err
	}
	var arrived viewsync.Message
	if err := json.Unmarshal(data, &arrived); err != nil {
		w.fail("%s's views can't be decoded: %v", from.name, err)
		return viewsync.Reply{}, err
	}
	reply, err := to.pictures.Take(&arrived)
	if errors.Is(err, viewsync.ErrMalformed) {
		w.fail("%s refused %s's views: %v", to.name, from.name, err)
	}
	if w.loseViews != nil && w.loseViews(to, from) {
		return viewsync.Reply{}, errCut
	}
	return reply, nil
}

// attestLease is how long all controllers must have left a worker unanswered.
const attestLease = workerLease + 500*time.Millisecond

// attest settles unresponsive workers as cmd/wallrack does: one after the other the peers say
// for how long they left a worker unanswered.
func (n *node) attest(ctx context.Context) {
	w := n.cluster
	_, silent := n.scheduler.UnresponsiveWorkers(workerLease)
	for i := range silent {
		name, all := silent[i].Name, true
		a := dispatch.NewAttestation(time.Now(), []float64{n.dispatcher.UnansweredFor(name).Seconds()})
		for _, peer := range w.names {
			if peer == n.name {
				continue
			}
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			unanswered, err := overLink(ctx, w, func() (time.Duration, error) {
				to, err := n.peer(peer)
				if err != nil {
					return 0, err
				}
				return to.dispatcher.UnansweredFor(name), nil
			})
			cancel()
			all = all && err == nil && a.Add([]float64{unanswered.Seconds()})
		}
		if all && a.LeaseExpired(0, time.Now(), attestLease.Seconds()) {
			n.scheduler.LeaseAttestedExpired(name, a.BegunAt())
		}
	}
}
