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

// Hook is a function that may be set while controllers run.
type Hook[F any] struct{ function atomic.Pointer[F] }

// View is one controller's access to the store.
type View struct {
	*Store
	// Down makes every request fail without being executed.
	Down func() bool
	// Lose makes a transaction's answer get lost after it was applied.
	Lose func() bool
	// Late, if it returns true, holds a transaction back; Deliver applies it.
	Late func() bool
	// LateBy, if it returns more than 0, has a transaction applied so much later,
	// after newer ones, without an answer.
	LateBy func() time.Duration
	// Slow is how long an answer takes; nil: no time.
	Slow func() time.Duration
	// Lag is how long a watch's answer takes; nil: no time.
	Lag func() time.Duration
	// Sending is called with each transaction before it is carried out, and Listing with
	// the prefix before keys are read. They may wait; nil: nothing waits.
	Sending Hook[func(t wire.Txn)]
	Listing Hook[func(prefix string)]
	// Refuse, if it returns true, has the service refuse a transaction: it is surely not
	// carried out.
	Refuse Hook[func(t wire.Txn) bool]
	// Behind is how long the watch of a prefix is behind; nil: not at all.
	Behind func(prefix string) time.Duration
	// LoseAnswer makes the answer of a transaction that was applied at a version get
	// lost: the caller hears nothing until its time is over.
	LoseAnswer func(t wire.Txn, version uint64) bool
	// Delay, if it returns more than 0, has a transaction applied so much later; its caller
	// hears nothing, outcome what came of it.
	Delay func(t wire.Txn) (by time.Duration, outcome func(error))
	// OnRead is called with every key and version that a read or a watch tells of.
	OnRead func(key string, version uint64)
	// Transit is how long a request is under way before it is executed, and its answer
	// after that, each; nil: no time. Leases and watches have none.
	Transit func() time.Duration

	lateMu sync.Mutex
	late   []wire.Txn
}

// Deliver applies the transactions that were held back.
func (v *View) Deliver() {
	v.lateMu.Lock()
	late := v.late
	v.late = nil
	v.lateMu.Unlock()
	for _, t := range late {
		_, _ = v.apply(t) // nobody waits for the answer any more
	}
}

func happens(f func() bool) bool { return f != nil && f() }

// answer lets the time pass that an answer takes; false if nobody waits for it any
// more.
func (v *View) answer(ctx context.Context) bool {
	if v.Slow == nil {
		return true
	}
	d := v.Slow()
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

// noAnswer is how long a caller without a time limit of its own waits for an answer
// that is lost.
const noAnswer = 4 * time.Second

// awaitTimeout returns when a caller without a response gives up.
func awaitTimeout(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(noAnswer):
	}
}

func (v *View) seen(items ...wire.Item) {
	if v.OnRead == nil {
		return
	}
	for _, it := range items {
		v.OnRead(it.Key, it.Version)
	}
}

// travel lets the time pass that a message is under way; false if nobody waits for it
// any more, which does not stop it.
func (v *View) travel(ctx context.Context) bool {
	if v.Transit == nil {
		return true
	}
	if d := v.Transit(); d > 0 {
		time.Sleep(d)
	}
	return ctx.Err() == nil
}

// lag is how long the answer of a prefix's watch takes.
func (v *View) lag(prefix string) (d time.Duration) {
	if v.Lag != nil {
		d = v.Lag()
	}
	if v.Behind != nil {
		d += v.Behind(prefix)
	}
	return d
}

// Get reads a key.
func (v *View) Get(ctx context.Context, key string) (wire.Item, error) {
	if happens(v.Down) {
		return wire.Item{}, statestore.ErrUnavailable
	}
	v.travel(ctx)
	if !v.answer(ctx) {
		return wire.Item{}, statestore.ErrUnknown
	}
	it, ok := v.read(key)
	if !v.travel(ctx) {
		return wire.Item{}, statestore.ErrUnknown
	}
	if !ok {
		v.seen(wire.Item{Key: key})
		return wire.Item{}, statestore.ErrNotFound
	}
	v.seen(wire.Item{Key: key, Version: it.version})
	return wire.Item{Key: key, Value: it.value, Version: it.version, Lease: it.lease}, nil
}

