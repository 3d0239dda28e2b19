// Package membership keeps this controller's lease in the state service, its
// term (the workers' token) and the shards it owns. An incarnation holds one
// lease; the keys attached to it say who is alive and who owns what.
package membership

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	prefix    = "c/"
	termKey   = "c/term"
	nodeKey   = "c/node/"
	shardKey  = "c/shard/"
	linkKey   = "c/link/"             // what a controller says of its links to those that the mesh does not reach
	movesKey  = "c/moves"             // when jobs were last handed over
	driftRate = 0.002                 // four times the largest drift between two steady clocks
	slack     = 60 * time.Millisecond // timers fire late
)

// Store is what membership needs of the state service.
type Store interface {
	Get(ctx context.Context, key string) (wire.Item, error)
	Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Touch(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
	Watch(ctx context.Context, prefix string, hold time.Duration, reset func([]wire.Item), change func([]wire.Event))
}

type nodeRecord struct {
	Lease  uint64 `json:"lease"`
	Term   uint64 `json:"term"`
	Joined int64  `json:"joined,omitempty"` // by its own time of day, ms
	Short  int    `json:"short,omitempty"`  // lives before this one, in a row, that were short
}

const (
	shortLife = 15 * time.Second
	unsteady  = 3 // short lives in a row from which on a controller is not to own jobs if another can
)

func (r *nodeRecord) steady() bool { return r.Short < unsteady }

type shardRecord struct {
	Node  string `json:"node"`
	Term  uint64 `json:"term"`
	Lease uint64 `json:"lease"`
}

// movesRecord is when jobs were handed over, by time of day, ms. It outlives the
// leases, so that a successor too knows how often they moved.
type movesRecord struct {
	At []int64 `json:"at"`
}

// maxMoves is how many hand-overs are remembered.
const maxMoves = 16

// Member is this controller's place among the others.
type Member struct {
	store  Store
	name   string
	ttl    time.Duration
	shards int
	spread int
	log    *slog.Logger
	wake   chan struct{}

	raising chan struct{} // holds a token while a change of the term is under way: one at a time
	refused time.Time     // when the state service last refused one; guarded by raising

	mu       sync.Mutex
	lease    uint64
	goodSend time.Time
	term     uint64
	spare    uint64 // a term drawn ahead of time; see reserve
	used     uint64 // the highest term in use, as far as is known here
	nodes    map[string]nodeRecord
	owners   map[int]shardRecord
	own      map[int]uint64 // shard -> version of its key
	newest   map[int]uint64 // shard -> highest version of its key that is known; what is older is late news
	synced   bool
	joinedAs uint64            // the term of this incarnation's joining
	tried    uint64            // lease of the last try to join
	short    int               // see nodeRecord
	freed    map[int]time.Time // when a shard's key was seen to go
	left     map[string]time.Time
	flaps    map[string]bool // whether one that left was unsteady
	limbo    map[int]uint64  // shards handed over in a transaction whose outcome is open, by the version it replaces
	handing  bool            // that transaction is still under way
	moves    movesRecord
	onChange []func()
	onLink   func(value json.RawMessage)

	reservedAt time.Time // when a term was last drawn ahead of time
	reserving  sync.WaitGroup
}

// stagger is how long a controller leaves a freed shard to each one that joined
// after it, and to one whose key has just gone, since that may be a restart: in
// a rolling restart the jobs then go to a controller that was restarted already,
// and stay there. It covers the requests of a joining.
const stagger = 250 * time.Millisecond

// comingBack is how long one whose key has gone is waited for.
const comingBack = time.Second

// New returns a member that has not joined yet.
func New(store Store, name string, ttl time.Duration, shards, spread int, log *slog.Logger) *Member {
	return &Member{
		store: store, name: name, ttl: ttl, shards: shards, spread: spread, log: log,
		wake: make(chan struct{}, 1), raising: make(chan struct{}, 1), nodes: map[string]nodeRecord{}, owners: map[int]shardRecord{}, own: map[int]uint64{}, newest: map[int]uint64{},
		freed: map[int]time.Time{}, left: map[string]time.Time{}, flaps: map[string]bool{}, limbo: map[int]uint64{},
	}
}

// OnChange registers a callback for changes of ownership; call it before Run.
func (m *Member) OnChange(f func()) { m.onChange = append(m.onChange, f) }

// OnLink registers a callback for what controllers announce of their links; call
// it before Run.
func (m *Member) OnLink(f func(value json.RawMessage)) { m.onLink = f }

// Announce writes what this controller says of its links to where every controller
// that reaches the state service sees it. It goes with the lease.
func (m *Member) Announce(ctx context.Context, value any) error {
	m.mu.Lock()
	lease := m.lease
	m.mu.Unlock()
	if lease == 0 {
		return errors.New("announce links: no lease")
	}
	if _, err := m.store.Txn(ctx, nil, wire.Op{Put: linkKey + m.name, Value: value, Lease: lease}); err != nil {
		return fmt.Errorf("announce links: %w", err)
	}
	return nil
}

// Alive reports whether a controller's lease has not ended, as far as is known here.
func (m *Member) Alive(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.nodes[name]
	return ok
}

// Moves returns how often jobs were handed over within a time.
func (m *Member) Moves(within time.Duration) (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	from := time.Now().Add(-within).UnixMilli()
	for _, at := range m.moves.At {
		if at > from {
			n++
		}
	}
	return n
}

// Name returns this controller's name.
func (m *Member) Name() string { return m.name }

// ShardKey names the key that says who owns a shard.
func (m *Member) ShardKey(shard int) string { return keyOf(shard) }

func keyOf(shard int) string { return fmt.Sprintf("%s%03d", shardKey, shard) }

// Held returns how much longer the lease surely holds: it counts from the
// send of the last good touch, less drift.
func (m *Member) Held() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heldLocked()
}

