package autoscaler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// Keys in the state service. Controllers of other versions share them.
const (
	provisionKey = "fleet/hire/" // prefix of a provision's name
	typesKey     = "fleet/types"
)

const (
	loadTimeout   = 3 * time.Second
	recordTimeout = 2 * time.Second
	// firstListTimeout is how long a new leader waits for its first machine list before it
	// scales out without one.
	firstListTimeout = 10 * time.Second
)

// provisionRecord is a provision as stored in the state service. A record without times counts
// as too old to be repeated.
type provisionRecord struct {
	wire.ProvisionRequest
	PlannedMs  int64    `json:"planned,omitempty"`  // Unix ms
	AnsweredMs int64    `json:"answered,omitempty"` // Unix ms; 0 if the answer is not recorded
	Machines   []string `json:"machines,omitempty"` // names from the cloud's answer
}

func (p *provision) record() provisionRecord {
	return provisionRecord{ProvisionRequest: p.req, PlannedMs: p.plannedAt.UnixMilli()}
}

func (r *provisionRecord) offer() offer { return offer{r.Type, r.Zone, r.Spot} }

// answeredProvision is a provision that the cloud has answered. Its record is retained until its
// machines are in every list that a later leader may read.
type answeredProvision struct {
	record   provisionRecord
	recorded bool      // the stored record contains the answer
	until    time.Time // when the record may be deleted
}

// loadRecords reads the records of provisions: those without a recorded answer are to be
// repeated under their names, and the machines of the answered ones are added to the instances.
// It returns the names of the provisions that are too old for either; their records are to be deleted.
func (a *Autoscaler) loadRecords(ctx context.Context) (old []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	items, _, err := a.store.List(ctx, provisionKey)
	if err != nil {
		return nil, fmt.Errorf("list provisions: %w", err)
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, item := range items {
		var record provisionRecord
		if err := json.Unmarshal(item.Value, &record); err != nil {
			a.log.Error("provision record unreadable", "key", item.Key, "err", err)
			continue
		}
		planned, answered := time.UnixMilli(record.PlannedMs), time.UnixMilli(record.AnsweredMs)
		switch {
		case record.AnsweredMs > 0 && now.Sub(answered) < a.maxUnlistedTime():
			a.addAnsweredLocked(record, now)
			a.answeredProvisions[record.Name].recorded = true
		case record.AnsweredMs > 0 || expired(planned, now):
			old = append(old, record.Name)
			a.dropRecordLocked(record.Name)
		default:
			a.provisions[record.Name] = &provision{req: record.ProvisionRequest, plannedAt: planned, recorded: true}
		}
	}
	return old, nil
}

// writeRecord records a provision, so that the next leader repeats it under its name. The error
// is errNotLeading, or that of the state service; after statestore.ErrUnknown the record may have
// been written.
func (a *Autoscaler) writeRecord(ctx context.Context, p *provision) error {
	key := provisionKey + p.req.Name
	version, ok := a.member.ClaimedShards()[0]
	if !ok {
		return errNotLeading
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	shard := a.member.ShardKey(0)
	_, err := a.store.Txn(ctx, []wire.Guard{{Key: shard, Version: version}, {Key: key}}, wire.Op{Put: key, Value: p.record()})
	var conflict *statestore.ConflictError
	if errors.As(err, &conflict) && !conflict.Has(shard) {
		return nil // written by an earlier attempt whose response was lost: names are unique
	}
	if err != nil {
		return fmt.Errorf("record provision %s: %w", p.req.Name, err)
	}
	return nil
}

// maxUnlistedTime returns how long after the answer to a provision its machines may be missing
// from the cloud's list.
func (a *Autoscaler) maxUnlistedTime() time.Duration { return a.maxListLag() + time.Second }

// addAnsweredLocked adds the machines of an answered provision. Its record is retained: a leader
// that starts before they are listed would otherwise provision them again. Called with mu held.
func (a *Autoscaler) addAnsweredLocked(record provisionRecord, now time.Time) {
	a.addBooting(record, now)
	answered := time.UnixMilli(record.AnsweredMs)
	if answered.After(now) {
		answered = now // the clock of the controller that recorded it is ahead
	}
	a.answeredProvisions[record.Name] = &answeredProvision{record: record, until: answered.Add(a.maxUnlistedTime())}
}

// addBooting adds the machines of an answered provision to the instances, as booting. Called with
// mu held.
func (a *Autoscaler) addBooting(record provisionRecord, now time.Time) {
	for _, name := range record.Machines {
		if a.instances[name] == nil && !a.isDeleting(name) {
			a.instances[name] = &instance{name: name, offer: record.offer(), provisionedAt: time.UnixMilli(record.PlannedMs), discoveredAt: now, listedAt: now, stage: wire.MachineBooting}
		}
	}
}

// dropRecordLocked schedules the deletion of the record of a provision that needs no further handling.
// Called with mu held.
func (a *Autoscaler) dropRecordLocked(name string) {
	a.answeredProvisions[name] = &answeredProvision{recorded: true}
}

// recordAnswers writes the answers of provisions into their records, and deletes the records that
// are no longer needed, in one transaction. A later step retries after a failure; if this
// controller no longer leads, the next leader handles the records.
func (a *Autoscaler) recordAnswers(ctx context.Context) {
	version, ok := a.member.ClaimedShards()[0]
	if !ok {
		return
	}
	ops, recorded, deleted := a.answerOps(time.Now())
	if len(ops) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	// A former leader's answer must not bring back a record that its successor deleted.
	guards := []wire.Guard{{Key: a.member.ShardKey(0), Version: version}}
	if _, err := a.store.Txn(ctx, guards, ops...); err != nil {
		a.log.Debug("answers of provisions not recorded", "answered", recorded, "deleted", deleted, "err", err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range deleted {
		delete(a.answeredProvisions, name)
	}
	for _, name := range recorded {
		if answer := a.answeredProvisions[name]; answer != nil {
			answer.recorded = true
		}
	}
}

// answerOps returns the operations that update the records of answered provisions, at most as
// many as fit into a transaction, and the names of the records that they write and delete.
func (a *Autoscaler) answerOps(now time.Time) (ops []wire.Op, recorded, deleted []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, answer := range a.answeredProvisions {
		if len(ops) == max(1, a.cfg.Params.State.TxnOps) {
			break
		}
		switch {
		case now.After(answer.until):
			deleted = append(deleted, name)
			ops = append(ops, wire.Op{Delete: provisionKey + name})
		case !answer.recorded:
			recorded = append(recorded, name)
			ops = append(ops, wire.Op{Put: provisionKey + name, Value: answer.record})
		}
	}
	return ops, recorded, deleted
}
