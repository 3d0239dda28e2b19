package controller

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/viewsync"
)

// An owner has so long for a message about machines: at first the least, then twice what it
// took for the last one. One that takes longer may have applied it, so that it is repeated
// as it was; over a slow link none would ever be acknowledged within a fixed time.
const (
	publishLeast = time.Second
	publishMost  = 4 * time.Second
)

// handleViews takes what holders elsewhere publish.
func (n *node) handleViews() {
	mesh.Handle(n.mesh, methodPublish, func(_ context.Context, m *viewsync.Message) (*viewsync.Reply, error) {
		defer usage.Count(usage.Peers, time.Now())
		reply, err := n.pictures.Take(m)
		if errors.Is(err, viewsync.ErrMalformed) {
			usage.Note(usage.MalformedViews)
			n.log.Info("views refused", "holder", m.Holder, "err", err)
		}
		return &reply, nil
	})
}

// publish tells the owners elsewhere what changed on the machines held here.
func (n *node) publish(ctx context.Context) error {
	tick := time.NewTicker(config.Seconds(n.op.PublishS))
	defer tick.Stop()
	started := time.Now()
	owned := false
	var turns viewsync.Turns
	var within patience
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		owners := n.ShardOwners()
		owns := n.member.LeaseRemaining() > 0 && len(n.member.OwnedShards()) > 0
		if owns && !owned {
			// New here as an owner: what was heard before counts too.
			for _, v := range n.holder.WorkerViews() {
				n.owner.ObserveWorker(v)
			}
			go n.meet(ctx)
		}
		owned = owns
		n.published.Gather(time.Since(started).Milliseconds(), owners)
		for _, o := range owners {
			if turns.Begin(o) {
				go func() {
					defer turns.End(o)
					n.publishTo(ctx, o, started, &within)
				}()
			}
		}
	}
}

// patience is how long each owner has for a message.
type patience struct {
	mu sync.Mutex
	of map[string]time.Duration
}

func (p *patience) get(owner string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(publishMost, max(publishLeast, p.of[owner]))
}

func (p *patience) set(owner string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.of == nil {
		p.of = map[string]time.Duration{}
	}
	p.of[owner] = d
}

// publishTo sends an owner what there is for it.
func (n *node) publishTo(ctx context.Context, owner string, started time.Time, within *patience) {
	for more := true; more; {
		m := n.published.Next(time.Since(started).Milliseconds(), owner)
		if m == nil {
			return
		}
		sent, limit := time.Now(), within.get(owner)
		pctx, cancel := context.WithTimeout(ctx, limit)
		reply, err := call[viewsync.Message, viewsync.Reply](pctx, n, owner, methodPublish, m)
		cancel()
		within.set(owner, 2*time.Since(sent))
		if err != nil {
			n.links.table.RecordUndelivered(owner, time.Now())
			n.log.Debug("publishing failed", "owner", owner, "err", err)
			return
		}
		more = n.published.Took(time.Since(started).Milliseconds(), owner, *reply)
		usage.Count(usage.Peers, sent)
	}
}