func (m *Member) heldLocked() time.Duration {
	if m.lease == 0 {
		return 0
	}
	safe := m.ttl - time.Duration(float64(m.ttl)*driftRate) - slack
	return max(0, safe-time.Since(m.goodSend))
}

// Term returns the token that this controller answers workers with, or 0.
func (m *Member) Term() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.term
}

// Own returns the shards owned under a lease that surely holds, with the
// versions of their keys.
func (m *Member) Own() map[int]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heldLocked() <= 0 {
		return nil
	}
	return m.claimedLocked()
}

// Owns is Own for one shard; it is asked at every grant.
func (m *Member) Owns(shard int) (version uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heldLocked() <= 0 {
		return 0, false
	}
	version, ok = m.own[shard]
	return version, ok
}

// Claimed returns the shards this incarnation has claimed and not lost, even
// while its lease can't be shown to hold.
func (m *Member) Claimed() map[int]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.claimedLocked()
}

func (m *Member) claimedLocked() map[int]uint64 {
	out := make(map[int]uint64, len(m.own))
	for s, v := range m.own {
		out[s] = v
	}
	return out
}

// Owners returns the controllers known to own shards, the one with most first.
func (m *Member) Owners() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := map[string]int{}
	for _, r := range m.owners {
		count[r.Node]++
	}
	names := make([]string, 0, len(count))
	for n := range count {
		names = append(names, n)
	}
	sort.Slice(names, func(i, j int) bool {
		if count[names[i]] != count[names[j]] {
			return count[names[i]] > count[names[j]]
		}
		return names[i] < names[j]
	})
	return names
}

