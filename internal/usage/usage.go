// Package usage measures the resource usage of this process, the time spent on each duty, and how
// late timers fire. Operators see the figures in the log and at /ops/stats. Duties and events are
// counted in process-wide variables; a Meter reads them together with figures from the Go runtime
// and the operating system. The package enforces no limits.
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
	probeInterval = time.Second // interval at which timer delay and memory are measured
	logInterval   = 10 * time.Second
)

const bytesPerMB = 1 << 20

// Duty is a kind of work of this process for which the time spent is counted.
type Duty int

// The duties. The remaining processor time is mostly HTTP, the garbage collector and the goroutine
// scheduler.
const (
	Reports          Duty = iota // handling a worker's report, from reading the body to writing the response
	SchedulingPasses             // scheduling passes and periodic sweeps
	Commits                      // building and committing a leader's transactions
	WatchEvents                  // handling changes reported by the state service's watches
	Instructions                 // handling a scheduler's instructions in the dispatcher
	Autoscaling                  // computing the autoscaler's demand and plan
	UserRequests                 // users' requests served by this controller, including time spent waiting
	PeerViews                    // sending views to other controllers and receiving theirs
	numDuties
)

var dutyNames = [numDuties]string{"reports", "passes", "records", "watches", "directions", "fleet", "users", "peers"}

// Event is a kind of event that is counted for operators.
type Event int

// The events.
const (
	MalformedReports   Event = iota // reports that could not be parsed
	RefusedConnections              // connections closed at once because no socket was free for them
	RefusedRequests                 // users' requests beyond the concurrency limit
	RefusedJobs                     // submissions rejected for lack of memory
	MalformedViews                  // views from peers that could not be applied
	AccountingRows                  // accounting rows written
	AccountingWrites                // writes of accounting pages
	AccountingBytes                 // bytes in those writes
	RefusedReports                  // workers' reports beyond the concurrency limit
	LeasesEndedEarly                // leases that the state service ended while they were certain to hold
	UnfencedForgets                 // instructions to forget a task whose start command could still be executed
	numEvents
)

var eventNames = [numEvents]string{"malformed_reports", "refused_connections", "refused_requests", "refused_jobs", "malformed_views", "account_rows", "account_writes", "account_bytes", "refused_reports", "leases_ended_early", "unfenced_forgets"}

var eventCounters [numEvents]atomic.Int64

// CountEvent counts an event once. CountEvent, CountEvents and AddTime are safe for concurrent use.
func CountEvent(e Event) { CountEvents(e, 1) }

// CountEvents counts an event n times.
func CountEvents(e Event, n int) { eventCounters[e].Add(int64(n)) }

// EventCount returns how often an event was counted since the process started.
func EventCount(e Event) int64 { return eventCounters[e].Load() }

type dutyCounter struct {
	calls   atomic.Int64
	totalNs atomic.Int64
}

var dutyCounters [numDuties]dutyCounter

// AddTime counts one call of a duty and adds the time since start to the duty's total. The elapsed
// time includes waiting for locks and for
// a free processor, so the sums are upper bounds of the processor time.
func AddTime(d Duty, start time.Time) {
	dutyCounters[d].calls.Add(1)
	dutyCounters[d].totalNs.Add(int64(time.Since(start)))
}

// DutyTotal is the number of times that a duty was performed since the process started, and the
// total time spent on it.
type DutyTotal struct {
	Count   int64   `json:"count"`
	Seconds float64 `json:"seconds"`
}

// Reading is a reading of the process's resource usage. Counters count from the start of the
// process, uptime from the creation of the meter.
type Reading struct {
	CPUSeconds  float64              `json:"cpu_s"` // user and system time of the process
	UptimeS     float64              `json:"uptime_s"`
	HeapMB      float64              `json:"heap_mb"`
	RuntimeMB   float64              `json:"runtime_mb"` // memory held by the Go runtime
	PeakMB      float64              `json:"peak_resident_mb"`
	Collections uint64               `json:"collections"`
	CollectorS  float64              `json:"collector_s"` // processor time of the garbage collector, as of the last collection
	Goroutines  uint64               `json:"goroutines"`
	LateMsP99   int64                `json:"late_ms_p99"` // delay of timers since the last log line, 99th percentile
	LateMsMax   int64                `json:"late_ms_max"`
	Queues      map[string]int       `json:"queues"` // queue depths and numbers of open connections
	Duties      map[string]DutyTotal `json:"duties"`
	Events      map[string]int64     `json:"events"`
}

// Indices of the runtime metrics in a reading.
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
	startedAt   time.Time
	queues      func() map[string]int
	log         *slog.Logger
	memoryLimit int64 // bytes
	pressure    atomic.Bool
	lastDelay   atomic.Int64 // ns by which the last probe timer fired late

	mu            sync.Mutex
	samples       [numSamples]metrics.Sample
	memorySamples [2]metrics.Sample       // total memory of the runtime, and memory returned to the system
	timerDelays   *hdrhistogram.Histogram // ms, since the last log line
}

// New returns a meter. The process is under memory pressure if the runtime held more than
// memoryLimit bytes at the last probe. queues returns queue depths by name, for readings.
func New(memoryLimit int64, queues func() map[string]int, log *slog.Logger) *Meter {
	m := &Meter{startedAt: time.Now(), memoryLimit: memoryLimit, queues: queues, log: log, timerDelays: hdrhistogram.New(1, 60_000, 2)}
	for i, name := range sampleNames {
		m.samples[i].Name = name
	}
	m.memorySamples[0].Name, m.memorySamples[1].Name = sampleNames[memoryTotal], sampleNames[memoryReleased]
	return m
}

// MemoryPressure reports whether the Go runtime held more memory than the limit at the last probe.
// The process should then accept no more work. Probes take place once per second.
func (m *Meter) MemoryPressure() bool { return m.pressure.Load() }

// TimerDelay returns how late the last probe timer fired.
func (m *Meter) TimerDelay() time.Duration { return time.Duration(m.lastDelay.Load()) }

// Read returns a new reading.
func (m *Meter) Read() Reading {
	m.mu.Lock()
	defer m.mu.Unlock()
	metrics.Read(m.samples[:])
	s := &m.samples
	r := Reading{
		UptimeS:   time.Since(m.startedAt).Seconds(),
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

// Run measures timer delay and memory once per second and logs a reading every 10 s, until ctx
// ends.
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

// probe records the delay of the probe timer, and whether the process is under memory pressure.
func (m *Meter) probe(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	metrics.Read(m.memorySamples[:])
	m.pressure.Store(int64(m.memorySamples[0].Value.Uint64()-m.memorySamples[1].Value.Uint64()) > m.memoryLimit)
	m.lastDelay.Store(int64(delay))
	_ = m.timerDelays.RecordValue(max(0, delay.Milliseconds())) // delays above the histogram's limit of one minute are not recorded
}

func (m *Meter) resetTimerDelays() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timerDelays.Reset()
}

// logReading logs a reading. CPU time, garbage collection and duties are logged as differences from
// the last reading; events are logged as totals.
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
