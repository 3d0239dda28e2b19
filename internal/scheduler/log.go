package scheduler

import (
	"sort"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/wire"
)

// defaultSlots is how many log records a shard keeps before it saves the chunks
// that the oldest one names, so that it can be written over. Most jobs end
// before that, and never get chunk records.
const defaultSlots = 512

// changeKind says what a log record tells of a place.
type changeKind int

const (
	placeChange changeKind = iota // the task may be there from now on
	goneChange                    // it is not there any more
	doneChange                    // it completed there, or ended for good
)

type change struct {
	kind changeKind
	p    *place
	row  *accounting.Row // written along with it
}

// slot is a key of a shard's log and what stands in it.
type slot struct {
	n       int
	version uint64
	seq     uint64
	chunks  map[*chunk]struct{} // named by the record
	read    logRecord           // of a predecessor, until its chunks are known
}

// free reports whether nothing needs the record any more.
func (s *slot) free() bool {
	for c := range s.chunks {
		if c.over || c.saved >= s.seq {
			delete(s.chunks, c)
		}
	}
	return len(s.chunks) == 0
}

// shardLog is the log of a shard: its records, oldest first, and what is still
// to be recorded.
type shardLog struct {
	seq   uint64
	next  int // number of the next new slot
	slots []*slot
	queue []change
}

func (o *Owner) logOf(shard int) *shardLog {
	l := o.logs[shard]
	if l == nil {
		l = &shardLog{}
		o.logs[shard] = l
	}
	return l
}

// record notes a change that the next write takes along.
func (o *Owner) record(c change) {
	l := o.logOf(c.p.job.shard)
	l.queue = append(l.queue, c)
}

// logged is a job's entry in a log record, as read by a new owner.
type logged struct {
	seq      uint64
	machines []string
	jobEntry
}

// readLogs makes the logs of shards of their records, and sorts the records'
// entries by job, oldest first.
func (o *Owner) readLogs(items []wire.Item, want map[int]bool) (map[int]*shardLog, map[string][]logged) {
	logs := map[int]*shardLog{}
	for s := range want {
		logs[s] = &shardLog{}
	}
	entries := map[string][]logged{}
	for _, it := range items {
		s, n, err := parseSlotKey(it.Key)
		l := logs[s]
		if err == nil && l == nil {
			o.lookForUnborrowed(it)
			continue // another owner's
		}
		var r logRecord
		if err == nil {
			r, err = parseLog(it.Value)
			o.lookForUnborrowed(it)
		}
		if err != nil {
			o.log.Error("unreadable log record", "key", it.Key, "err", err)
			if l == nil {
				continue
			}
		}
		l.next, l.seq = max(l.next, n+1), max(l.seq, r.Seq)
		l.slots = append(l.slots, &slot{n: n, version: it.Version, seq: r.Seq, chunks: map[*chunk]struct{}{}, read: r})
	}
	for _, l := range logs {
		sort.Slice(l.slots, func(a, b int) bool { return l.slots[a].seq < l.slots[b].seq })
		for _, sl := range l.slots {
			for _, e := range sl.read.Jobs {
				entries[e.UID] = append(entries[e.UID], logged{sl.seq, sl.read.Machines, e})
			}
		}
	}
	return logs, entries
}

// replay applies a log record's entry, unless the chunk's own record is newer.
func (o *Owner) replay(j *job, e logged, fence uint64) {
	newer := func(task uint64) bool {
		return task < uint64(j.spec.Tasks) && e.seq > j.chunks[task/chunkSize].saved
	}
	for i := 0; i < len(e.Places); i += 3 {
		if newer(e.Places[i]) {
			o.found(j, int(e.Places[i]), e.Places[i+1], e.machines[e.Places[i+2]], fence)
		}
	}
	for i := 0; i < len(e.Gone); i += 2 {
		if !newer(e.Gone[i]) {
			continue
		}
		for _, p := range j.places[int(e.Gone[i])] {
			if p.attempt == e.Gone[i+1] {
				o.drop(p)
				break
			}
		}
	}
	for _, t := range e.Done {
		if newer(t) {
			j.chunks[t/chunkSize].setDone(int(t))
		}
	}
	for i := 0; i < len(e.Failed); i += 3 {
		if t := e.Failed[i]; newer(t) {
			j.chunks[t/chunkSize].setFailed(int(t), e.Failed[i+1], e.Failed[i+2])
		}
	}
}

