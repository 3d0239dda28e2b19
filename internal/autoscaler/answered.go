package autoscaler

import (
	"context"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// firstListWait is how long a new leader waits for its first machine list before it rents
// without one.
const firstListWait = 10 * time.Second

// answeredProvision is a hire that the cloud has answered, and whose record is kept until its
// machines are in every list that a later leader may read.
type answeredProvision struct {
	record provisionRecord
	marked bool      // the record in the state service has the answer
	until  time.Time // when the record may be deleted
}

// unlisted is how long after the answer to a hire its machines may be missing from the
// cloud's list.
func (f *Autoscaler) unlisted() time.Duration { return f.mostLag() + time.Second }

// provisionedLocked takes in the machines that the cloud answered to a hire. Its record stays: a
// leader that begins before they are listed would rent them again.
func (f *Autoscaler) provisionedLocked(r provisionRecord, now time.Time) {
	f.expect(r, now)
	answered := time.UnixMilli(r.AnsweredMs)
	if answered.After(now) {
		answered = now // by the clock of another controller, which is ahead
	}
	f.answered[r.Name] = &answeredProvision{record: r, until: answered.Add(f.unlisted())}
}

// expect counts on the machines of an answered hire.
func (f *Autoscaler) expect(r provisionRecord, now time.Time) {
	for _, n := range r.Machines {
		if f.instances[n] == nil && !f.sending[n] {
			f.instances[n] = &instance{name: n, offer: r.offer(), hired: time.UnixMilli(r.PlannedMs), known: now, listed: now, stage: wire.MachineBooting}
		}
	}
}

// dropLocked lets the record of a hire go, of which nothing comes any more.
func (f *Autoscaler) dropLocked(name string) { f.answered[name] = &answeredProvision{marked: true} }

// recordAnswers writes the answers of hires into their records, and deletes the records that
// aren't needed any more, all in one transaction. What fails is tried again with the next
// plan; what is left when this controller leads no more is the next leader's.
func (f *Autoscaler) recordAnswers(ctx context.Context) {
	version, ok := f.member.ClaimedShards()[0]
	if !ok {
		return
	}
	now := time.Now()
	var ops []wire.Op
	var deleted, marked []string
	f.mu.Lock()
	for name, a := range f.answered {
		if len(ops) == max(1, f.cfg.Params.State.TxnOps) {
			break
		}
		switch {
		case now.After(a.until):
			deleted = append(deleted, name)
			ops = append(ops, wire.Op{Delete: provisionKey + name})
		case !a.marked:
			marked = append(marked, name)
			ops = append(ops, wire.Op{Put: provisionKey + name, Value: a.record})
		}
	}
	f.mu.Unlock()
	if len(ops) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	// A former leader's answer must not bring back a record that its successor deleted.
	guards := []wire.Guard{{Key: f.member.ShardKey(0), Version: version}}
	if _, err := f.store.Txn(ctx, guards, ops...); err != nil {
		f.log.Debug("answers of hires not recorded", "answered", marked, "deleted", deleted, "err", err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range deleted {
		delete(f.answered, name)
	}
	for _, name := range marked {
		if a := f.answered[name]; a != nil {
			a.marked = true
		}
	}
}

// mayScaleOut reports whether enough is known of the machines that there are: those of hires
// whose records are deleted are in the first list of a new leader.
func (f *Autoscaler) mayScaleOut(now time.Time) bool {
	return f.listedAt.After(f.ledAt) || now.Sub(f.ledAt) > firstListWait
}
