package scheduler

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/goccy/go-json"
	"golang.org/x/time/rate"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/quotalease"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	lendEvery = 200 * time.Millisecond // between looks at what is needed
	// lendShare is the part of the state service's writes that an owner uses to borrow,
	// on average. A takeover writes every record once, at once.
	lendShare = 0.05
)

// LeasesQuota reports whether limits are lent to several owners: then a team's jobs need not
// belong to one shard.
func LeasesQuota(op *config.Operator) bool { return op.Spread > 1 }

// lends reports whether the team's limit is one that is lent. What has only a guarantee
// stays together: there is nothing to lend.
func lends(t config.Team) bool { return t.CPUsMax > 0 || t.GPUsMax > 0 }

// AssignShard says which shard a new job belongs to. The job's record keeps it, so that jobs
// that were accepted under another setting stay where they are.
func AssignShard(job *wire.Job, teams []config.Team, op *config.Operator) int {
	if LeasesQuota(op) {
		apart := make([]config.Team, 0, len(teams))
		for _, t := range teams {
			if !lends(t) {
				apart = append(apart, t)
			}
		}
		teams = apart
	}
	return HashShard(job, teams, op.Shards)
}

func limitOf(t config.Team) quotalease.Amount { return quotalease.LimitOf(t.CPUsMax, t.GPUsMax) }

// CheckQuotaRecords reports an error if the records of lent limits may not hold all parts.
func CheckQuotaRecords(cfg *config.Platform, op *config.Operator) error {
	if !LeasesQuota(op) {
		return nil
	}
	limits := map[string]quotalease.Amount{}
	for _, t := range cfg.Params.Teams {
		if lends(t) {
			limits[t.Name] = limitOf(t)
		}
	}
	if err := quotalease.CheckSize(limits, op.Shards, valueBytes(cfg)); err != nil {
		return fmt.Errorf("params.teams: %w", err)
	}
	return nil
}

// LeasedLimit is what an owner knows of a team whose limit it borrows parts of.
type LeasedLimit struct {
	Team        string
	Borrower    *quotalease.Borrower
	UsedByShard map[int]matching.Resources // of all that may be on, by shard
}

func (t *LeasedLimit) Count(shard int, shape matching.Resources, sign float64) {
	t.UsedByShard[shard] = t.UsedByShard[shard].Add(shape, sign)
}

func amountOf(s matching.Resources) quotalease.Amount { return quotalease.AmountOf(s.CPUs, s.GPUs) }

// Allows reports whether the tasks of a shard may use so much.
func (t *Team) Allows(shard int, use matching.Resources) bool {
	return t.ExceededLimit(shard, use) == ""
}

// ExceededLimit says which kind of the team's limit does not let the tasks of a shard use so much,
// or "".
func (t *Team) ExceededLimit(shard int, use matching.Resources) string {
	a, c := amountOf(use), t.Leased.Borrower.Ceiling(shard, t.Leased.Team)
	for kind, limit := range limitOf(t.Team) {
		if limit > 0 && a[kind] > c[kind] {
			return [...]string{jobspec.ReasonLimitCPU, jobspec.ReasonLimitGPU}[kind]
		}
	}
	return ""
}

// BelowGuarantee reports whether a shard's tasks use less than its share of the team's guarantee.
// A whole task may go beyond: else a share smaller than one task would favour nothing.
func (t *Team) BelowGuarantee(shard int) bool {
	share := t.Leased.Borrower.GuaranteeShare(shard, t.Leased.Team)
	use := t.Leased.UsedByShard[shard]
	return t.CPUs > 0 && use.CPUs < t.CPUs*share-1e-6 || t.GPUs > 0 && use.GPUs < t.GPUs*share-1e-6
}

// lender borrows parts of limits for the shards of this owner.
type lender struct {
	sides [quotalease.Records]*quotalease.Borrower // nil: the record holds no team
	busy  [quotalease.Records]bool                 // a request for it is under way
	next  int                                      // the record to begin the next round with
	pace  *rate.Limiter                            // of writes
	// unborrowed is the version of the latest log record, of any shard, that an owner wrote
	// that did not lend.
	unborrowed uint64
	wake       chan struct{}
}