// Raise makes the term larger than above, and returns it. A term whose
// transaction was not surely applied by this incarnation is never used.
func (m *Member) Raise(ctx context.Context, above uint64) (uint64, error) {
	if err := m.startRaise(ctx); err != nil {
		return 0, err
	}
	defer m.endRaise()
	if t := m.Term(); t > above {
		return t, nil
	}
	if time.Since(m.refused) < raiseAgain {
		return 0, fmt.Errorf("raise term: refused just now: %w", statestore.ErrUnavailable)
	}
	t, err := m.raiseLocked(ctx, func(r termRecord) termRecord { return r.above(above) }, nil)
	if errors.Is(err, statestore.ErrUnavailable) {
		m.refused = time.Now()
	}
	return t, err
}

// raiseAgain is the time from a refused change of the term to the next. In an outage
// every report with a higher token asks for one: hundreds a second, where a leader has ended.
const raiseAgain = 250 * time.Millisecond

// Fresh takes a term that no token given out before is equal to or above, reserved ones
// included.
func (m *Member) Fresh(ctx context.Context) (uint64, error) {
	if err := m.startRaise(ctx); err != nil {
		return 0, err
	}
	defer m.endRaise()
	return m.raiseLocked(ctx, func(r termRecord) termRecord { return r.highest(0) }, nil)
}

// startRaise waits for its turn to change the term, but not beyond ctx.
func (m *Member) startRaise(ctx context.Context) error {
	select {
	case m.raising <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("raise term: %w", ctx.Err())
	}
}

func (m *Member) endRaise() { <-m.raising }

func (m *Member) raiseLocked(ctx context.Context, next func(termRecord) termRecord, with func(term uint64) ([]wire.Guard, []wire.Op)) (uint64, error) {
	rec, err := m.draw(ctx, next, with)
	if err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.term = max(m.term, rec.inUse())
	m.used = max(m.used, m.term)
	return m.term, nil
}

// draw changes the counter of terms, in one transaction with what with adds for the term
// that is then in use.
func (m *Member) draw(ctx context.Context, next func(termRecord) termRecord, with func(term uint64) ([]wire.Guard, []wire.Op)) (termRecord, error) {
	for n := 0; ; n++ {
		it, err := m.store.Get(ctx, termKey)
		var rec termRecord
		if err == nil {
			if err := json.Unmarshal(it.Value, &rec); err != nil {
				return rec, fmt.Errorf("read term: %w", err)
			}
		} else if !errors.Is(err, statestore.ErrNotFound) {
			return rec, fmt.Errorf("read term: %w", err)
		}
		rec = next(rec)
		guards := []wire.Guard{{Key: termKey, Version: it.Version}}
		ops := []wire.Op{{Put: termKey, Value: rec}}
		if with != nil {
			g, o := with(rec.inUse())
			guards, ops = append(guards, g...), append(ops, o...)
		}
		_, err = m.store.Txn(ctx, guards, ops...)
		var conflict *statestore.Conflict
		if errors.As(err, &conflict) && conflict.Has(termKey) {
			statestore.Backoff(ctx, n, 20*time.Millisecond, 200*time.Millisecond)
			continue
		}
		if errors.Is(err, statestore.ErrUnknown) && ctx.Err() == nil {
			// The number may be taken, now or later: the next one is read anew. A
			// take-over that gave up here began again from its start.
			statestore.Backoff(ctx, n, 20*time.Millisecond, 200*time.Millisecond)
			continue
		}
		if err != nil {
			return rec, fmt.Errorf("raise term: %w", err)
		}
		return rec, nil
	}
}

// Run joins, renews the lease, follows the others and claims shards until ctx
// ends. A lost lease makes a new incarnation.
func (m *Member) Run(ctx context.Context) error {
	watching := make(chan struct{})
	go func() {
		defer close(watching)
		m.store.Watch(ctx, prefix, 20*time.Second, m.reset, m.change)
	}()
	for n := 0; ctx.Err() == nil; n++ {
		if err := m.join(ctx); err != nil {
			m.log.Info("joining failed", "err", err)
			statestore.Backoff(ctx, n, 100*time.Millisecond, time.Second)
			continue
		}
		n = 0
		m.hold(ctx)
		m.lost()
	}
	<-watching
	m.reserving.Wait()
	return ctx.Err()
}

