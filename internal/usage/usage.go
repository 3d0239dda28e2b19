// Package usage measures what this process takes of its machine, by duty, and how far it falls
// behind: for operators, in the log and at /ops/stats. Duties and events are counted for the
// whole process; a Meter reads them with what the runtime and the system say. It limits nothing.
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
	probeInterval = time.Second // how often the lateness of timers is looked at
	logInterval   = 10 * time.Second
)

const bytesPerMB = 1 << 20

// Duty is a part of the service whose time is counted.
type Duty int

// The numDuties. What they do not cover is mostly HTTP, the collector and the scheduler of
// goroutines.
const (
	Reports          Duty = iota // a worker's report, from its body to the response's
	SchedulingPasses             // scheduling passes and sweeps
	Commits                      // building and committing a leader's transactions
	WatchEvents                  // changes seen in the state service
	Instructions                 // a scheduler's instructions at the dispatcher
	Autoscaling                  // demand and plan of the autoscaler
	UserRequests                 // users' requests served here, waiting included
	PeerViews                    // views from and to other controllers
	numDuties
)

var dutyNames = [numDuties]string{"reports", "passes", "records", "watches", "directions", "fleet", "users", "peers"}

// Event is something that happened, or was refused, which operators may want to know the number
// of.
type Event int

// The numEvents.
const (
	MalformedReports   Event = iota // reports that could not be read
	RefusedConnections              // beyond the sockets to spare
	RefusedRequests                 // users' requests beyond those worked on at once
	RefusedJobs                     // submissions for want of memory
	MalformedViews                  // messages of peers about workers that could not be applied
	AccountingRows                  // rows of accounting written
	AccountingWrites                // of its pages, and
	AccountingBytes                 // as many bytes
	numEvents
)

var eventNames = [numEvents]string{"malformed_reports", "refused_connections", "refused_requests", "refused_jobs", "malformed_views", "account_rows", "account_writes", "account_bytes"}

var eventCounters [numEvents]atomic.Int64

// CountEvent counts an event. It is safe for concurrent use, as are Add and Count.
func CountEvent(e Event) { CountEvents(e, 1) }

// CountEvents counts an event n times.
func CountEvents(e Event, n int) { eventCounters[e].Add(int64(n)) }

// EventCount returns how many of an event there were since the process started.
func EventCount(e Event) int64 { return eventCounters[e].Load() }

type dutyCounter struct {
	calls   atomic.Int64
	totalNs atomic.Int64
}

var dutyCounters [numDuties]dutyCounter

// AddTime adds the time since start to a duty. Sections may wait for a lock, and on a busy
// processor for their turn: the sums are upper bounds.
func AddTime(d Duty, start time.Time) {
	dutyCounters[d].calls.Add(1)
	dutyCounters[d].totalNs.Add(int64(time.Since(start)))
}

// DutyTotal is what a duty took since the process started: how often it was done, and for how long
// together.
type DutyTotal struct {
	Count   int64   `json:"count"`
	Seconds float64 `json:"seconds"`
}

// Reading is what the process uses. Unless said otherwise it counts from the meter's start.
type Reading struct {
	CPUSeconds  float64              `json:"cpu_s"` // of the process
	UptimeS     float64              `json:"uptime_s"`
	HeapMB      float64              `json:"heap_mb"`
	RuntimeMB   float64              `json:"runtime_mb"` // all that the runtime holds
	PeakMB      float64              `json:"peak_resident_mb"`
	Collections uint64               `json:"collections"`
	CollectorS  float64              `json:"collector_s"` // as of the last collection
	Goroutines  uint64               `json:"goroutines"`
	LateMsP99   int64                `json:"late_ms_p99"` // of timers, since the last log line
	LateMsMax   int64                `json:"late_ms_max"`
	Queues      map[string]int       `json:"queues"` // depths and open connections
	Duties      map[string]DutyTotal `json:"duties"`
	Events      map[string]int64     `json:"events"`
}

// Samples of the runtime.
const (
	heapObjects = iota
	memoryTotal
	memoryReleased
	collections
	collectorCPU
	goroutines
	numSamples
)

var sampleNames = [numSamples]string{
	"/memory/classes/heap/objects:bytes", "/memory/classes/total:bytes", "/memory/classes/heap/released:bytes",
	"/gc/cycles/total:gc-cycles", "/cpu/classes/gc/total:cpu-seconds", "/sched/goroutines:goroutines",
}

// Meter takes readings. It is safe for concurrent use.
type Meter struct {
	started     time.Time
	queues      func() map[string]int
	log         *slog.Logger
	memoryLimit int64 // bytes
	pressure    atomic.Bool
	lastDelay   atomic.Int64 // ns by which the last timer fired late

	mu            sync.Mutex
	samples       [numSamples]metrics.Sample
	memorySamples [2]metrics.Sample       // what the runtime holds, and has given back
	timerDelays   *hdrhistogram.Histogram // ms, since the last log line
}

