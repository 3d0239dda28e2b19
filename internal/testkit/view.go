package testkit

import (
	"context"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// Hook holds a function that may be set while controllers run.
type Hook[F any] struct{ function atomic.Pointer[F] }

// View is one controller's access to the store. Functions that are nil have no effect.
type View struct {
	*Store
	// Unavailable, if it returns true, fails a request without executing it.
	Unavailable func() bool
	// LoseResponse, if it returns true, loses the response to an applied transaction.
	LoseResponse func() bool
	// Hold, if it returns true, holds a transaction back until ApplyHeld is called.
	Hold func() bool
	// ApplyAfter, if it returns more than 0, has a transaction applied after that delay, possibly
	// after newer ones; its caller receives ErrUnknown at once.
	ApplyAfter func() time.Duration
	// ResponseDelay returns the delay of a response.
	ResponseDelay func() time.Duration
	// WatchLag returns the delay of a watch's events.
	WatchLag func() time.Duration
	// BeforeTxn is called with each transaction before it is executed, BeforeList with the
	// prefix before keys are listed. They may block.
	BeforeTxn  Hook[func(t wire.Txn)]
	BeforeList Hook[func(prefix string)]
	// RefuseTxn, if it returns true, fails a transaction with ErrUnavailable without executing it.
	RefuseTxn Hook[func(t wire.Txn) bool]
	// PrefixWatchLag returns the delay of the events of a prefix, in addition to WatchLag.
	PrefixWatchLag func(prefix string) time.Duration
	// TimeOutResponse, if it returns true, loses the response to a transaction that was applied
	// at the given version: the caller waits until its time-out.
	TimeOutResponse func(t wire.Txn, version uint64) bool
	// DelayTxn, if it returns more than 0, has a transaction applied after that delay. Its caller
	// waits until its time-out; outcome is called with the result.
	DelayTxn func(t wire.Txn) (by time.Duration, outcome func(error))
	// OnRead is called with every key and version that a read or a watch returns.
	OnRead func(key string, version uint64)
	// TransitDelay returns the one-way delay of a request and of its response. It does not apply to
	// lists, leases and watches.
	TransitDelay func() time.Duration

	heldMu sync.Mutex
	held   []wire.Txn
}

// ApplyHeld applies the transactions that were held back.
func (v *View) ApplyHeld() {
	v.heldMu.Lock()
	late := v.held
	v.held = nil
	v.heldMu.Unlock()
	for _, t := range late {
		_, _ = v.apply(t) // no caller waits for the result
	}
}

func isTriggered(f func() bool) bool { return f != nil && f() }

// awaitResponse waits for ResponseDelay. It returns false if the caller has given up.
func (v *View) awaitResponse(ctx context.Context) bool {
	if v.ResponseDelay == nil {
		return true
	}
	d := v.ResponseDelay()
	if d == 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return ctx.Err() == nil
	}
}

// defaultTimeout is how long a caller without a deadline waits for a lost response.
const defaultTimeout = 4 * time.Second

// awaitTimeout waits until a caller that receives no response gives up.
func awaitTimeout(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(defaultTimeout):
	}
}

func (v *View) observeRead(items ...wire.Item) {
	if v.OnRead == nil {
		return
	}
	for _, it := range items {
		v.OnRead(it.Key, it.Version)
	}
}

// awaitTransit always waits for the whole TransitDelay. It returns false if the caller has given up by then.
func (v *View) awaitTransit(ctx context.Context) bool {
	if v.TransitDelay == nil {
		return true
	}
	if d := v.TransitDelay(); d > 0 {
		time.Sleep(d)
	}
	return ctx.Err() == nil
}

// watchDelay returns the delay of the events of a watch on the prefix.
func (v *View) watchDelay(prefix string) (d time.Duration) {
	if v.WatchLag != nil {
		d = v.WatchLag()
	}
	if v.PrefixWatchLag != nil {
		d += v.PrefixWatchLag(prefix)
	}
	return d
}

// Get reads a key.
func (v *View) Get(ctx context.Context, key string) (wire.Item, error) {
	if isTriggered(v.Unavailable) {
		return wire.Item{}, statestore.ErrUnavailable
	}
	v.awaitTransit(ctx)
	if !v.awaitResponse(ctx) {
		return wire.Item{}, statestore.ErrUnknown
	}
	it, ok := v.read(key)
	if !v.awaitTransit(ctx) {
		return wire.Item{}, statestore.ErrUnknown
	}
	if !ok {
		v.observeRead(wire.Item{Key: key})
		return wire.Item{}, statestore.ErrNotFound
	}
	v.observeRead(wire.Item{Key: key, Version: it.version})
	return wire.Item{Key: key, Value: it.value, Version: it.version, Lease: it.lease}, nil
}

// List reads all keys with a prefix, and the store's version.
func (v *View) List(_ context.Context, prefix string) ([]wire.Item, uint64, error) {
	if isTriggered(v.Unavailable) {
		return nil, 0, statestore.ErrUnavailable
	}
	if listing := v.BeforeList.Get(); listing != nil {
		listing(prefix)
	}
	v.mu.Lock()
	v.expireLeases()
	var out []wire.Item
	for k, it := range v.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, wire.Item{Key: k, Value: it.value, Version: it.version, Lease: it.lease})
		}
	}
	rev := v.rev
	v.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	v.observeRead(out...)
	return out, rev, nil
}