func (m *Member) join(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	key := nodeKey + m.name
	var old nodeRecord
	it, err := m.store.Get(ctx, key)
	if err == nil {
		if err := json.Unmarshal(it.Value, &old); err != nil {
			return fmt.Errorf("read %s: %w", key, err)
		}
		// The predecessor is dead, or is this process before it lost its
		// lease: its shards are freed at once instead of when the lease ends.
		if err := m.store.Revoke(ctx, old.Lease); err != nil && !errors.Is(err, statestore.ErrNotFound) {
			return fmt.Errorf("end predecessor's lease: %w", err)
		}
	} else if !errors.Is(err, statestore.ErrNotFound) {
		return fmt.Errorf("read %s: %w", key, err)
	}
	sent := time.Now()
	lease, err := m.store.Grant(ctx, m.ttl)
	if err != nil {
		return fmt.Errorf("open lease: %w", err)
	}
	rec := nodeRecord{Lease: lease, Joined: sent.UnixMilli()}
	m.mu.Lock()
	own := old.Lease != 0 && old.Lease == m.tried
	m.tried = lease
	m.mu.Unlock()
	switch {
	case own:
		rec.Short = old.Short // its own try, whose answer was lost: no life that was short
	case old.Lease != 0 && rec.Joined-old.Joined < shortLife.Milliseconds():
		rec.Short = old.Short + 1
	}
	if err := m.startRaise(ctx); err != nil {
		return fmt.Errorf("register: %w", err)
	}
	last := m.Term() // of this process's last incarnation; a reserved one may be above the counter's next
	term, err := m.raiseLocked(ctx, func(r termRecord) termRecord { return r.above(last) }, func(term uint64) ([]wire.Guard, []wire.Op) {
		rec.Term = term
		return []wire.Guard{{Key: key}}, []wire.Op{{Put: key, Value: rec, Lease: lease}}
	})
	m.endRaise()
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	m.mu.Lock()
	m.lease, m.goodSend, m.joinedAs, m.short = lease, sent, term, rec.Short
	m.own, m.limbo = map[int]uint64{}, map[int]uint64{}
	for s, r := range m.owners {
		if r.Lease == lease {
			// Handed over by a peer that saw the new lease before its own holder had the
			// answer: the watch told of it too early, and nobody would serve the shard.
			m.own[s] = m.newest[s]
		}
	}
	m.mu.Unlock()
	m.log.Info("joined", "lease", lease, "term", term)
	m.notify()
	return nil
}

func (m *Member) hold(ctx context.Context) {
	tick := time.NewTimer(m.ttl / 5)
	defer tick.Stop()
	var excessSince time.Time
	for {
		m.reclaim(ctx)
		m.claim(ctx)
		if m.excess() > 0 {
			if excessSince.IsZero() {
				excessSince = time.Now()
			} else if time.Since(excessSince) > m.ttl {
				m.release(ctx)
			}
		} else {
			excessSince = time.Time{}
		}
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
			continue
		case <-tick.C:
		}
		m.mu.Lock()
		lease := m.lease
		m.mu.Unlock()
		sent := time.Now()
		tctx, cancel := context.WithTimeout(ctx, m.ttl/4)
		err := m.store.Touch(tctx, lease)
		cancel()
		next := m.ttl / 5
		if errors.Is(err, statestore.ErrUnavailable) {
			next = m.ttl / 20 // refused at once, perhaps as one request too many
		}
		tick.Reset(next)
		switch {
		case err == nil:
			m.mu.Lock()
			was := m.heldLocked()
			m.goodSend = sent
			m.mu.Unlock()
			m.reserve(ctx)
			if was <= 0 {
				m.log.Info("lease holds again")
				m.notify()
			}
		case errors.Is(err, statestore.ErrNotFound):
			m.log.Info("lease lost", "lease", lease)
			return
		default:
			m.log.Debug("touch failed", "err", err)
		}
	}
}