// New returns a meter. The process is short of memory while it holds more than limit bytes;
// queues returns the depths to be shown, by name.
func New(memoryLimit int64, queues func() map[string]int, log *slog.Logger) *Meter {
	m := &Meter{started: time.Now(), memoryLimit: memoryLimit, queues: queues, log: log, timerDelays: hdrhistogram.New(1, 60_000, 2)}
	for i, name := range sampleNames {
		m.samples[i].Name = name
	}
	m.memorySamples[0].Name, m.memorySamples[1].Name = sampleNames[memoryTotal], sampleNames[memoryReleased]
	return m
}

// MemoryPressure reports whether this process holds so much memory that it must not take on more work,
// as of the last second.
func (m *Meter) MemoryPressure() bool { return m.pressure.Load() }

// TimerDelay returns by how much a timer fired late within the last second or so.
func (m *Meter) TimerDelay() time.Duration { return time.Duration(m.lastDelay.Load()) }

// Read takes a reading.
func (m *Meter) Read() Reading {
	m.mu.Lock()
	defer m.mu.Unlock()
	metrics.Read(m.samples[:])
	s := &m.samples
	r := Reading{
		UptimeS:   time.Since(m.started).Seconds(),
		HeapMB:    float64(s[heapObjects].Value.Uint64()) / bytesPerMB,
		RuntimeMB: float64(s[memoryTotal].Value.Uint64()-s[memoryReleased].Value.Uint64()) / bytesPerMB, Collections: s[collections].Value.Uint64(),
		CollectorS: s[collectorCPU].Value.Float64(), Goroutines: s[goroutines].Value.Uint64(),
		LateMsP99: m.timerDelays.ValueAtQuantile(99), LateMsMax: m.timerDelays.Max(), Queues: m.queues(), Duties: map[string]DutyTotal{}, Events: map[string]int64{},
	}
	var ru syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &ru) == nil {
		r.CPUSeconds = time.Duration(ru.Utime.Nano() + ru.Stime.Nano()).Seconds()
		r.PeakMB = float64(ru.Maxrss) / 1024
	}
	for d := range dutyCounters {
		r.Duties[dutyNames[d]] = DutyTotal{dutyCounters[d].calls.Load(), time.Duration(dutyCounters[d].totalNs.Load()).Seconds()}
	}
	for e := range eventCounters {
		r.Events[eventNames[e]] = eventCounters[e].Load()
	}
	return r
}

// Run watches how late timers fire and how much memory is held, and logs a line now and then,
// until ctx ends.
func (m *Meter) Run(ctx context.Context) error {
	tick := time.NewTimer(probeInterval)
	defer tick.Stop()
	due := time.Now().Add(probeInterval)
	logged := time.Now()
	var last Reading
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		now := time.Now()
		m.probe(now.Sub(due))
		if elapsed := now.Sub(logged); elapsed >= logInterval {
			logged = now
			r := m.Read()
			m.logReading(r, last, elapsed)
			last = r
			m.resetTimerDelays()
		}
		due = time.Now().Add(probeInterval)
		tick.Reset(probeInterval)
	}
}

// probe notes by how much a timer fired late, and whether too much memory is held.
func (m *Meter) probe(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	metrics.Read(m.memorySamples[:])
	m.pressure.Store(int64(m.memorySamples[0].Value.Uint64()-m.memorySamples[1].Value.Uint64()) > m.memoryLimit)
	m.lastDelay.Store(int64(delay))
	_ = m.timerDelays.RecordValue(max(0, delay.Milliseconds())) // later than a minute it is not counted
}

func (m *Meter) resetTimerDelays() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timerDelays.Reset()
}

// logReading logs a reading, with what was used since the last one.
func (m *Meter) logReading(r, last Reading, elapsed time.Duration) {
	var parts []any
	for _, name := range dutyNames {
		d, old := r.Duties[name], last.Duties[name]
		if d.Count > old.Count {
			parts = append(parts, slog.Group(name, "n", d.Count-old.Count, "ms", int((d.Seconds-old.Seconds)*1000)))
		}
	}
	m.log.Info("usage", "cpu_percent", 100*(r.CPUSeconds-last.CPUSeconds)/elapsed.Seconds(), "heap_mb", int(r.HeapMB), "runtime_mb", int(r.RuntimeMB),
		"peak_mb", int(r.PeakMB), "collections", r.Collections-last.Collections, "collector_ms", int(1000*(r.CollectorS-last.CollectorS)),
		"goroutines", r.Goroutines, "late_ms_p99", r.LateMsP99, "late_ms_max", r.LateMsMax, "queues", r.Queues, "events", r.Events, slog.Group("duties", parts...))
}
