// Package quota leases parts of teams' limits, as recorded in the state service, for the
// shards of a leader, so that several leaders can start tasks of one team within its limit.
// The decisions are made by package quotalease; this package carries them out.
package quota

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/goccy/go-json"
	"golang.org/x/time/rate"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
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

// Manager leases parts of teams' limits for the shards of this leader, when limits are leased
// at all. Its fields are guarded by the state's Mu.
type Manager struct {
	state *jobstate.State
	store jobrecord.Store
	log   *slog.Logger

	enabled bool
	sides   [quotalease.Records]*quotalease.Borrower // nil: the record holds no team
	busy    [quotalease.Records]bool                 // a request for it is under way
	next    int                                      // the record to begin the next round with
	pace    *rate.Limiter                            // of writes
	// unleased is the version of the latest log record, of any shard, whose writer did not
	// lease limits.
	unleased uint64
	wake     chan struct{}
}

// New returns the manager of a leader's leases, and makes the teams of the state use them.
func New(state *jobstate.State, store jobrecord.Store, log *slog.Logger) *Manager {
	m := &Manager{state: state, store: store, log: log, enabled: LeasesQuota(state.Operator)}
	if !m.enabled {
		return m
	}
	limits := [quotalease.Records]map[string]quotalease.Amount{}
	for name, team := range state.Teams {
		if !jobstate.Lends(team.Team) {
			continue
		}
		n := quotalease.RecordOf(name)
		if limits[n] == nil {
			limits[n] = map[string]quotalease.Amount{}
		}
		limits[n][name] = jobstate.LimitOf(team.Team)
	}
	m.pace = rate.NewLimiter(rate.Limit(max(1, lendShare*state.Platform.Params.State.WriteRPS)), quotalease.Records)
	m.wake = make(chan struct{}, 1)
	for n := range limits {
		if limits[n] != nil {
			m.sides[n] = quotalease.New(limits[n], state.Operator.Shards)
		}
	}
	for name, team := range state.Teams {
		if jobstate.Lends(team.Team) {
			team.Leased = &jobstate.LeasedLimit{Team: name, Borrower: m.sides[quotalease.RecordOf(name)], UsedByShard: map[int]matching.Resources{}}
		}
	}
	return m
}

// lendShards tells the lender which shards are owned. It is called whenever they change,
// before anything can start under the new ones.
func (m *Manager) OwnershipChanged() {
	if !m.enabled {
		return
	}
	for _, side := range m.sides {
		if side != nil {
			side.SetShards(m.state.Loaded, m.unleased)
		}
	}
	jobstate.Notify(m.wake)
}

// lendMark returns the mark of this owner's log records for a shard.
func (m *Manager) Mark(shard int) jobrecord.QuotaMark {
	if !m.enabled {
		return jobrecord.QuotaMark{}
	}
	for _, side := range m.sides {
		if side != nil && !side.Adopted(shard) {
			return jobrecord.QuotaMark{LeasesQuota: true, UnleasedVersion: m.unleased}
		}
	}
	return jobrecord.QuotaMark{LeasesQuota: true}
}

// lookForUnborrowed notes a log record of an owner that does not lend.
func (m *Manager) NoteRecord(it wire.Item) {
	if !m.enabled {
		return
	}
	var mark jobrecord.QuotaMark
	if err := json.Unmarshal(it.Value, &mark); err != nil || !mark.LeasesQuota {
		mark.UnleasedVersion = it.Version
	}
	m.unleased = max(m.unleased, mark.UnleasedVersion)
}

// lend borrows and returns parts until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	if !m.enabled {
		return
	}
	go m.watchLent(ctx)
	tick := time.NewTicker(lendEvery)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-m.wake:
		}
		start := time.Now()
		m.lendRound(ctx)
		// As passes: a small part of the processor, however many teams there are.
		select {
		case <-ctx.Done():
		case <-time.After(jobstate.PassShare * time.Since(start)):
		}
	}
}

// watchLent follows the records.
func (m *Manager) watchLent(ctx context.Context) {
	m.store.Watch(ctx, quotalease.Prefix, 20*time.Second, func(items []wire.Item) {
		for _, it := range items {
			m.lentNews(it)
		}
		jobstate.Notify(m.wake)
	}, func(events []wire.Event) {
		for _, e := range events {
			if e.Put != "" {
				m.lentNews(wire.Item{Key: e.Put, Value: e.Value, Version: e.Version})
			}
		}
		jobstate.Notify(m.wake)
	})
}

func (m *Manager) lentNews(it wire.Item) {
	m.state.Mu.Lock()
	defer m.state.Mu.Unlock()
	for n, side := range m.sides {
		if side != nil && quotalease.Key(n) == it.Key {
			if r, ok := m.readLent(it); ok {
				m.heardLent(it.Key, side, func() { side.Observe(r, it.Version, it.Version) })
			}
		}
	}
}

// readLent reads a record; one that can't be read is counted and said.
func (m *Manager) readLent(it wire.Item) (quotalease.Record, bool) {
	if it.Version == 0 {
		return quotalease.Record{}, true
	}
	r, err := quotalease.Parse(it.Value, m.state.Operator.Shards)
	if err != nil {
		m.state.Stats.QuotaRecordsRefused++
		m.log.Error("record of lent limits refused", "key", it.Key, "err", err)
		return r, false
	}
	return r, true
}