func (m *Member) lost() {
	m.mu.Lock()
	m.lease, m.spare = 0, 0
	m.own, m.limbo = map[int]uint64{}, map[int]uint64{}
	m.mu.Unlock()
	m.notify()
}

// wanted is how many shards each owner should have.
func (m *Member) wantedLocked() int {
	n := max(1, min(m.spread, len(m.nodes)))
	return (m.shards + n - 1) / n
}

func (m *Member) excess() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.own) - m.wantedLocked()
}

// claim takes free shards, up to this controller's share, in one transaction:
// of two controllers that race, one takes them all.
func (m *Member) claim(ctx context.Context) {
	m.mu.Lock()
	var free []int
	room := m.wantedLocked() - len(m.own)
	if m.synced && m.heldLocked() > time.Second {
		behind := m.behindLocked()
		for s := 0; s < m.shards && len(free) < room; s++ {
			if _, taken := m.owners[s]; taken {
				continue
			}
			if at, seen := m.freed[s]; seen {
				if early := time.Until(at.Add(behind)); early > 0 {
					time.AfterFunc(early, m.poke)
					continue
				}
			}
			free = append(free, s)
		}
	}
	lease, term := m.lease, m.term
	m.mu.Unlock()
	if len(free) == 0 {
		return
	}
	unowned := make(map[int]uint64, len(free))
	for _, s := range free {
		unowned[s] = 0
	}
	guards, ops := assign(unowned, shardRecord{Node: m.name, Term: term, Lease: lease})
	cctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	rev, err := m.store.Txn(cctx, guards, ops...)
	if err != nil {
		m.log.Debug("claim failed", "shards", free, "err", err)
		return
	}
	m.mu.Lock()
	if m.lease == lease {
		for _, s := range free {
			m.own[s], m.newest[s] = rev, max(m.newest[s], rev)
			m.owners[s] = shardRecord{Node: m.name, Term: term, Lease: lease}
		}
	}
	m.mu.Unlock()
	m.log.Info("claimed shards", "shards", free)
	m.notify()
}

// assign is the transaction that writes who owns shards, if their keys still have
// these versions; 0: there is none.
func assign(shards map[int]uint64, to shardRecord) (guards []wire.Guard, ops []wire.Op) {
	for s, v := range shards {
		guards = append(guards, wire.Guard{Key: keyOf(s), Version: v})
		ops = append(ops, wire.Op{Put: keyOf(s), Value: to, Lease: to.Lease})
	}
	return guards, ops
}

// behindLocked is how long this controller leaves a freed shard to others: to those
// that joined after it, to one that may be coming back, and, if it ends again and
// again itself, to any that does not.
func (m *Member) behindLocked() time.Duration {
	n := 0
	wait := time.Duration(0)
	for name, r := range m.nodes {
		if name == m.name || !r.steady() {
			continue
		}
		if r.Term > m.joinedAs {
			n++
		}
		if m.short >= unsteady {
			wait = comingBack
		}
	}
	for name, at := range m.left {
		if _, back := m.nodes[name]; !back && time.Since(at) < comingBack && !m.flaps[name] {
			n++
			break
		}
	}
	return wait + time.Duration(n)*stagger
}

