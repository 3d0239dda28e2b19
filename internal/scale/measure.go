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

	"github.com/wallrack/wallrack/internal/periodic"
	"github.com/wallrack/wallrack/internal/usage"
)

const (
	sampleInterval         = time.Second
	samplesPerUsageReading = 5 // samples between two readings of the controllers' usage
	usageTimeout           = 2 * time.Second
)

// Sample is one second of the run.
type Sample struct {
	AtS         float64   `json:"at_s"`
	Phase       string    `json:"phase"`
	Starts      int       `json:"starts"`  // during this second
	Running     int       `json:"running"` // tasks on workers
	Unfinished  int       `json:"unfinished"`
	Controllers []float64 `json:"controllers_cpu,omitempty"` // CPU used since the last reading, as a share of one core
}

// usageTotals accumulates the resource usage of a controller over its restarts.
type usageTotals struct {
	mu                             sync.Mutex
	lastReading                    usage.Reading
	lastAt                         time.Time
	cpuS, peakCPU                  float64
	maxMemoryMB                    float64
	maxConnections, failedReadings int // open inbound connections; usage readings that failed
}

// add adds a reading and returns the CPU used since the previous one, as a share of one core. For the
// first reading it returns 0.
func (u *usageTotals) add(reading usage.Reading, now time.Time) (share float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	used := reading.CPUSeconds - u.lastReading.CPUSeconds
	if reading.UptimeS < u.lastReading.UptimeS || u.lastAt.IsZero() {
		used = reading.CPUSeconds // the controller was restarted
	}
	if !u.lastAt.IsZero() {
		share = used / now.Sub(u.lastAt).Seconds()
		u.peakCPU = max(u.peakCPU, share)
	}
	u.cpuS += used
	// The peak resident set size is not used: a child process starts with the peak of its parent.
	u.maxMemoryMB = max(u.maxMemoryMB, reading.RuntimeMB)
	u.maxConnections = max(u.maxConnections, reading.Queues["connections"])
	u.lastReading, u.lastAt = reading, now
	return share
}

// collectSamples records a sample every second until ctx ends. Every fifth sample includes the CPU
// usage of the controllers, which is read once more at the end.
func (r *Run) collectSamples(ctx context.Context) {
	start, client := time.Now(), &http.Client{Timeout: usageTimeout}
	startsBefore := 0
	for n := 1; periodic.Sleep(ctx, time.Until(start.Add(time.Duration(n)*sampleInterval))); n++ {
		running, unfinished := r.track.taskCounts()
		phase, starts := r.track.phaseAndStarts()
		sample := Sample{AtS: time.Since(start).Seconds(), Phase: phase, Starts: starts - startsBefore, Running: running, Unfinished: unfinished}
		startsBefore = starts
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

// readUsage reads the usage of all controllers and returns the CPU used by each, as a share of
// one core. The share is 0 for a controller whose usage can't be read.
func (r *Run) readUsage(client *http.Client) []float64 {
	shares := make([]float64, len(r.controllers))
	var readings sync.WaitGroup
	for i, c := range r.controllers {
		readings.Go(func() {
			reading, err := fetchUsage(client, c.Addr)
			if err != nil {
				c.usage.mu.Lock()
				c.usage.failedReadings++
				c.usage.mu.Unlock()
				return
			}
			shares[i] = c.usage.add(reading, time.Now())
		})
	}
	readings.Wait()
	return shares
}

// fetchUsage requests the usage of a controller.
func fetchUsage(client *http.Client, addr string) (usage.Reading, error) {
	var stats struct {
		Usage usage.Reading `json:"usage"`
	}
	resp, err := client.Get("http://" + addr + "/ops/stats")
	if err != nil {
		return stats.Usage, err
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read
	return stats.Usage, json.NewDecoder(resp.Body).Decode(&stats)
}

// hostLoad returns the host's load average over one minute, or 0 if it can't be read.
func hostLoad() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(data), " ")
	load, _ := strconv.ParseFloat(first, 64) // 0 if it is not a number
	return load
}