// touchSlot finds the chunks that a predecessor's record names.
func (o *Owner) touchSlot(s *slot) {
	for _, e := range s.read.Jobs {
		j := o.jobs[e.UID]
		if j == nil {
			continue
		}
		name := func(task uint64) {
			if task < uint64(j.spec.Tasks) {
				s.chunks[j.chunks[task/chunkSize]] = struct{}{}
			}
		}
		for i := 0; i < len(e.Places); i += 3 {
			name(e.Places[i])
		}
		for i := 0; i < len(e.Gone); i += 2 {
			name(e.Gone[i])
		}
		for _, t := range e.Done {
			name(t)
		}
		for i := 0; i < len(e.Failed); i += 3 {
			name(e.Failed[i])
		}
	}
	s.read = logRecord{}
}

// logBuilder gathers changes into one log record of bounded size.
type logBuilder struct {
	rec     logRecord
	index   map[string]uint64
	of      map[*job]int
	size    int
	changes []change
	chunks  map[*chunk]struct{}
	rows    []change // taken for their accounting rows, whether they matter or not
}

// keepRows keeps the changes that are taken for their rows alone, so that they are
// put back with the others.
func (b *logBuilder) keepRows() {
	if len(b.rows) == 0 {
		return
	}
	in := map[*place]bool{}
	for _, c := range b.changes {
		in[c.p] = true
	}
	for _, c := range b.rows {
		if !in[c.p] {
			b.changes = append(b.changes, c)
		}
	}
}

func newLogBuilder(seq uint64) *logBuilder {
	return &logBuilder{rec: logRecord{Seq: seq}, index: map[string]uint64{}, of: map[*job]int{}, size: 64, chunks: map[*chunk]struct{}{}}
}

// Bytes, at most, of a record's parts as JSON.
const (
	numberBytes = 8
	entryBytes  = 40
)

// add takes a change that still matters into the record.
func (b *logBuilder) add(c change) {
	p := c.p
	i, ok := b.of[p.job]
	if !ok {
		i = len(b.rec.Jobs)
		b.of[p.job] = i
		b.rec.Jobs = append(b.rec.Jobs, jobEntry{UID: p.job.spec.UID})
		b.size += entryBytes + len(p.job.spec.UID)
	}
	e := &b.rec.Jobs[i]
	switch c.kind {
	case placeChange:
		m, ok := b.index[p.mach.name]
		if !ok {
			m = uint64(len(b.rec.Machines))
			b.index[p.mach.name] = m
			b.rec.Machines = append(b.rec.Machines, p.mach.name)
			b.size += len(p.mach.name) + 3
		}
		e.Places = append(e.Places, uint64(p.task), p.attempt, m)
		b.size += 3 * numberBytes
		p.logged = true
	case goneChange:
		e.Gone = append(e.Gone, uint64(p.task), p.attempt)
		b.size += 2 * numberBytes
	case doneChange:
		if f, failed := p.chunk.failed[p.task]; failed {
			e.Failed = append(e.Failed, f.triple(p.task)...)
			b.size += 2 * numberBytes
		} else {
			e.Done = append(e.Done, uint64(p.task))
		}
		b.size += numberBytes
	}
	b.chunks[p.chunk] = struct{}{}
	b.changes = append(b.changes, c)
}

// matters reports whether a change still needs recording.
func (o *Owner) matters(c change) bool {
	p := c.p
	if p.chunk.over || p.job.ended != "" {
		return false // the end's record says it all
	}
	_, attached := p.mach.places[p]
	switch c.kind {
	case placeChange:
		return attached && p.state == placeWriting && !p.exited
	case goneChange:
		return !p.job.cancelled && !p.chunk.isDone(p.task)
	}
	return attached
}
