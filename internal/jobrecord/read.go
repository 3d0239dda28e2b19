package jobrecord

import (
	"context"
	"fmt"

	"github.com/goccy/go-json"
)

// ReadLive reads a job's live record and the record's version. The error wraps
// statestore.ErrNotFound if the job has ended or was never accepted.
func ReadLive(ctx context.Context, store Reader, uid string) (record LiveRecord, version uint64, err error) {
	version, err = readJobRecord(ctx, store, LivePrefix+uid, &record)
	return record, version, err
}

// ReadFinal reads the final record of an ended job. The error wraps statestore.ErrNotFound if
// there is none.
func ReadFinal(ctx context.Context, store Reader, uid string) (record FinalRecord, err error) {
	_, err = readJobRecord(ctx, store, FinalPrefix+uid, &record)
	return record, err
}

func readJobRecord(ctx context.Context, store Reader, key string, into any) (version uint64, err error) {
	item, err := store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(item.Value, into); err != nil {
		return 0, fmt.Errorf("read job: %w", err)
	}
	return item.Version, nil
}
