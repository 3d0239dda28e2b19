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
	sampleEvery = time.Second
	usageEvery  = 5 // samples between two looks at the controllers
	usageWithin = 2 * time.Second
)

// Sample is one second of the run.
type Sample struct {
	AtS         float64   `json:"at_s"`
	Phase       string    `json:"phase"`
	Starts      int       `json:"starts"`  // in this second
	Running     int       `json:"running"` // tasks on workers
	Unfinished  int       `json:"unfinished"`
	Controllers []float64 `json:"controllers_cpu,omitempty"` // share of a core since the last look
}

// usageTotals adds up what a controller's processes used, over its restarts.
type usageTotals struct {
	mu                sync.Mutex
	last              usage.Reading
	at                time.Time
	cpuS, peakCPU     float64
	memoryMB          float64
	inbound, failures int
}

// take adds a reading and returns the share of a core since the one before.
func (u *usageTotals) take(r usage.Reading, now time.Time) (share float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	used := r.CPUSeconds - u.last.CPUSeconds
	if r.UptimeS < u.last.UptimeS || u.at.IsZero() {
		used = r.CPUSeconds // a new process
	}
	if !u.at.IsZero() {
		share = used / now.Sub(u.at).Seconds()
		u.peakCPU = max(u.peakCPU, share)
	}
	u.cpuS += used
	// Not the peak of the resident set: a child's counter starts at that of the process
	// that started it.
	u.memoryMB = max(u.memoryMB, r.RuntimeMB)
	u.inbound = max(u.inbound, r.Queues["connections"])
	u.last, u.at = r, now
	return share
}

// sample looks at the site once a second until ctx ends.
func (r *Run) sample(ctx context.Context) {
	began, client := time.Now(), &http.Client{Timeout: usageWithin}
	total := 0
	for n := 1; wait(ctx, time.Until(began.Add(time.Duration(n)*sampleEvery))); n++ {
		on, unfinished := r.track.running()
		phase, starts := r.track.now()
		s := Sample{AtS: time.Since(began).Seconds(), Phase: phase, Starts: starts - total, Running: on, Unfinished: unfinished}
		total = starts
		if n%usageEvery == 0 {
			s.Controllers = r.readUsage(client)
		}
		r.samples = append(r.samples, s)
		if r.Progress != nil {
			r.Progress(phase, on, s.Starts)
		}
	}
	r.readUsage(client)
}

// readUsage asks all controllers what they use.
func (r *Run) readUsage(client *http.Client) []float64 {
	shares := make([]float64, len(r.controllers))
	var asked sync.WaitGroup
	for i, c := range r.controllers {
		asked.Add(1)
		go func() {
			defer asked.Done()
			reading, err := readUsage(client, c.Users)
			if err != nil {
				c.usage.mu.Lock()
				c.usage.failures++
				c.usage.mu.Unlock()
				return
			}
			shares[i] = c.usage.take(reading, time.Now())
		}()
	}
	asked.Wait()
	return shares
}

func readUsage(client *http.Client, addr string) (usage.Reading, error) {
	var stats struct {
		Usage usage.Reading `json:"usage"`
	}
	resp, err := client.Get("http://" + addr + "/ops/stats")
	if err != nil {
		return stats.Usage, err
	}
	defer resp.Body.Close()
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
