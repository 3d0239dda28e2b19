package scale

import (
	"context"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/usage"
)

const (
	sampleInterval         = time.Second
	samplesPerUsageReading = 5 // of the controllers' usage
	usageTimeout           = 2 * time.Second
)

// Sample is one second of the run.
type Sample struct {
	AtS         float64   `json:"at_s"`
	Phase       string    `json:"phase"`
	Starts      int       `json:"starts"`  // in this second
	Running     int       `json:"running"` // tasks on workers
	Unfinished  int       `json:"unfinished"`
	Controllers []float64 `json:"controllers_cpu,omitempty"` // share of a core since the last reading
}

// usageTotals adds up what a controller's processes used, over its restarts.
type usageTotals struct {
	mu                sync.Mutex
	last              usage.Reading
	lastAt            time.Time
	cpuS, peakCPU     float64
	memoryMB          float64 // most
	inbound, failures int     // most connections; readings that failed
}

// add adds a reading and returns the share of a core since the one before.
func (u *usageTotals) add(reading usage.Reading, now time.Time) (share float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	used := reading.CPUSeconds - u.last.CPUSeconds
	if reading.UptimeS < u.last.UptimeS || u.lastAt.IsZero() {
		used = reading.CPUSeconds // a new process
	}
	if !u.lastAt.IsZero() {
		share = used / now.Sub(u.lastAt).Seconds()
		u.peakCPU = max(u.peakCPU, share)
	}
	u.cpuS += used
	// Not the peak of the resident set: a child's counter starts at that of the process
	// that started it.
	u.memoryMB = max(u.memoryMB, reading.RuntimeMB)
	u.inbound = max(u.inbound, reading.Queues["connections"])
	u.last, u.lastAt = reading, now
	return share
}

// collectSamples samples the site once a second until ctx ends.
func (r *Run) collectSamples(ctx context.Context) {
	began, client := time.Now(), &http.Client{Timeout: usageTimeout}
	before := 0
	for n := 1; sleep(ctx, time.Until(began.Add(time.Duration(n)*sampleInterval))); n++ {
		running, unfinished := r.track.taskCounts()
		phase, starts := r.track.phaseAndStarts()
		sample := Sample{AtS: time.Since(began).Seconds(), Phase: phase, Starts: starts - before, Running: running, Unfinished: unfinished}
		before = starts
		if n%samplesPerUsageReading == 0 {
			sample.Controllers = r.readUsage(client)
		}
		r.samples = append(r.samples, sample)
		if r.Progress != nil {
			r.Progress(phase, running, sample.Starts)
		}
	}
	r.readUsage(client)
}

// readUsage reads the usage of all controllers.
func (r *Run) readUsage(client *http.Client) []float64 {
	shares := make([]float64, len(r.controllers))
	var readings sync.WaitGroup
	for i, c := range r.controllers {
		readings.Go(func() {
			reading, err := fetchUsage(client, c.Addr)
			if err != nil {
				c.usage.mu.Lock()
				c.usage.failures++
				c.usage.mu.Unlock()
				return
			}
			shares[i] = c.usage.add(reading, time.Now())
		})
	}
	readings.Wait()
	return shares
}

// fetchUsage gets the usage of a controller.
func fetchUsage(client *http.Client, addr string) (usage.Reading, error) {
	var stats struct {
		Usage usage.Reading `json:"usage"`
	}
	resp, err := client.Get("http://" + addr + "/ops/stats")
	if err != nil {
		return stats.Usage, err
	}
	defer func() { _ = resp.Body.Close() }() // what was read counts
	return stats.Usage, json.NewDecoder(resp.Body).Decode(&stats)
}

// hostLoad is the machine's load average of the last minute, or 0.
func hostLoad() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(data), " ")
	load, _ := strconv.ParseFloat(first, 64) // 0 if it is not a number
	return load
}
