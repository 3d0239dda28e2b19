package membership

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// raiseAgain is the time from a refused change of the term to the next. In an outage
// every report with a higher token asks for one: hundreds a second, where a leader has ended.
const raiseAgain = 250 * time.Millisecond

// FencingToken returns the token that this controller answers workers with, or 0.
func (m *Member) FencingToken() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.token
}

// RaiseTokenAbove makes the term larger than above, and returns it. A term whose
// transaction was not surely applied by this incarnation is never used.
func (m *Member) RaiseTokenAbove(ctx context.Context, above uint64) (uint64, error) {
	if err := m.startRaise(ctx); err != nil {
		return 0, err
	}
	defer m.endRaise()
	if t := m.FencingToken(); t > above {
		return t, nil
	}
	if time.Since(m.refused) < raiseAgain {
		return 0, fmt.Errorf("raise term: refused just now: %w", statestore.ErrUnavailable)
	}
	t, err := m.raiseLocked(ctx, func(r tokenRecord) tokenRecord { return r.above(above) }, nil)
	if errors.Is(err, statestore.ErrUnavailable) {
		m.refused = time.Now()
	}
	return t, err
}

// NextToken takes a term that no token given out before is equal to or above, reserved ones
// included.
func (m *Member) NextToken(ctx context.Context) (uint64, error) {
	if err := m.startRaise(ctx); err != nil {
		return 0, err
	}
	defer m.endRaise()
	return m.raiseLocked(ctx, func(r tokenRecord) tokenRecord { return r.highest(0) }, nil)
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

func (m *Member) raiseLocked(ctx context.Context, next func(tokenRecord) tokenRecord, with func(term uint64) ([]wire.Guard, []wire.Op)) (uint64, error) {
	rec, err := m.draw(ctx, next, with)
	if err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.token = max(m.token, rec.inUse())
	m.used = max(m.used, m.token)
	return m.token, nil
}

// draw changes the counter of terms, in one transaction with what with adds for the term
// that is then in use.
func (m *Member) draw(ctx context.Context, next func(tokenRecord) tokenRecord, with func(term uint64) ([]wire.Guard, []wire.Op)) (tokenRecord, error) {
	for n := 0; ; n++ {
		it, err := m.store.Get(ctx, tokenKey)
		var rec tokenRecord
		if err == nil {
			if err := json.Unmarshal(it.Value, &rec); err != nil {
				return rec, fmt.Errorf("read term: %w", err)
			}
		} else if !errors.Is(err, statestore.ErrNotFound) {
			return rec, fmt.Errorf("read term: %w", err)
		}
		rec = next(rec)
		guards := []wire.Guard{{Key: tokenKey, Version: it.Version}}
		ops := []wire.Op{{Put: tokenKey, Value: rec}}
		if with != nil {
			g, o := with(rec.inUse())
			guards, ops = append(guards, g...), append(ops, o...)
		}
		_, err = m.store.Txn(ctx, guards, ops...)
		var conflict *statestore.Conflict
		if errors.As(err, &conflict) && conflict.Has(tokenKey) {
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