func newLender(cfg *config.Platform, op *config.Operator, teams map[string]*Team) *lender {
	limits := [quotalease.Records]map[string]quotalease.Amount{}
	for name, t := range teams {
		if !lends(t.Team) {
			continue
		}
		n := quotalease.RecordOf(name)
		if limits[n] == nil {
			limits[n] = map[string]quotalease.Amount{}
		}
		limits[n][name] = limitOf(t.Team)
	}
	l := &lender{pace: rate.NewLimiter(rate.Limit(max(1, lendShare*cfg.Params.State.WriteRPS)), quotalease.Records), wake: make(chan struct{}, 1)}
	for n := range limits {
		if limits[n] != nil {
			l.sides[n] = quotalease.New(limits[n], op.Shards)
		}
	}
	for name, t := range teams {
		if lends(t.Team) {
			t.Leased = &LeasedLimit{Team: name, Borrower: l.sides[quotalease.RecordOf(name)], UsedByShard: map[int]matching.Resources{}}
		}
	}
	return l
}

// lendShards tells the lender which shards are owned. It is called whenever they change,
// before anything can start under the new ones.
func (o *Scheduler) lendShards() {
	if o.lender == nil {
		return
	}
	for _, side := range o.lender.sides {
		if side != nil {
			side.SetShards(o.loaded, o.lender.unborrowed)
		}
	}
	poke(o.lender.wake)
}

// QuotaMark is what a log record says of its writer. A later owner could not tell otherwise
// that the rows of lent limits are from before an owner that did not lend started more.
type QuotaMark struct {
	LeasesQuota bool `json:"l,omitempty"` // it starts tasks within lent parts only
	// UnleasedVersion is the version of the latest record of one that does not, while that is
	// not made good in the rows yet: the log record itself may be written over.
	UnleasedVersion uint64 `json:"u,omitempty"`
}

// lendMark returns the mark of this owner's log records for a shard.
func (o *Scheduler) lendMark(shard int) QuotaMark {
	if o.lender == nil {
		return QuotaMark{}
	}
	for _, side := range o.lender.sides {
		if side != nil && !side.Adopted(shard) {
			return QuotaMark{LeasesQuota: true, UnleasedVersion: o.lender.unborrowed}
		}
	}
	return QuotaMark{LeasesQuota: true}
}

// lookForUnborrowed notes a log record of an owner that does not lend.
func (o *Scheduler) lookForUnborrowed(it wire.Item) {
	if o.lender == nil {
		return
	}
	var mark QuotaMark
	if err := json.Unmarshal(it.Value, &mark); err != nil || !mark.LeasesQuota {
		mark.UnleasedVersion = it.Version
	}
	o.lender.unborrowed = max(o.lender.unborrowed, mark.UnleasedVersion)
}

// lend borrows and returns parts until ctx ends.
func (o *Scheduler) lend(ctx context.Context) {
	if o.lender == nil {
		return
	}
	go o.watchLent(ctx)
	tick := time.NewTicker(lendEvery)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-o.lender.wake:
		}
		start := time.Now()
		o.lendRound(ctx)
		// As passes: a small part of the processor, however many teams there are.
		select {
		case <-ctx.Done():
		case <-time.After(passShare * time.Since(start)):
		}
	}
}

// watchLent follows the records.
func (o *Scheduler) watchLent(ctx context.Context) {
	o.store.Watch(ctx, quotalease.Prefix, 20*time.Second, func(items []wire.Item) {
		for _, it := range items {
			o.lentNews(it)
		}
		poke(o.lender.wake)
	}, func(events []wire.Event) {
		for _, e := range events {
			if e.Put != "" {
				o.lentNews(wire.Item{Key: e.Put, Value: e.Value, Version: e.Version})
			}
		}
		poke(o.lender.wake)
	})
}

func (o *Scheduler) lentNews(it wire.Item) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for n, side := range o.lender.sides {
		if side != nil && quotalease.Key(n) == it.Key {
			if r, ok := o.readLent(it); ok {
				o.heardLent(it.Key, side, func() { side.Observe(r, it.Version, it.Version) })
			}
		}
	}
}

// readLent reads a record; one that can't be read is counted and said.
func (o *Scheduler) readLent(it wire.Item) (quotalease.Record, bool) {
	if it.Version == 0 {
		return quotalease.Record{}, true
	}
	r, err := quotalease.Parse(it.Value, o.op.Shards)
	if err != nil {
		o.stats.QuotaRecordsRefused++
		o.log.Error("record of lent limits refused", "key", it.Key, "err", err)
		return r, false
	}
	return r, true
}

