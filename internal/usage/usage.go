// Package usage measures what this process takes of its machine, by duty, and
// how far it falls behind: for operators, in the log and at /ops/stats.
package usage

import (
	"context"
	"log/slog"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	probeEvery = time.Second // how often the lateness of timers is looked at
	tellEvery  = 10 * time.Second
)

// Duty is a part of the service whose time is counted.
type Duty int

// The duties. What they do not cover is mostly HTTP, the collector and the
// scheduler of goroutines.
const (
	Reports  Duty = iota // a worker's report, from its body to the answer's
	Passes               // scheduling passes and sweeps
	Records              // building and committing the owner's transactions
	Watches              // changes seen in the state service
	Directed             // an owner's directions at the holder
	Fleet                // demand and plan of the fleet
	Users                // users' requests answered here, waiting included
	Peers                // views from and to other controllers
	duties
)

var names = [duties]string{"reports", "passes", "records", "watches", "directions", "fleet", "users", "peers"}

// Event is something that happened, or was refused, which operators may want to
// know the number of.
type Event int

// The events.
const (
	MalformedReports   Event = iota // reports that could not be read
	RefusedConnections              // beyond the sockets to spare
	RefusedRequests                 // users' requests beyond those worked on at once
	RefusedJobs                     // submissions for want of memory
	MalformedViews                  // messages of peers about machines that could not be applied
	AccountRows                     // rows of accounting written
	AccountWrites                   // of its pages, and
	AccountBytes                    // as many bytes
	events
)

var eventNames = [events]string{"malformed_reports", "refused_connections", "refused_requests", "refused_jobs", "malformed_views", "account_rows", "account_writes", "account_bytes"}

var noted [events]atomic.Int64

// Note counts an event.
func Note(e Event) { Add(e, 1) }

// Add counts so many of an event.
func Add(e Event, n int) { noted[e].Add(int64(n)) }

// Noted returns how many of an event there were since the process started.
func Noted(e Event) int64 { return noted[e].Load() }

type counter struct {
	n    atomic.Int64
	took atomic.Int64
}

var counters [duties]counter

// Count adds the time since start to a duty. Sections may wait for a lock, and
// on a busy processor for their turn: the sums are upper bounds.
func Count(d Duty, start time.Time) {
	counters[d].n.Add(1)
	counters[d].took.Add(int64(time.Since(start)))
}

// Share is what a duty took since the process started.
type Share struct {
	Count   int64   `json:"count"`
	Seconds float64 `json:"seconds"`
}

// Reading is what the process uses.
type Reading struct {
	CPUSeconds  float64          `json:"cpu_s"`
	UptimeS     float64          `json:"uptime_s"`
	HeapMB      float64          `json:"heap_mb"`
	RuntimeMB   float64          `json:"runtime_mb"` // all that the runtime holds
	PeakMB      float64          `json:"peak_resident_mb"`
	Collections uint64           `json:"collections"`
	CollectorS  float64          `json:"collector_s"` // as of the last collection
	Goroutines  uint64           `json:"goroutines"`
	LateMsP99   int64            `json:"late_ms_p99"` // of timers, since the last log line
	LateMsMax   int64            `json:"late_ms_max"`
	Queues      map[string]int   `json:"queues"` // depths and open connections
	Duties      map[string]Share `json:"duties"`
	Events      map[string]int64 `json:"events"`
}

// Meter takes readings.
type Meter struct {
	started time.Time
	queues  func() map[string]int
	log     *slog.Logger
	samples []metrics.Sample
	held    [2]metrics.Sample // what the runtime holds, and has given back
	limit   int64
	crowded atomic.Bool
	lateNow atomic.Int64 // ns by which the last timer fired late

	mu   sync.Mutex
	late *hdrhistogram.Histogram // ms, since the last log line
}