// HandOver gives all shards owned here to another controller, in one
// transaction that attaches their keys to its lease: nobody waits for a lease to
// end, and no shard has two owners. From the call on this controller owns
// nothing. After an error the shards are taken back by writing their keys again,
// which a late copy of the transaction can't survive.
func (m *Member) HandOver(ctx context.Context, to string) error {
	m.mu.Lock()
	peer, known := m.nodes[to]
	if !known || to == m.name || len(m.own) == 0 || m.heldLocked() <= 0 {
		m.mu.Unlock()
		return fmt.Errorf("hand over to %s: not there, or nothing to give", to)
	}
	given, lease := m.own, m.lease
	m.own = map[int]uint64{}
	maps.Copy(m.limbo, given)
	m.handing = true
	moves := movesRecord{append(slices.Clone(m.moves.At[max(0, len(m.moves.At)-maxMoves+1):]), time.Now().UnixMilli())}
	m.mu.Unlock()
	heir := shardRecord{Node: to, Term: peer.Term, Lease: peer.Lease}
	guards, ops := assign(given, heir)
	ops = append(ops, wire.Op{Put: movesKey, Value: moves})
	m.notify()
	cctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	rev, err := m.store.Txn(cctx, guards, ops...)
	m.mu.Lock()
	m.handing = false
	if m.lease == lease {
		for s, v := range given {
			if err == nil {
				m.newest[s] = max(m.newest[s], rev)
			}
			if m.limbo[s] != v {
				continue // the watch was faster
			}
			if err == nil {
				m.owners[s] = heir
				delete(m.limbo, s)
			}
		}
	}
	m.mu.Unlock()
	m.notify()
	if err != nil {
		return fmt.Errorf("hand over to %s: %w", to, err)
	}
	m.log.Info("handed over", "to", to, "shards", len(given))
	return nil
}

// reclaim takes back shards whose hand-over has an open outcome.
func (m *Member) reclaim(ctx context.Context) {
	m.mu.Lock()
	var shards map[int]uint64
	self := shardRecord{Node: m.name, Term: m.term, Lease: m.lease}
	if m.heldLocked() > time.Second && !m.handing {
		// While it is under way, this would race with it, and mostly win.
		shards = maps.Clone(m.limbo)
	}
	m.mu.Unlock()
	if len(shards) == 0 {
		return
	}
	guards, ops := assign(shards, self)
	cctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	rev, err := m.store.Txn(cctx, guards, ops...)
	var conflict *statestore.Conflict
	if err != nil && !errors.As(err, &conflict) {
		return // tried again
	}
	m.mu.Lock()
	if m.lease == self.Lease {
		for s := range shards {
			if conflict != nil && !conflict.Has(keyOf(s)) {
				// Given away by another transaction, whose outcome is still open: dropped
				// with the others, it would stay this controller's, and nobody would serve it.
				continue
			}
			delete(m.limbo, s)
			if err == nil {
				m.own[s] = rev
				m.owners[s] = self
			}
			// If it had been applied, all that the watch still brings of the time
			// before is late.
			m.newest[s] = max(m.newest[s], rev, shards[s]+1)
		}
	}
	left := len(m.limbo) > 0
	m.mu.Unlock()
	switch {
	case err == nil:
		m.notify()
	case left:
		m.poke()
	}
}

// release gives up shards beyond this controller's share. If the outcome is open they
// are taken back, as after a hand-over: else nobody might serve them.
func (m *Member) release(ctx context.Context) {
	m.mu.Lock()
	var guards []wire.Guard
	var ops []wire.Op
	given, lease := map[int]uint64{}, m.lease
	for s := m.shards - 1; s >= 0 && len(m.own) > m.wantedLocked(); s-- {
		if v, ok := m.own[s]; ok {
			delete(m.own, s)
			given[s] = v
			guards = append(guards, wire.Guard{Key: keyOf(s), Version: v})
			ops = append(ops, wire.Op{Delete: keyOf(s)})
		}
	}
	m.mu.Unlock()
	m.notify()
	cctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if _, err := m.store.Txn(cctx, guards, ops...); err != nil {
		m.log.Info("releasing shards failed", "err", err)
		m.mu.Lock()
		if m.lease == lease {
			maps.Copy(m.limbo, given)
		}
		m.mu.Unlock()
	}
}

func (m *Member) notify() {
	for _, f := range m.onChange {
		f()
	}
	m.poke()
}