// List reads the keys with a prefix.
func (v *View) List(_ context.Context, prefix string) ([]wire.Item, uint64, error) {
	if happens(v.Down) {
		return nil, 0, statestore.ErrUnavailable
	}
	if listing := v.Listing.Get(); listing != nil {
		listing(prefix)
	}
	v.mu.Lock()
	v.expire()
	var out []wire.Item
	for k, it := range v.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, wire.Item{Key: k, Value: it.value, Version: it.version, Lease: it.lease})
		}
	}
	rev := v.rev
	v.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	v.seen(out...)
	return out, rev, nil
}

// Page reads at most so many keys with the prefix, in order, beyond after.
func (v *View) Page(ctx context.Context, prefix, after string, limit int) ([]wire.Item, bool, error) {
	all, _, err := v.List(ctx, prefix)
	i := sort.Search(len(all), func(i int) bool { return all[i].Key > after })
	all = all[i:]
	return all[:min(limit, len(all))], len(all) > limit, err
}

// BulkTxn implements the scheduler's Store.
func (v *View) BulkTxn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error) {
	return v.Txn(ctx, guards, ops...)
}

// Txn applies a transaction.
func (v *View) Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error) {
	if happens(v.Down) {
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
	if sending := v.Sending.Get(); sending != nil {
		sending(t)
	}
	if refuse := v.Refuse.Get(); refuse != nil && refuse(t) {
		return 0, statestore.ErrUnavailable
	}
	if happens(v.Late) {
		v.lateMu.Lock()
		v.late = append(v.late, t)
		v.lateMu.Unlock()
		return 0, statestore.ErrUnknown
	}
	if v.LateBy != nil {
		if d := v.LateBy(); d > 0 {
			time.AfterFunc(d, func() { _, _ = v.apply(t) })
			return 0, statestore.ErrUnknown
		}
	}
	if v.Delay != nil {
		if by, outcome := v.Delay(t); by > 0 {
			time.AfterFunc(by, func() {
				_, err := v.apply(t)
				outcome(err)
			})
			awaitTimeout(ctx)
			return 0, statestore.ErrUnknown
		}
	}
	v.travel(ctx)
	rev, err := v.apply(t)
	if err == nil && v.LoseAnswer != nil && v.LoseAnswer(t, rev) {
		awaitTimeout(ctx)
		return 0, statestore.ErrUnknown
	}
	if happens(v.Lose) || !v.answer(ctx) || !v.travel(ctx) {
		return 0, statestore.ErrUnknown
	}
	return rev, err
}

// GrantLease opens a lease.
func (v *View) GrantLease(_ context.Context, ttl time.Duration) (uint64, error) {
	if happens(v.Down) {
		return 0, statestore.ErrUnavailable
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.next++
	v.leases[v.next] = &lease{ttl, time.Now().Add(ttl)}
	return v.next, nil
}

// RenewLease renews a lease.
func (v *View) RenewLease(ctx context.Context, id uint64) error {
	if happens(v.Down) {
		return statestore.ErrUnavailable
	}
	if !v.answer(ctx) {
		return statestore.ErrUnknown
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expire()
	l := v.leases[id]
	if l == nil {
		return statestore.ErrNotFound
	}
	l.ends = time.Now().Add(l.ttl)
	return nil
}

// RevokeLease ends a lease.
func (v *View) RevokeLease(_ context.Context, id uint64) error {
	if happens(v.Down) {
		return statestore.ErrUnavailable
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expire()
	if v.leases[id] == nil {
		return statestore.ErrNotFound
	}
	v.end(id)
	return nil
}

// Watch follows a prefix.
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
		if happens(v.Down) {
			pause()
			continue
		}
		v.mu.Lock()
		v.expire()
		var got []wire.Event
		for _, e := range v.events {
			if e.Version > rev && strings.HasPrefix(e.Put+e.Delete, prefix) {
				got = append(got, e)
			}
		}
		rev = v.rev
		wait := v.change
		v.mu.Unlock()
		if len(got) > 0 {
			if d := v.lag(prefix); d > 0 {
				select {
				case <-ctx.Done():
				case <-time.After(d):
				}
			}
			for _, e := range got {
				v.seen(wire.Item{Key: e.Put + e.Delete, Version: e.Version})
			}
			change(got)
			pacer.Wait(ctx)
		}
		select {
		case <-ctx.Done():
		case <-wait:
		case <-time.After(100 * time.Millisecond): // leases end by time alone
		}
	}
}
