package autoscaler

import (
	"context"
	"errors"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

var errDeposed = errors.New("no longer leads the fleet")

// provisionExpires is how long after it was planned the cloud may first be asked for a hire.
// A record may be written although its writer never learns of it, also minutes late, and
// a later leader can't tell whether the cloud was asked: the work that it was for is
// mostly done by then. Machines that were rented all the same are in the cloud's list.
// It covers a change of the leader by the end of its lease.
const provisionExpires = 30 * time.Second

// provision is a rental that the cloud has not answered yet.
type provision struct {
	req      wire.HireRequest
	made     time.Time // when it was planned
	sending  bool
	open     bool // its record was sent, and may have been written
	recorded bool // its record is written
	asked    bool // the cloud may know of it
}

// provisionRecord is a hire as the state service has it. Without a time, it is old.
type provisionRecord struct {
	wire.HireRequest
	PlannedMs  int64    `json:"planned,omitempty"`  // time of day
	AnsweredMs int64    `json:"answered,omitempty"` // time of day; 0: perhaps not answered yet
	Machines   []string `json:"machines,omitempty"` // that the cloud answered
}

func (h *provision) record() provisionRecord {
	return provisionRecord{HireRequest: h.req, PlannedMs: h.made.UnixMilli()}
}

func (r *provisionRecord) offer() offer { return offer{r.Type, r.Zone, r.Spot} }

// expired reports whether the cloud must not be asked for a hire any more, unless it
// was asked before.
func expired(planned, now time.Time) bool { return now.Sub(planned) > provisionExpires }

// inFlight is how many hires may be out at once. More would only queue for the
// cloud's budget, and the plan would count on machines that nobody asked for.
func (f *Autoscaler) inFlight() int { return max(2, int(2*f.cfg.Params.Cloud.RPS)) }

// load finds hires that were recorded: those perhaps not answered are repeated under their
// names, and the machines of the others are counted on. It returns the names of those that
// are too old for either.
func (f *Autoscaler) load(ctx context.Context) (old []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	items, _, err := f.store.List(ctx, provisionKey)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, it := range items {
		var r provisionRecord
		if err := json.Unmarshal(it.Value, &r); err != nil {
			f.log.Error("unreadable hire", "key", it.Key, "err", err)
			continue
		}
		planned, answered := time.UnixMilli(r.PlannedMs), time.UnixMilli(r.AnsweredMs)
		switch {
		case r.AnsweredMs > 0 && now.Sub(answered) < f.unlisted():
			f.provisionedLocked(r, now)
			f.answered[r.Name].marked = true
		case r.AnsweredMs > 0 || expired(planned, now):
			old = append(old, r.Name)
			f.dropLocked(r.Name)
		default:
			f.provisions[r.Name] = &provision{req: r.HireRequest, made: planned, recorded: true}
		}
	}
	return old, nil
}

// write records a hire, so that whoever leads next repeats it under its name. It is
// repeated itself until its outcome is known.
func (f *Autoscaler) write(ctx context.Context, h *provision) error {
	key := provisionKey + h.req.Name
	v, ok := f.member.ClaimedShards()[0]
	if !ok {
		return errDeposed
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	shard := f.member.ShardKey(0)
	_, err := f.store.Txn(ctx, []wire.Guard{{Key: shard, Version: v}, {Key: key}}, wire.Op{Put: key, Value: h.record()})
	var conflict *statestore.Conflict
	if errors.As(err, &conflict) && !conflict.Has(shard) {
		return nil // by an earlier try, whose answer was lost: names are never shared
	}
	return err
}

// enter makes sure that a hire is recorded before the cloud is asked, and that it may
// still be asked. again says that this can't be told yet.
func (f *Autoscaler) enter(ctx context.Context, h *provision) (ok, again bool) {
	if !h.recorded {
		err := f.write(ctx, h)
		var conflict *statestore.Conflict
		h.open = h.open || errors.Is(err, statestore.ErrUnknown)
		switch {
		case err == nil:
			h.recorded = true
		case h.open && !errors.As(err, &conflict) && !errors.Is(err, errDeposed) && !expired(h.made, time.Now()):
			f.log.Info("hire perhaps recorded", "hire", h.req.Name, "err", err)
			return false, true
		default:
			// Nothing was rented, and the name is not used again.
			f.log.Info("hire not recorded", "hire", h.req.Name, "err", err)
			return false, false
		}
	}
	if !h.asked && (expired(h.made, time.Now()) || !f.scheduler.Ready()) {
		// After a standstill a successor may have rented for the same work.
		f.log.Info("hire dropped", "hire", h.req.Name)
		return false, false
	}
	h.asked = true
	return true, false
}

// scaleOut asks for machines under a recorded name, and repeats that name until
// the cloud has answered.
func (f *Autoscaler) scaleOut(ctx context.Context, h *provision) {
	drop := true
	defer func() {
		f.mu.Lock()
		h.sending = false
		if drop && f.provisions[h.req.Name] == h {
			delete(f.provisions, h.req.Name)
		}
		f.mu.Unlock()
	}()
	if ok, again := f.enter(ctx, h); !ok {
		drop = !again
		return
	}
	names, err := f.cloud.hire(ctx, h.req)
	o := offer{h.req.Type, h.req.Zone, h.req.Spot}
	now := time.Now()
	switch {
	case err == nil:
		f.log.Info("rented", "hire", h.req.Name, "type", o.Type, "zone", o.Zone, "spot", o.Spot, "machines", len(names), "asked", h.req.Number)
		f.mu.Lock()
		r := h.record()
		r.AnsweredMs, r.Machines = now.UnixMilli(), names
		f.provisionedLocked(r, now)
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
		f.dropLocked(h.req.Name)
		f.mu.Unlock()
	case errors.Is(err, errMalformed):
		f.log.Error("hire refused", "hire", h.req.Name, "err", err)
		f.mu.Lock()
		f.refuse(o)
		f.dropLocked(h.req.Name)
		f.mu.Unlock()
	default:
		f.log.Info("hire unanswered", "hire", h.req.Name, "err", err)
		drop = false
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// scaleIn returns machines; when the cloud has answered, they are gone.
func (f *Autoscaler) scaleIn(ctx context.Context, names map[string]string) {
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
	if f.scheduler.Ready() {
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
		f.dispatcher.RemoveWorker(n)
		f.scheduler.WorkerGone(n)
	}
	f.mu.Lock()
	for _, n := range batch {
		delete(f.instances, n)
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