func (m *Member) poke() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Member) reset(items []wire.Item) {
	m.mu.Lock()
	known := m.owners
	m.nodes, m.owners = map[string]nodeRecord{}, map[int]shardRecord{}
	for _, it := range items {
		m.applyLocked(it.Key, it.Value, it.Version)
		if s, ok := shardOf(it.Key); ok && it.Version < m.newest[s] {
			if r, ok := known[s]; ok {
				m.owners[s] = r // the listing is older than what is known
			}
		}
	}
	for s := range m.own {
		if r, ok := m.owners[s]; !ok || r.Node != m.name {
			// A listing may be older than the claim: keep what the claim
			// said, since every write is guarded anyway.
			m.owners[s] = shardRecord{Node: m.name, Term: m.term, Lease: m.lease}
		}
	}
	m.synced = true
	m.mu.Unlock()
	m.notify()
}

func (m *Member) change(events []wire.Event) {
	m.mu.Lock()
	relevant := false
	for _, e := range events {
		key := e.Put + e.Delete
		if key == termKey {
			m.sawTermLocked(e.Value)
			continue
		}
		if strings.HasPrefix(key, linkKey) {
			if e.Put != "" && m.onLink != nil {
				m.onLink(e.Value)
			}
			continue
		}
		relevant = true
		if e.Delete != "" {
			m.dropLocked(e.Delete, e.Version)
			continue
		}
		m.applyLocked(e.Put, e.Value, e.Version)
	}
	m.mu.Unlock()
	if relevant {
		m.notify()
	}
}

func (m *Member) applyLocked(key string, value json.RawMessage, version uint64) {
	switch {
	case key == termKey:
		m.sawTermLocked(value)
		return
	case key == movesKey:
		var r movesRecord
		if json.Unmarshal(value, &r) == nil {
			m.moves = r
		}
		return
	case strings.HasPrefix(key, linkKey) && m.onLink != nil:
		m.onLink(value)
		return
	}
	if name, ok := strings.CutPrefix(key, nodeKey); ok {
		var r nodeRecord
		if json.Unmarshal(value, &r) == nil {
			m.nodes[name] = r
		}
		return
	}
	s, ok := shardOf(key)
	var r shardRecord
	if !ok || json.Unmarshal(value, &r) != nil {
		return
	}
	if version < m.newest[s] {
		// Late news. An owner whose watch was behind took the news of its own
		// claim, after it had handed the shard over, for a new claim of its own.
		return
	}
	if v, out := m.limbo[s]; out {
		if version <= v {
			return // from before the hand-over, whose outcome is open
		}
		delete(m.limbo, s)
	}
	m.newest[s] = version
	m.owners[s] = r
	if m.lease != 0 && r.Lease == m.lease {
		// A claim whose answer was lost: without this, the shard would be
		// taken for ever by an owner that does not know of it.
		m.own[s] = max(m.own[s], version)
		return
	}
	if v, mine := m.own[s]; mine && version > v {
		delete(m.own, s) // somebody else wrote it since: it is no longer ours
	}
}

func (m *Member) dropLocked(key string, version uint64) {
	if name, ok := strings.CutPrefix(key, nodeKey); ok {
		r := m.nodes[name]
		m.flaps[name] = !r.steady()
		delete(m.nodes, name)
		m.left[name] = time.Now()
		return
	}
	if s, ok := shardOf(key); ok {
		if v, mine := m.own[s]; mine {
			if version <= v {
				return // an event from before the claim
			}
			delete(m.own, s)
		}
		if v, out := m.limbo[s]; out && version <= v || version < m.newest[s] {
			return
		}
		m.newest[s] = version
		delete(m.limbo, s)
		delete(m.owners, s)
		m.freed[s] = time.Now()
	}
}

func shardOf(key string) (int, bool) {
	rest, ok := strings.CutPrefix(key, shardKey)
	var s int
	if !ok {
		return 0, false
	}
	if _, err := fmt.Sscanf(rest, "%d", &s); err != nil {
		return 0, false
	}
	return s, true
}
