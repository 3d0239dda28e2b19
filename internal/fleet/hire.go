package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/wire"
)

var errDeposed = errors.New("no longer leads the fleet")

type hire struct {
	req     wire.HireRequest
	made    time.Time
	sending bool
}

// inFlight is how many hires may be out at once. More would only queue for the
// cloud's budget, and the plan would count on machines that nobody asked for.
func (f *Fleet) inFlight() int { return max(2, int(2*f.cfg.Params.Cloud.RPS)) }

// load finds hires that were recorded but perhaps not answered: they are
// repeated under their names.
func (f *Fleet) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	items, _, err := f.store.List(ctx, hireKey)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, it := range items {
		var r wire.HireRequest
		if err := json.Unmarshal(it.Value, &r); err != nil {
			f.log.Error("unreadable hire", "key", it.Key, "err", err)
			continue
		}
		f.hires[r.Name] = &hire{req: r, made: time.Now()}
	}
	return nil
}

// rent asks for machines under a recorded name, and repeats that name until
// the cloud has answered.
func (f *Fleet) rent(ctx context.Context, h *hire, record bool) {
	key := hireKey + h.req.Name
	drop := true
	defer func() {
		f.mu.Lock()
		h.sending = false
		if drop {
			delete(f.hires, h.req.Name)
		}
		f.mu.Unlock()
	}()
	if record {
		v, ok := f.member.Claimed()[0]
		if !ok {
			return
		}
		tctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		_, err := f.store.Txn(tctx, []wire.Guard{{Key: f.member.ShardKey(0), Version: v}, {Key: key}}, wire.Op{Put: key, Value: h.req})
		cancel()
		if err != nil {
			// Nothing was rented, and the name is not used again.
			f.log.Info("hire not recorded", "hire", h.req.Name, "err", err)
			return
		}
	}
	names, err := f.cloud.hire(ctx, h.req)
	o := offer{h.req.Type, h.req.Zone, h.req.Spot}
	now := time.Now()
	switch {
	case err == nil:
		f.log.Info("rented", "hire", h.req.Name, "type", o.Type, "zone", o.Zone, "spot", o.Spot, "machines", len(names), "asked", h.req.Number)
		f.mu.Lock()
		for _, n := range names {
			if f.boxes[n] == nil && !f.sending[n] {
				f.boxes[n] = &box{name: n, offer: o, hired: h.made, known: now, listed: now, stage: wire.MachineBooting}
			}
		}
		if len(names) < h.req.Number {
			f.refuse(o)
		} else {
			delete(f.refused, o)
		}
		f.mu.Unlock()
	case errors.Is(err, errNoCapacity):
		f.log.Info("no capacity", "type", o.Type, "zone", o.Zone, "spot", o.Spot)
		f.mu.Lock()
		f.refuse(o)
		f.mu.Unlock()
	case errors.Is(err, errMalformed):
		f.log.Error("hire refused", "hire", h.req.Name, "err", err)
		f.mu.Lock()
		f.refuse(o)
		f.mu.Unlock()
	default:
		f.log.Info("hire unanswered", "hire", h.req.Name, "err", err)
		drop = false
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
		return
	}
	tctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if _, err := f.store.Txn(tctx, nil, wire.Op{Delete: key}); err != nil {
		f.log.Debug("hire stays recorded", "hire", h.req.Name, "err", err)
	}
}

// giveBack returns machines; when the cloud has answered, they are gone.
func (f *Fleet) giveBack(ctx context.Context, names map[string]string) {
	f.mu.Lock()
	var batch []string
	for n := range names {
		if !f.sending[n] && len(batch) < maxRelease {
			f.sending[n] = true
			batch = append(batch, n)
		}
	}
	f.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	// What was judged before a standstill is not acted on after it: a successor may
	// use these machines by now.
	err := errDeposed
	if f.owner.Ready() {
		err = f.cloud.release(ctx, batch)
	}
	if err != nil {
		f.log.Info("returning failed", "machines", batch, "err", err)
		f.mu.Lock()
		for _, n := range batch {
			delete(f.sending, n)
		}
		f.mu.Unlock()
		return
	}
	for _, n := range batch {
		f.log.Info("returned", "machine", n, "why", names[n])
		f.holder.Gone(n)
		f.owner.Gone(n)
	}
	f.mu.Lock()
	for _, n := range batch {
		delete(f.boxes, n)
	}
	f.mu.Unlock()
	// The list lags: for a while it may still show them.
	time.AfterFunc(seconds(4*f.cfg.Params.Cloud.ListLagS)+time.Minute, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, n := range batch {
			delete(f.sending, n)
		}
	})
}
