// Package quota leases parts of teams' limits, as recorded in the state service, for the
// shards of a leader, so that several leaders can start tasks of one team within its limit.
//
// A Manager watches the records, computes the needs of the leader's shards, and reads and
// writes records in the background. Package quotalease plans the writes; package jobstate
// checks whether a start is within the leased part. Limits are leased only if shards are
// spread over several leaders (LeasesQuota).
package quota

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/goccy/go-json"
	"golang.org/x/time/rate"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/periodic"
	"github.com/wallrack/wallrack/internal/quotalease"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	roundInterval = 200 * time.Millisecond // between computations of the needs
	// writeShare is the fraction of the state service's writes that a leader uses for quota
	// records, on average. A failover writes every record once, at once.
	writeShare = 0.05
)

// Manager leases parts of teams' limits for the shards of this leader. If limits are not
// leased, its methods do nothing. Its fields are guarded by the state's Mu, unless they say
// otherwise.
type Manager struct {
	state *jobstate.State
	store jobrecord.Store
	log   *slog.Logger

	enabled    bool                                         // limits are leased; never changes
	borrowers  [quotalease.RecordCount]*quotalease.Borrower // by record; nil: the record holds no team
	inFlight   [quotalease.RecordCount]bool                 // a request for the record is in flight
	nextRecord int                                          // record with which the next round begins
	writeLimit *rate.Limiter                                // of writes
	// unleasedVersion is the version of the latest log record, of any shard, whose writer did
	// not lease limits.
	unleasedVersion uint64

	wake     chan struct{}  // signals that there may be something to read or write; not guarded
	requests sync.WaitGroup // requests that Run has started; used by Run alone
}

// New returns the manager of a leader's leases, and connects it to the teams in state whose
// limits are leased.
func New(state *jobstate.State, store jobrecord.Store, log *slog.Logger) *Manager {
	m := &Manager{state: state, store: store, log: log, enabled: LeasesQuota(state.Operator)}
	if !m.enabled {
		return m
	}
	m.writeLimit = rate.NewLimiter(rate.Limit(max(1, writeShare*state.Platform.Params.State.WriteRPS)), quotalease.RecordCount)
	m.wake = make(chan struct{}, 1)
	for record, limits := range limitsByRecord(state.Teams) {
		if limits != nil {
			m.borrowers[record] = quotalease.New(limits, state.Operator.Shards)
		}
	}
	for name, team := range state.Teams {
		if jobstate.HasLeasableLimit(team.Team) {
			team.Leased = &jobstate.LeasedLimit{Team: name, Borrower: m.borrowers[quotalease.RecordOf(name)], UsedByShard: map[int]matching.Resources{}}
		}
	}
	return m
}

// limitsByRecord returns the limits that are leased, by the record that holds their parts.
func limitsByRecord(teams map[string]*jobstate.Team) (records [quotalease.RecordCount]map[string]quotalease.Amount) {
	for name, team := range teams {
		if !jobstate.HasLeasableLimit(team.Team) {
			continue
		}
		record := quotalease.RecordOf(name)
		if records[record] == nil {
			records[record] = map[string]quotalease.Amount{}
		}
		records[record][name] = jobstate.LimitOf(team.Team)
	}
	return records
}

// OwnershipChanged updates the leases for the shards that this controller leads. Call it
// whenever they change, before any task can start under the new leadership. The caller holds
// the state's Mu.
func (m *Manager) OwnershipChanged() {
	if !m.enabled {
		return
	}
	for _, borrower := range m.borrowers {
		if borrower != nil {
			borrower.SetShards(m.state.Loaded, m.unleasedVersion)
		}
	}
	jobstate.Notify(m.wake)
}

// Mark returns the quota mark of this leader's log records of a shard. The caller holds the
// state's Mu.
func (m *Manager) Mark(shard int) jobrecord.QuotaMark {
	if !m.enabled {
		return jobrecord.QuotaMark{}
	}
	for _, borrower := range m.borrowers {
		if borrower != nil && !borrower.Adopted(shard) {
			return jobrecord.QuotaMark{LeasesQuota: true, UnleasedVersion: m.unleasedVersion}
		}
	}
	return jobrecord.QuotaMark{LeasesQuota: true}
}

// NoteRecord evaluates the quota mark of a log record of an earlier leader, of any shard. A record
// without a readable mark was written by a leader that does not lease limits. The caller holds
// the state's Mu.
func (m *Manager) NoteRecord(item wire.Item) {
	if !m.enabled {
		return
	}
	var mark jobrecord.QuotaMark
	if err := json.Unmarshal(item.Value, &mark); err != nil || !mark.LeasesQuota {
		mark.UnleasedVersion = item.Version
	}
	m.unleasedVersion = max(m.unleasedVersion, mark.UnleasedVersion)
}

// Run borrows parts of the leased limits and gives them back until ctx ends, then waits for its
// requests. If limits are not leased, it returns at once.
func (m *Manager) Run(ctx context.Context) {
	if !m.enabled {
		return
	}
	defer m.requests.Wait()
	m.requests.Go(func() { m.watchRecords(ctx) })
	tick := time.NewTicker(roundInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-m.wake:
		}
		start := time.Now()
		m.round(ctx)
		// Like scheduling passes, rounds use a small share of the processor, however many teams
		// there are.
		periodic.Sleep(ctx, jobstate.PassPauseFactor*time.Since(start))
	}
}

// round starts the reads and writes that are due, as far as the write limit allows. It starts none
// if this controller leads no shard or its lease has expired.
func (m *Manager) round(ctx context.Context) {
	m.state.Mu.Lock()
	defer m.state.Mu.Unlock()
	// A successor may lead the shards already: planned writes would fail.
	if len(m.state.Loaded) == 0 || m.state.Membership.LeaseRemaining() <= 0 {
		return
	}
	now := time.Now()
	needs := m.currentNeeds(now)
	first := m.nextRecord
	for i := range quotalease.RecordCount {
		record := (first + i) % quotalease.RecordCount
		borrower := m.borrowers[record]
		if borrower == nil || m.inFlight[record] {
			continue
		}
		if m.writeLimit.Tokens() < 1 {
			m.nextRecord = record
			return
		}
		if borrower.NeedsReread() {
			m.startRequest(record, func() { m.reread(ctx, record) })
			continue
		}
		write, ok := borrower.Plan(now, func(shard int, team string) quotalease.Need { return needs[shardTeam{shard, team}] })
		if ok {
			m.startRequest(record, func() { m.write(ctx, record, write) })
		}
	}
}

// startRequest sends a request for a record in the background; Run waits for it.
func (m *Manager) startRequest(record int, send func()) {
	m.writeLimit.Allow() // round has checked that there is a token
	m.inFlight[record] = true
	m.requests.Go(send)
}