// heardLent has a side take a record, counts and says what it refused of it.
func (o *Scheduler) heardLent(key string, side *quotalease.Borrower, take func()) {
	before := side.UnknownEntries
	take()
	if n := side.UnknownEntries - before; n > 0 {
		o.stats.QuotaRecordsRefused += n
		o.log.Warn("unknown terms or teams in a record of lent limits", "key", key, "refused", n)
	}
	poke(o.wake)
}

// lendRound sends what is to be written, as far as the pace allows.
func (o *Scheduler) lendRound(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	// A successor may own the shards already: what was planned could not be written.
	if len(o.loaded) == 0 || o.member.LeaseRemaining() <= 0 {
		return
	}
	l := o.lender
	now := time.Now()
	needs := o.lentNeeds(now)
	first := l.next
	for i := range quotalease.Records {
		n := (first + i) % quotalease.Records
		side := l.sides[n]
		if side == nil || l.busy[n] {
			continue
		}
		if l.pace.Tokens() < 1 {
			l.next = n
			return
		}
		if side.NeedsReread() {
			l.pace.Allow()
			l.busy[n] = true
			go o.rereadLent(ctx, n)
			continue
		}
		w, ok := side.Plan(now, func(shard int, team string) quotalease.Need { return needs[quotaKey{shard, team}] })
		if ok {
			l.pace.Allow()
			l.busy[n] = true
			go o.writeLent(ctx, n, w)
		}
	}
}

type quotaKey struct {
	shard int
	team  string
}

// lentNeeds is what this owner's shards need of the limits that are lent.
func (o *Scheduler) lentNeeds(now time.Time) map[quotaKey]quotalease.Need {
	o.now = now
	needs := map[quotaKey]quotalease.Need{}
	for _, t := range o.teams {
		if t.Leased == nil {
			continue
		}
		for shard, use := range t.Leased.UsedByShard {
			if a := amountOf(use); !a.Zero() {
				needs[quotaKey{shard, t.Leased.Team}] = quotalease.Need{Use: a, Demand: a}
			}
		}
	}
	for _, j := range o.order {
		if j.Team.Leased == nil || j.Cancelled || j.EndStage != "" || now.Before(j.NotBefore) {
			continue
		}
		n := o.wants(j)
		for _, ps := range j.Placements {
			for _, p := range ps {
				if !p.MayRun() && !p.Exited {
					n++
				}
			}
		}
		if n == 0 {
			continue
		}
		key := quotaKey{j.Shard, j.Team.Leased.Team}
		need := needs[key]
		need.Demand = need.Demand.Add(amountOf(j.Resources.Scale(float64(n))))
		unit := amountOf(j.Resources)
		if j.Spec.Gang() {
			unit = amountOf(j.Resources.Scale(float64(n)))
		}
		if need.Unit.Zero() || unit.Smaller(need.Unit) {
			need.Unit = unit
		}
		needs[key] = need
	}
	return needs
}

// writeLent carries out a write of a record. If nothing is heard of it, it is repeated as
// it was.
func (o *Scheduler) writeLent(ctx context.Context, n int, w quotalease.Write) {
	guards := []wire.Guard{{Key: quotalease.Key(n), Version: w.Guard}}
	for _, s := range slices.Sorted(maps.Keys(w.Shards)) {
		guards = append(guards, wire.Guard{Key: o.member.ShardKey(s), Version: w.Shards[s]})
	}
	tctx, cancel := context.WithTimeout(ctx, txnTimeout)
	defer cancel()
	rev, err := o.store.Txn(tctx, guards, wire.Op{Put: quotalease.Key(n), Value: w.Record})
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lender.busy[n] = false
	side := o.lender.sides[n]
	var conflict *statestore.Conflict
	switch {
	case err == nil:
		side.Applied(w, rev)
		poke(o.wake)
	case errors.As(err, &conflict):
		side.Rejected(w)
		poke(o.lender.wake)
	default:
		o.log.Debug("no answer to a write of lent limits", "key", quotalease.Key(n), "err", err)
	}
}

// rereadLent reads a record anew after a write of it was refused.
func (o *Scheduler) rereadLent(ctx context.Context, n int) {
	rctx, cancel := context.WithTimeout(ctx, txnTimeout)
	defer cancel()
	it, err := o.store.Get(rctx, quotalease.Key(n))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lender.busy[n] = false
	if err != nil && !errors.Is(err, statestore.ErrNotFound) {
		return
	}
	it.Key = quotalease.Key(n)
	if r, ok := o.readLent(it); ok {
		side := o.lender.sides[n]
		o.heardLent(it.Key, side, func() { side.Reread(r, it.Version, it.Version) })
		poke(o.lender.wake)
	}
}
