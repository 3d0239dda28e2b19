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

// ChangeKind says what a log record tells of a place.
type ChangeKind int

const (
	PlacementAdded   ChangeKind = iota // the task may be there from now on
	PlacementRemoved                   // it is not there any more
	TaskFinished                       // it completed there, or ended for good
)

type Change struct {
	Kind      ChangeKind
	Placement *Placement
	Row       *accounting.Row // written along with it
}

// logSlot is a key of a shard's log and what stands in it.
type logSlot struct {
	n       int
	version uint64
	seq     uint64
	chunks  map[*Chunk]struct{} // named by the record
	read    LogRecord           // of a predecessor, until its chunks are known
}

// free reports whether nothing needs the record any more.
func (s *logSlot) free() bool {
	for c := range s.chunks {
		if c.Closed || c.SavedSeq >= s.seq {
			delete(s.chunks, c)
		}
	}
	return len(s.chunks) == 0
}

// Log is the log of a shard: its records, oldest first, and what is still
// to be recorded.
type Log struct {
	seq   uint64
	next  int // number of the next new slot
	slots []*logSlot
	queue []Change
}

func (o *Scheduler) logOf(shard int) *Log {
	l := o.logs[shard]
	if l == nil {
		l = &Log{}
		o.logs[shard] = l
	}
	return l
}

// record notes a change that the next write takes along.
func (o *Scheduler) record(c Change) {
	l := o.logOf(c.Placement.Job.Shard)
	l.queue = append(l.queue, c)
}

// replayEntry is a job's entry in a log record, as read by a new owner.
type replayEntry struct {
	seq      uint64
	machines []string
	JobEntry
}

// readLogs makes the logs of shards of their records, and sorts the records'
// entries by job, oldest first.
func (o *Scheduler) readLogs(items []wire.Item, want map[int]bool) (map[int]*Log, map[string][]replayEntry) {
	logs := map[int]*Log{}
	for s := range want {
		logs[s] = &Log{}
	}
	entries := map[string][]replayEntry{}
	for _, it := range items {
		s, n, err := ParseLogKey(it.Key)
		l := logs[s]
		if err == nil && l == nil {
			o.lookForUnborrowed(it)
			continue // another owner's
		}
		var r LogRecord
		if err == nil {
			r, err = ParseLog(it.Value)
			o.lookForUnborrowed(it)
		}
		if err != nil {
			o.log.Error("unreadable log record", "key", it.Key, "err", err)
			if l == nil {
				continue
			}
		}
		l.next, l.seq = max(l.next, n+1), max(l.seq, r.Seq)
		l.slots = append(l.slots, &logSlot{n: n, version: it.Version, seq: r.Seq, chunks: map[*Chunk]struct{}{}, read: r})
	}
	for _, l := range logs {
		sort.Slice(l.slots, func(a, b int) bool { return l.slots[a].seq < l.slots[b].seq })
		for _, sl := range l.slots {
			for _, e := range sl.read.Jobs {
				entries[e.UID] = append(entries[e.UID], replayEntry{sl.seq, sl.read.Machines, e})
			}
		}
	}
	return logs, entries
}

// replay applies a log record's entry, unless the chunk's own record is newer.
func (o *Scheduler) replay(j *Job, e replayEntry, fence uint64) {
	newer := func(task uint64) bool {
		return task < uint64(j.Spec.Tasks) && e.seq > j.Chunks[task/ChunkSize].SavedSeq
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
		for _, p := range j.Placements[int(e.Gone[i])] {
			if p.Attempt == e.Gone[i+1] {
				o.drop(p)
				break
			}
		}
	}
	for _, t := range e.Done {
		if newer(t) {
			j.Chunks[t/ChunkSize].SetDone(int(t))
		}
	}
	for i := 0; i < len(e.Failed); i += 3 {
		if t := e.Failed[i]; newer(t) {
			j.Chunks[t/ChunkSize].SetFailed(int(t), e.Failed[i+1], e.Failed[i+2])
		}
	}
}

// touchSlot finds the chunks that a predecessor's record names.
func (o *Scheduler) touchSlot(s *logSlot) {
	for _, e := range s.read.Jobs {
		j := o.jobs[e.UID]
		if j == nil {
			continue
		}
		name := func(task uint64) {
			if task < uint64(j.Spec.Tasks) {
				s.chunks[j.Chunks[task/ChunkSize]] = struct{}{}
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
	s.read = LogRecord{}
}

// recordBuilder gathers changes into one log record of bounded size.
type recordBuilder struct {
	rec     LogRecord
	index   map[string]uint64
	of      map[*Job]int
	size    int
	changes []Change
	chunks  map[*Chunk]struct{}
	rows    []Change // taken for their accounting rows, whether they matter or not
}

// keepRows keeps the changes that are taken for their rows alone, so that they are
// put back with the others.
func (b *recordBuilder) keepRows() {
	if len(b.rows) == 0 {
		return
	}
	in := map[*Placement]bool{}
	for _, c := range b.changes {
		in[c.Placement] = true
	}
	for _, c := range b.rows {
		if !in[c.Placement] {
			b.changes = append(b.changes, c)
		}
	}
}

func newRecordBuilder(seq uint64) *recordBuilder {
	return &recordBuilder{rec: LogRecord{Seq: seq}, index: map[string]uint64{}, of: map[*Job]int{}, size: 64, chunks: map[*Chunk]struct{}{}}
}

// Bytes, at most, of a record's parts as JSON.
const (
	numberBytes = 8
	entryBytes  = 40
)

// add takes a change that still matters into the record.
func (b *recordBuilder) add(c Change) {
	p := c.Placement
	i, ok := b.of[p.Job]
	if !ok {
		i = len(b.rec.Jobs)
		b.of[p.Job] = i
		b.rec.Jobs = append(b.rec.Jobs, JobEntry{UID: p.Job.Spec.UID})
		b.size += entryBytes + len(p.Job.Spec.UID)
	}
	e := &b.rec.Jobs[i]
	switch c.Kind {
	case PlacementAdded:
		m, ok := b.index[p.Worker.Name]
		if !ok {
			m = uint64(len(b.rec.Machines))
			b.index[p.Worker.Name] = m
			b.rec.Machines = append(b.rec.Machines, p.Worker.Name)
			b.size += len(p.Worker.Name) + 3
		}
		e.Places = append(e.Places, uint64(p.Task), p.Attempt, m)
		b.size += 3 * numberBytes
		p.InStore = true
	case PlacementRemoved:
		e.Gone = append(e.Gone, uint64(p.Task), p.Attempt)
		b.size += 2 * numberBytes
	case TaskFinished:
		if f, failed := p.Chunk.Failed[p.Task]; failed {
			e.Failed = append(e.Failed, f.Triple(p.Task)...)
			b.size += 2 * numberBytes
		} else {
			e.Done = append(e.Done, uint64(p.Task))
		}
		b.size += numberBytes
	}
	b.chunks[p.Chunk] = struct{}{}
	b.changes = append(b.changes, c)
}

// matters reports whether a change still needs recording.
func (o *Scheduler) matters(c Change) bool {
	p := c.Placement
	if p.Chunk.Closed || p.Job.EndStage != "" {
		return false // the end's record says it all
	}
	_, attached := p.Worker.Placements[p]
	switch c.Kind {
	case PlacementAdded:
		return attached && p.State == PlacementRecording && !p.Exited
	case PlacementRemoved:
		return !p.Job.Cancelled && !p.Chunk.IsDone(p.Task)
	}
	return attached
}
