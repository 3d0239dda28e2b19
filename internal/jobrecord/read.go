package jobrecord

import (
	"context"
	"fmt"

	"github.com/goccy/go-json"
)

// ReadLive reads a living job's record and its version. The error is
// statestore.ErrNotFound if the job ended or was never accepted.
func ReadLive(ctx context.Context, store Reader, uid string) (r LiveRecord, version uint64, err error) {
	it, err := store.Get(ctx, LivePrefix+uid)
	if err != nil {
		return r, 0, err
	}
	if err := json.Unmarshal(it.Value, &r); err != nil {
		return r, 0, fmt.Errorf("read job: %w", err)
	}
	return r, it.Version, nil
}

// ReadFinal reads the record of a job that ended. The error is statestore.ErrNotFound if
// there is none.
func ReadFinal(ctx context.Context, store Reader, uid string) (r FinalRecord, err error) {
	it, err := store.Get(ctx, FinalPrefix+uid)
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(it.Value, &r); err != nil {
		return r, fmt.Errorf("read job: %w", err)
	}
	return r, nil
}
