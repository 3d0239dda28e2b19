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

// A leader has so long for a message about workers: at first the least, then twice what it
// took for the last one. One that takes longer may have applied it, so that it is repeated
// as it was; over a slow link none would ever be acknowledged within a fixed time.
const (
	leastPublishTimeout = time.Second
	mostPublishTimeout  = 4 * time.Second
)

const (
	pollRemoteFor   = 4 * time.Second
	pollRemoteEvery = 250 * time.Millisecond
)

// viewPublisher brings what changed on the workers that report here to the leaders elsewhere,
// and to the scheduler here when it begins to lead.
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

	started  time.Time // of run
	turns    viewsync.Turns
	timeouts publishTimeouts
}

func (p *viewPublisher) register(m *mesh.Mesh) {
	mesh.Handle(m, methodViews, func(_ context.Context, msg *viewsync.Message) (*viewsync.Reply, error) {
		defer usage.AddTime(usage.PeerViews, time.Now())
		reply, err := p.receiver.Take(msg)
		if errors.Is(err, viewsync.ErrMalformed) {
			usage.CountEvent(usage.MalformedViews)
			p.log.Info("worker views refused", "peer", msg.Dispatcher, "err", err)
		}
		return &reply, nil
	})
}

func (p *viewPublisher) run(ctx context.Context) error {
	tick := time.NewTicker(p.interval)
	defer tick.Stop()
	p.started = time.Now()
	led := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		others, leads := p.leaders.ShardLeaders(), p.leaders.Leads()
		if leads && !led {
			// Heartbeats from before this controller led count too.
			for _, view := range p.dispatcher.WorkerViews() {
				p.scheduler.ObserveWorker(view)
			}
			go p.pollRemoteWorkers(ctx)
		}
		led = leads
		p.publisher.Gather(p.nowMs(), others)
		for _, leader := range others {
			if p.turns.Begin(leader) {
				go func() {
					defer p.turns.End(leader)
					p.publish(ctx, leader)
				}()
			}
		}
	}
}

// nowMs is the time of the publisher, which counts from its start.
func (p *viewPublisher) nowMs() int64 { return time.Since(p.started).Milliseconds() }

// publish sends a leader what there is for it.
func (p *viewPublisher) publish(ctx context.Context, leader string) {
	for more := true; more; {
		msg := p.publisher.Next(p.nowMs(), leader)
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
		more = p.publisher.HandleReply(p.nowMs(), leader, *reply)
		usage.AddTime(usage.PeerViews, sent)
	}
}

func (p *viewPublisher) send(ctx context.Context, leader string, msg *viewsync.Message) (*viewsync.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeouts.of(leader))
	defer cancel()
	return peerlinks.Call[viewsync.Message, viewsync.Reply](ctx, p.peers, leader, methodViews, msg)
}

// pollRemoteWorkers polls workers for their reports that a predecessor, which transferred its
// shards, named: workers that can't reach it any more take seconds to find out, and the cloud's
// list is slow.
func (p *viewPublisher) pollRemoteWorkers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollRemoteFor)
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
		case <-time.After(pollRemoteEvery):
		}
	}
}

// publishTimeouts are how long each leader has for a message. The zero value is ready for
// use; it is safe for concurrent use.
type publishTimeouts struct {
	mu      sync.Mutex
	leaders map[string]time.Duration
}

func (p *publishTimeouts) of(leader string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(mostPublishTimeout, max(leastPublishTimeout, p.leaders[leader]))
}

// record notes what the last message took.
func (p *publishTimeouts) record(leader string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leaders == nil {
		p.leaders = map[string]time.Duration{}
	}
	p.leaders[leader] = 2 * took
}