// heardLent has a side take a record, counts and says what it refused of it.
func (m *Manager) heardLent(key string, side *quotalease.Borrower, take func()) {
	before := side.UnknownEntries
	take()
	if n := side.UnknownEntries - before; n > 0 {
		m.state.Stats.QuotaRecordsRefused += n
		m.log.Warn("unknown terms or teams in a record of lent limits", "key", key, "refused", n)
	}
	jobstate.Notify(m.state.PlanSignal)
}

// lendRound sends what is to be written, as far as the pace allows.
func (m *Manager) lendRound(ctx context.Context) {
	m.state.Mu.Lock()
	defer m.state.Mu.Unlock()
	// A successor may own the shards already: what was planned could not be written.
	if len(m.state.Loaded) == 0 || m.state.Member.LeaseRemaining() <= 0 {
		return
	}
	now := time.Now()
	needs := m.lentNeeds(now)
	first := m.next
	for i := range quotalease.Records {
		n := (first + i) % quotalease.Records
		side := m.sides[n]
		if side == nil || m.busy[n] {
			continue
		}
		if m.pace.Tokens() < 1 {
			m.next = n
			return
		}
		if side.NeedsReread() {
			m.pace.Allow()
			m.busy[n] = true
			go m.rereadLent(ctx, n)
			continue
		}
		w, ok := side.Plan(now, func(shard int, team string) quotalease.Need { return needs[quotaKey{shard, team}] })
		if ok {
			m.pace.Allow()
			m.busy[n] = true
			go m.writeLent(ctx, n, w)
		}
	}
}

type quotaKey struct {
	shard int
	team  string
}

// lentNeeds is what this owner's shards need of the limits that are lent.
func (m *Manager) lentNeeds(now time.Time) map[quotaKey]quotalease.Need {
	m.state.Now = now
	needs := map[quotaKey]quotalease.Need{}
	for _, team := range m.state.Teams {
		if team.Leased == nil {
			continue
		}
		for shard, use := range team.Leased.UsedByShard {
			if a := jobstate.AmountOf(use); !a.Zero() {
				needs[quotaKey{shard, team.Leased.Team}] = quotalease.Need{Use: a, Demand: a}
			}
		}
	}
	for _, job := range m.state.JobOrder {
		if job.Team.Leased == nil || job.Cancelled || job.EndStage != "" || now.Before(job.NotBefore) {
			continue
		}
		n := m.state.WantedTasks(job)
		for _, ps := range job.Placements {
			for _, placement := range ps {
				if !placement.MayRun() && !placement.Exited {
					n++
				}
			}
		}
		if n == 0 {
			continue
		}
		key := quotaKey{job.Shard, job.Team.Leased.Team}
		need := needs[key]
		need.Demand = need.Demand.Add(jobstate.AmountOf(job.Resources.Scale(float64(n))))
		unit := jobstate.AmountOf(job.Resources)
		if job.Spec.Gang() {
			unit = jobstate.AmountOf(job.Resources.Scale(float64(n)))
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
func (m *Manager) writeLent(ctx context.Context, n int, w quotalease.Write) {
	guards := []wire.Guard{{Key: quotalease.Key(n), Version: w.Guard}}
	for _, s := range slices.Sorted(maps.Keys(w.Shards)) {
		guards = append(guards, wire.Guard{Key: m.state.Member.ShardKey(s), Version: w.Shards[s]})
	}
	tctx, cancel := context.WithTimeout(ctx, jobrecord.TxnTimeout)
	defer cancel()
	rev, err := m.store.Txn(tctx, guards, wire.Op{Put: quotalease.Key(n), Value: w.Record})
	m.state.Mu.Lock()
	defer m.state.Mu.Unlock()
	m.busy[n] = false
	side := m.sides[n]
	var conflict *statestore.Conflict
	switch {
	case err == nil:
		side.Applied(w, rev)
		jobstate.Notify(m.state.PlanSignal)
	case errors.As(err, &conflict):
		side.Rejected(w)
		jobstate.Notify(m.wake)
	default:
		m.log.Debug("no answer to a write of lent limits", "key", quotalease.Key(n), "err", err)
	}
}

// rereadLent reads a record anew after a write of it was refused.
func (m *Manager) rereadLent(ctx context.Context, n int) {
	rctx, cancel := context.WithTimeout(ctx, jobrecord.TxnTimeout)
	defer cancel()
	it, err := m.store.Get(rctx, quotalease.Key(n))
	m.state.Mu.Lock()
	defer m.state.Mu.Unlock()
	m.busy[n] = false
	if err != nil && !errors.Is(err, statestore.ErrNotFound) {
		return
	}
	it.Key = quotalease.Key(n)
	if r, ok := m.readLent(it); ok {
		side := m.sides[n]
		m.heardLent(it.Key, side, func() { side.Reread(r, it.Version, it.Version) })
		jobstate.Notify(m.wake)
	}
}
