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

// raiseInterval is the time from an attempt to raise the fencing token that failed with
// statestore.ErrUnavailable to the next attempt. Without it, in
// an outage, every heartbeat with a higher token would cause an attempt: hundreds a second if a
// leader has ended.
const raiseInterval = 250 * time.Millisecond

// counterUpdate returns the counter of fencing tokens after a token is drawn.
type counterUpdate func(counter tokenRecord) tokenRecord

// FencingToken returns the token that this controller's responses to workers carry;
// 0 before it has joined.
func (m *Member) FencingToken() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.token
}

// RaiseTokenAbove returns a fencing token of this controller that is larger than the parameter
// above. It draws a new one only if the present one is too small. A drawn token is used only if
// this process knows that the transaction that drew it was applied; after an unknown outcome
// another token is drawn. For raiseInterval after an attempt has failed with
// statestore.ErrUnavailable, it returns that error without a request.
func (m *Member) RaiseTokenAbove(ctx context.Context, above uint64) (uint64, error) {
	if err := m.lockToken(ctx); err != nil {
		return 0, err
	}
	defer m.unlockToken()
	if token := m.FencingToken(); token > above {
		return token, nil
	}
	if time.Since(m.raiseRefusedAt) < raiseInterval {
		return 0, fmt.Errorf("raise fencing token: refused just now: %w", statestore.ErrUnavailable)
	}
	token, err := m.raiseToken(ctx, func(counter tokenRecord) tokenRecord { return counter.withTokenAbove(above) }, nil)
	if errors.Is(err, statestore.ErrUnavailable) {
		m.raiseRefusedAt = time.Now()
	}
	return token, err
}

// NextToken draws and returns a fencing token larger than all drawn before, reserved ones
// included.
func (m *Member) NextToken(ctx context.Context) (uint64, error) {
	if err := m.lockToken(ctx); err != nil {
		return 0, err
	}
	defer m.unlockToken()
	return m.raiseToken(ctx, func(counter tokenRecord) tokenRecord { return counter.withHighestToken(0) }, nil)
}

// lockToken waits until no other change of the fencing token is in progress, or ctx ends.
func (m *Member) lockToken(ctx context.Context) error {
	select {
	case m.tokenLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("raise fencing token: %w", ctx.Err())
	}
}

func (m *Member) unlockToken() { <-m.tokenLock }

// raiseToken draws a token and makes it this controller's. It is called between lockToken and
// unlockToken.
func (m *Member) raiseToken(ctx context.Context, next counterUpdate, extra func(token uint64) wire.Txn) (uint64, error) {
	counter, err := m.updateCounter(ctx, next, extra)
	if err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.token = max(m.token, counter.highestInUse())
	m.highestTokenInUse = max(m.highestTokenInUse, m.token)
	return m.token, nil
}

// updateCounter applies next to the counter of fencing tokens and returns the result. The
// transaction also contains the conditions and operations that extra returns for the highest token
// then in use; extra may be nil. After a concurrent change of the counter or an unknown outcome
// it reads the counter and tries again.
func (m *Member) updateCounter(ctx context.Context, next counterUpdate, extra func(token uint64) wire.Txn) (tokenRecord, error) {
	for attempt := 0; ; attempt++ {
		counter, version, err := m.readCounter(ctx)
		if err != nil {
			return counter, fmt.Errorf("read fencing token: %w", err)
		}
		counter = next(counter)
		guards := []wire.Guard{{Key: tokenKey, Version: version}}
		ops := []wire.Op{{Put: tokenKey, Value: counter}}
		if extra != nil {
			txn := extra(counter.highestInUse())
			guards, ops = append(guards, txn.If...), append(ops, txn.Then...)
		}
		if _, err = m.store.Txn(ctx, guards, ops...); err == nil {
			return counter, nil
		}
		var conflict *statestore.ConflictError
		conflicted := errors.As(err, &conflict) && conflict.Has(tokenKey)
		// After an unknown outcome the token may have been drawn or may still be drawn: the counter is
		// read again and the next token drawn. A failover that gave up here would start over.
		outcomeUnknown := errors.Is(err, statestore.ErrUnknown) && ctx.Err() == nil
		if !conflicted && !outcomeUnknown {
			return counter, fmt.Errorf("raise fencing token: %w", err)
		}
		statestore.Backoff(ctx, attempt, 20*time.Millisecond, 200*time.Millisecond)
	}
}

// readCounter reads the counter of fencing tokens; it and its version are zero if
// there is none.
func (m *Member) readCounter(ctx context.Context) (counter tokenRecord, version uint64, err error) {
	item, err := m.store.Get(ctx, tokenKey)
	if errors.Is(err, statestore.ErrNotFound) {
		return counter, item.Version, nil
	}
	if err != nil {
		return counter, 0, err
	}
	err = json.Unmarshal(item.Value, &counter)
	return counter, item.Version, err
}