// Page reads up to limit keys with the prefix that are greater than after, in order, and reports
// whether there are more.
func (v *View) Page(ctx context.Context, prefix, after string, limit int) ([]wire.Item, bool, error) {
	all, _, err := v.List(ctx, prefix)
	i := sort.Search(len(all), func(i int) bool { return all[i].Key > after })
	all = all[i:]
	return all[:min(limit, len(all))], len(all) > limit, err
}

// BulkTxn implements scheduler.Store.
func (v *View) BulkTxn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error) {
	return v.Txn(ctx, guards, ops...)
}

// Txn applies a transaction.
func (v *View) Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error) {
	if isTriggered(v.Unavailable) {
		return 0, statestore.ErrUnavailable
	}
	t := wire.Txn{If: guards, Then: append([]wire.Op(nil), ops...)}
	for i := range t.Then {
		if t.Then[i].Value != nil {
			data, err := json.Marshal(t.Then[i].Value)
			if err != nil {
				return 0, err
			}
			t.Then[i].Value = json.RawMessage(data)
		}
	}
	if sending := v.BeforeTxn.Get(); sending != nil {
		sending(t)
	}
	if refuse := v.RefuseTxn.Get(); refuse != nil && refuse(t) {
		return 0, statestore.ErrUnavailable
	}
	if isTriggered(v.Hold) {
		v.heldMu.Lock()
		v.held = append(v.held, t)
		v.heldMu.Unlock()
		return 0, statestore.ErrUnknown
	}
	if v.ApplyAfter != nil {
		if d := v.ApplyAfter(); d > 0 {
			time.AfterFunc(d, func() { _, _ = v.apply(t) })
			return 0, statestore.ErrUnknown
		}
	}
	if v.DelayTxn != nil {
		if by, outcome := v.DelayTxn(t); by > 0 {
			time.AfterFunc(by, func() {
				_, err := v.apply(t)
				outcome(err)
			})
			awaitTimeout(ctx)
			return 0, statestore.ErrUnknown
		}
	}
	v.awaitTransit(ctx)
	rev, err := v.apply(t)
	if err == nil && v.TimeOutResponse != nil && v.TimeOutResponse(t, rev) {
		awaitTimeout(ctx)
		return 0, statestore.ErrUnknown
	}
	if isTriggered(v.LoseResponse) || !v.awaitResponse(ctx) || !v.awaitTransit(ctx) {
		return 0, statestore.ErrUnknown
	}
	return rev, err
}

// GrantLease opens a lease.
func (v *View) GrantLease(_ context.Context, ttl time.Duration) (uint64, error) {
	if isTriggered(v.Unavailable) {
		return 0, statestore.ErrUnavailable
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastLease++
	v.leases[v.lastLease] = &lease{ttl, time.Now().Add(ttl)}
	return v.lastLease, nil
}

// RenewLease renews a lease.
func (v *View) RenewLease(ctx context.Context, id uint64) error {
	if isTriggered(v.Unavailable) {
		return statestore.ErrUnavailable
	}
	if !v.awaitResponse(ctx) {
		return statestore.ErrUnknown
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expireLeases()
	l := v.leases[id]
	if l == nil {
		return statestore.ErrNotFound
	}
	l.expires = time.Now().Add(l.ttl)
	return nil
}

// RevokeLease ends a lease.
func (v *View) RevokeLease(_ context.Context, id uint64) error {
	if isTriggered(v.Unavailable) {
		return statestore.ErrUnavailable
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expireLeases()
	if v.leases[id] == nil {
		return statestore.ErrNotFound
	}
	v.endLease(id)
	return nil
}

// Watch calls reset with the keys of a prefix, and change with each later batch of events, until ctx is done.
func (v *View) Watch(ctx context.Context, prefix string, _ time.Duration, reset func([]wire.Item), change func([]wire.Event)) {
	pause := func() {
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
	pacer := statestore.NewPacer(ctx)
	items, rev, err := v.List(ctx, prefix)
	for err != nil && ctx.Err() == nil {
		pause()
		items, rev, err = v.List(ctx, prefix)
	}
	reset(items)
	for ctx.Err() == nil {
		if isTriggered(v.Unavailable) {
			pause()
			continue
		}
		v.mu.Lock()
		v.expireLeases()
		var events []wire.Event
		for _, e := range v.events {
			if e.Version > rev && strings.HasPrefix(e.Put+e.Delete, prefix) {
				events = append(events, e)
			}
		}
		rev = v.rev
		wait := v.changed
		v.mu.Unlock()
		if len(events) > 0 {
			if d := v.watchDelay(prefix); d > 0 {
				select {
				case <-ctx.Done():
				case <-time.After(d):
				}
			}
			for _, e := range events {
				v.observeRead(wire.Item{Key: e.Put + e.Delete, Version: e.Version})
			}
			change(events)
			pacer.Wait(ctx)
		}
		select {
		case <-ctx.Done():
		case <-wait:
		case <-time.After(100 * time.Millisecond): // a lease expires without waking the watches
		}
	}
}