// New returns a meter; the process is crowded from so many bytes on, and queues
// names the depths that it shall show.
func New(crowded int64, queues func() map[string]int, log *slog.Logger) *Meter {
	m := &Meter{started: time.Now(), limit: crowded, queues: queues, log: log, late: hdrhistogram.New(1, 60_000, 2)}
	for _, name := range []string{
		"/memory/classes/heap/objects:bytes", "/memory/classes/total:bytes",
		"/memory/classes/heap/released:bytes", "/gc/cycles/total:gc-cycles", "/cpu/classes/gc/total:cpu-seconds",
		"/sched/goroutines:goroutines",
	} {
		m.samples = append(m.samples, metrics.Sample{Name: name})
	}
	m.held[0].Name, m.held[1].Name = "/memory/classes/total:bytes", "/memory/classes/heap/released:bytes"
	return m
}

// Crowded reports whether this process holds so much memory that it must not
// take on more work.
func (m *Meter) Crowded() bool { return m.crowded.Load() }

// Late returns by how much a timer fired late within the last second or so.
func (m *Meter) Late() time.Duration { return time.Duration(m.lateNow.Load()) }

// Read takes a reading.
func (m *Meter) Read() Reading {
	m.mu.Lock()
	defer m.mu.Unlock()
	metrics.Read(m.samples)
	const mb = 1 << 20
	s := m.samples
	r := Reading{
		UptimeS:   time.Since(m.started).Seconds(),
		HeapMB:    float64(s[0].Value.Uint64()) / mb,
		RuntimeMB: float64(s[1].Value.Uint64()-s[2].Value.Uint64()) / mb, Collections: s[3].Value.Uint64(),
		CollectorS: s[4].Value.Float64(), Goroutines: s[5].Value.Uint64(),
		LateMsP99: m.late.ValueAtQuantile(99), LateMsMax: m.late.Max(), Queues: m.queues(), Duties: map[string]Share{}, Events: map[string]int64{},
	}
	var ru syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &ru) == nil {
		r.CPUSeconds = time.Duration(ru.Utime.Nano() + ru.Stime.Nano()).Seconds()
		r.PeakMB = float64(ru.Maxrss) / 1024
	}
	for d := range counters {
		r.Duties[names[d]] = Share{counters[d].n.Load(), time.Duration(counters[d].took.Load()).Seconds()}
	}
	for e := range noted {
		r.Events[eventNames[e]] = noted[e].Load()
	}
	return r
}

// Run watches how late timers fire and logs a line now and then.
func (m *Meter) Run(ctx context.Context) error {
	tick := time.NewTimer(probeEvery)
	defer tick.Stop()
	due := time.Now().Add(probeEvery)
	told := time.Now()
	var last Reading
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		now := time.Now()
		m.mu.Lock()
		metrics.Read(m.held[:])
		m.crowded.Store(int64(m.held[0].Value.Uint64()-m.held[1].Value.Uint64()) > m.limit)
		m.lateNow.Store(int64(now.Sub(due)))
		_ = m.late.RecordValue(max(0, now.Sub(due).Milliseconds())) // later than a minute it is not counted
		m.mu.Unlock()
		if took := now.Sub(told); took >= tellEvery {
			told = now
			r := m.Read()
			m.tell(r, last, took)
			last = r
			m.mu.Lock()
			m.late.Reset()
			m.mu.Unlock()
		}
		due = time.Now().Add(probeEvery)
		tick.Reset(probeEvery)
	}
}

// tell logs a reading, with what was used since the last one.
func (m *Meter) tell(r, last Reading, took time.Duration) {
	var parts []any
	for _, name := range names {
		d, old := r.Duties[name], last.Duties[name]
		if d.Count > old.Count {
			parts = append(parts, slog.Group(name, "n", d.Count-old.Count, "ms", int((d.Seconds-old.Seconds)*1000)))
		}
	}
	m.log.Info("usage", "cpu_percent", 100*(r.CPUSeconds-last.CPUSeconds)/took.Seconds(), "heap_mb", int(r.HeapMB), "runtime_mb", int(r.RuntimeMB),
		"peak_mb", int(r.PeakMB), "collections", r.Collections-last.Collections, "collector_ms", int(1000*(r.CollectorS-last.CollectorS)),
		"goroutines", r.Goroutines, "late_ms_p99", r.LateMsP99, "late_ms_max", r.LateMsMax, "queues", r.Queues, "events", r.Events, slog.Group("duties", parts...))
}
