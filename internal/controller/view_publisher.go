package controller

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/peerlinks"
	"github.com/wallrack/wallrack/internal/reachability"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/viewsync"
)

// Bounds of the timeout of a message with worker views. A leader's timeout is twice the duration
// of its last message. With a fixed timeout, no message would be acknowledged over a slow link: one
// that times out may have been applied, and is sent again unchanged.
const (
	minPublishTimeout = time.Second
	maxPublishTimeout = 4 * time.Second
)

const (
	pollRemoteTimeout  = 4 * time.Second
	pollRemoteInterval = 250 * time.Millisecond
)

// viewPublisher sends changes of the workers that report here to the leaders elsewhere, and to
// the local scheduler when it starts to lead.
type viewPublisher struct {
	cfg        *config.Platform
	interval   time.Duration
	scheduler  *scheduler.Scheduler
	dispatcher *dispatch.Dispatcher
	leaders    *peerlinks.Leaders
	peers      *peerlinks.Caller
	table      *reachability.Table
	publisher  *viewsync.Publisher
	receiver   *viewsync.Receiver
	log        *slog.Logger

	startedAt time.Time // when run began
	turns     viewsync.SendSlots
	timeouts  publishTimeouts
}

func (p *viewPublisher) register(m *mesh.Mesh) {
	mesh.Handle(m, methodViews, func(_ context.Context, msg *viewsync.Message) (*viewsync.Reply, error) {
		defer usage.AddTime(usage.PeerViews, time.Now())
		reply, err := p.receiver.HandleMessage(msg)
		if errors.Is(err, viewsync.ErrMalformed) {
			usage.CountEvent(usage.MalformedViews)
			p.log.Info("malformed worker views rejected", "peer", msg.Dispatcher, "err", err)
		}
		return &reply, nil
	})
}

func (p *viewPublisher) run(ctx context.Context) error {
	tick := time.NewTicker(p.interval)
	defer tick.Stop()
	p.startedAt = time.Now()
	led := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		others, leads := p.leaders.ShardLeaders(), p.leaders.Leads()
		if leads && !led {
			// Heartbeats received before this controller led are used too.
			for _, view := range p.dispatcher.WorkerViews() {
				p.scheduler.ObserveWorker(view)
			}
			go p.pollRemoteWorkers(ctx)
		}
		led = leads
		p.publisher.CollectChanges(p.elapsedMs(), others)
		for _, leader := range others {
			if p.turns.TryAcquire(leader) {
				go func() {
					defer p.turns.Release(leader)
					p.publish(ctx, leader)
				}()
			}
		}
	}
}

// elapsedMs returns the time since run began, which is the clock of the publisher.
func (p *viewPublisher) elapsedMs() int64 { return time.Since(p.startedAt).Milliseconds() }

// publish sends a leader all pending changes.
func (p *viewPublisher) publish(ctx context.Context, leader string) {
	for more := true; more; {
		msg := p.publisher.Next(p.elapsedMs(), leader)
		if msg == nil {
			return
		}
		sent := time.Now()
		reply, err := p.send(ctx, leader, msg)
		p.timeouts.record(leader, time.Since(sent))
		if err != nil {
			p.table.RecordUndelivered(leader, time.Now())
			p.log.Debug("publishing worker views failed", "peer", leader, "err", err)
			return
		}
		more = p.publisher.HandleReply(p.elapsedMs(), leader, *reply)
		usage.AddTime(usage.PeerViews, sent)
	}
}

func (p *viewPublisher) send(ctx context.Context, leader string, msg *viewsync.Message) (*viewsync.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeouts.forLeader(leader))
	defer cancel()
	return peerlinks.Call[viewsync.Message, viewsync.Reply](ctx, p.peers, leader, methodViews, msg)
}

// pollRemoteWorkers polls the reports of workers that a predecessor named when it transferred
// its shards. Without these polls the new leader waits for seconds: workers that no longer reach the
// predecessor need that long to detect it, and the cloud's list lags.
func (p *viewPublisher) pollRemoteWorkers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollRemoteTimeout)
	defer cancel()
	polled := map[string]bool{}
	for ctx.Err() == nil {
		endpoints := map[string]string{}
		for name, endpoint := range p.scheduler.RemoteWorkers() {
			if !polled[name] {
				polled[name], endpoints[name] = true, endpoint
			}
		}
		p.dispatcher.PollReports(ctx, endpoints, config.Seconds(p.cfg.Params.Workers.ReportS))
		select {
		case <-ctx.Done():
		case <-time.After(pollRemoteInterval):
		}
	}
}

// publishTimeouts holds the timeout of each leader's next message. The zero value is ready for
// use. It is safe for concurrent use.
type publishTimeouts struct {
	mu       sync.Mutex
	byLeader map[string]time.Duration
}

func (p *publishTimeouts) forLeader(leader string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(maxPublishTimeout, max(minPublishTimeout, p.byLeader[leader]))
}

// record sets a leader's timeout from the duration of its last message.
func (p *publishTimeouts) record(leader string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byLeader == nil {
		p.byLeader = map[string]time.Duration{}
	}
	p.byLeader[leader] = 2 * took
}
