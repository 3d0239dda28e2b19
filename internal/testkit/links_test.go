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

// peer returns another controller, or errLinkDown if no message reaches it now.
func (n *node) peer(name string) (*node, error) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	to := n.cluster.nodes[name]
	if !n.cluster.reaches(n, to) {
		return nil, errLinkDown
	}
	return to, nil
}

// callWorker sends a request to a worker over a link with delays, and returns its response.
func callWorker[T any](ctx context.Context, w *cluster, handle func() (T, error)) (T, error) {
	return roundTrip(ctx, w.drawDelay(&w.messageDelay), w.drawDelay(&w.messageDelay), handle)
}

// callPeer sends a request to a peer over a link with delays, and returns its response.
func callPeer[T any](ctx context.Context, w *cluster, handle func() (T, error)) (T, error) {
	oneWay := func() time.Duration { return w.drawDelay(&w.messageDelay) + w.drawDelay(&w.transitTime) }
	return roundTrip(ctx, oneWay(), oneWay(), handle)
}

// roundTrip calls handle after requestDelay, and returns its result after responseDelay. If ctx ends
// before, it returns the context's error. The request is in flight then: handle is still called, and its result
// is dropped.
func roundTrip[T any](ctx context.Context, requestDelay, responseDelay time.Duration, handle func() (T, error)) (T, error) {
	if requestDelay+responseDelay == 0 {
		return handle()
	}
	type result struct {
		value T
		err   error
	}
	results := make(chan result, 1)
	go func() {
		time.Sleep(requestDelay)
		value, err := handle()
		time.Sleep(responseDelay)
		results <- result{value, err}
	}()
	select {
	case r := <-results:
		return r.value, r.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// delayLinks sets the one-way delay of messages to workers and peers; nil: none.
func (w *cluster) delayLinks(delay func() time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.messageDelay = delay
}

// linksAreSlow reports whether messages to workers and peers are delayed.
func (w *cluster) linksAreSlow() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.messageDelay != nil
}

// reportOverSlowLink sends a worker's report in a goroutine of its own, unless an earlier report of the
// worker is still in flight.
func (w *cluster) reportOverSlowLink(k *testkit.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reporting[k] {
		return
	}
	w.reporting[k] = true
	go func() {
		w.sendReport(k)
		w.checkInvariants()
		w.mu.Lock()
		delete(w.reporting, k)
		w.mu.Unlock()
	}()
}

// goIfLinksSlow calls do, in a goroutine of its own if links are slow.
func (w *cluster) goIfLinksSlow(do func()) {
	if w.linksAreSlow() {
		go do()
		return
	}
	do()
}

// isDown reports whether a controller is down.
func (n *node) isDown() bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.down
}

// runDuty calls do, which waits for responses of workers or peers. While links are slow it calls do in a
// goroutine of its own, at most one at a time for each duty, as the loops of package controller do, and a crash of the
// controller waits for it. Otherwise the whole simulation waits for the responses: no worker reports meanwhile,
// and all leases expire without a fault.
func (n *node) runDuty(duty string, do func(ctx context.Context)) {
	w := n.cluster
	if !w.linksAreSlow() {
		do(n.ctx)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if n.backgroundRunning[duty] {
		return
	}
	n.backgroundRunning[duty] = true
	n.backgroundGroup.Go(func() {
		do(n.ctx)
		w.mu.Lock()
		delete(n.backgroundRunning, duty)
		w.mu.Unlock()
	})
}

// publishTimeout limits the wait for the reply to a message with worker views.
const publishTimeout = 4 * time.Second

// publishTo sends a peer the changes of the workers that report to this controller, one message at a time, as
// package controller does.
func (n *node) publishTo(to *node) {
	if !n.publishTurns.TryAcquire(to.name) {
		return
	}
	defer n.publishTurns.Release(to.name)
	for more := true; more; {
		m := n.publisher.Next(time.Since(n.started).Milliseconds(), to.name)
		if m == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
		reply, err := callWorker(ctx, n.cluster, func() (viewsync.Reply, error) { return n.cluster.exchangeViews(n, to, m) })
		cancel()
		if err != nil {
			return
		}
		more = n.publisher.HandleReply(time.Since(n.started).Milliseconds(), to.name, reply)
	}
}

// exchangeViews delivers a message with worker views to a peer, encoded and decoded as on the wire, and returns the reply.
func (w *cluster) exchangeViews(from, to *node, m *viewsync.Message) (viewsync.Reply, error) {
	if w.loseViews != nil && w.loseViews(from, to) {
		return viewsync.Reply{}, errLinkDown
	}
	data, err := json.Marshal(m)
	if err != nil {
		w.fail("worker views of %s can't be encoded: %v", from.name, err)
		return viewsync.Reply{}, err
	}
	var arrived viewsync.Message
	if err := json.Unmarshal(data, &arrived); err != nil {
		w.fail("worker views of %s can't be decoded: %v", from.name, err)
		return viewsync.Reply{}, err
	}
	reply, err := to.receiver.HandleMessage(&arrived)
	if errors.Is(err, viewsync.ErrMalformed) {
		w.fail("%s rejected worker views of %s as malformed: %v", to.name, from.name, err)
	}
	if w.loseViews != nil && w.loseViews(to, from) {
		return viewsync.Reply{}, errLinkDown
	}
	return reply, nil
}

// minUnanswered is the time since the last response of any controller to a worker after which the worker's lease
// has certainly expired.
const minUnanswered = workerLease + 500*time.Millisecond

// attestUnresponsiveWorkers asks all peers in turn for the time since their last response to each unresponsive
// worker, as package controller does. If no controller responded for minUnanswered, it tells the scheduler that
// the worker's lease has expired.
func (n *node) attestUnresponsiveWorkers(ctx context.Context) {
	w := n.cluster
	_, unresponsive := n.scheduler.UnresponsiveWorkers(workerLease)
	for i := range unresponsive {
		name, allReplied := unresponsive[i].Name, true
		attestation := dispatch.NewAttestation(time.Now(), []float64{n.dispatcher.UnansweredFor(name).Seconds()})
		for _, peer := range w.controllerNames {
			if peer == n.name {
				continue
			}
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			unanswered, err := callWorker(ctx, w, func() (time.Duration, error) {
				to, err := n.peer(peer)
				if err != nil {
					return 0, err
				}
				return to.dispatcher.UnansweredFor(name), nil
			})
			cancel()
			allReplied = allReplied && err == nil && attestation.Add([]float64{unanswered.Seconds()})
		}
		if allReplied && attestation.LeaseExpired(0, time.Now(), minUnanswered.Seconds()) {
			n.scheduler.LeaseAttestedExpired(name, attestation.StartedAt())
		}
	}
}
