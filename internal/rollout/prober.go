package rollout

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/goccy/go-json"
)

const (
	probeMargin    = 2 * time.Second // added to the check's timeout, for the worker to respond
	maxProbeBody   = 4096
	probeKeepAlive = 30 * time.Second
)

// Health is the result of one check of a replica.
type Health string

// Results of a check.
const (
	Healthy   Health = "healthy"
	Unhealthy Health = "unhealthy"
	Hung      Health = "hung" // the replica did not respond in time
	Unknown   Health = ""     // the worker did not respond, so the replica's health is unknown
)

// Replica identifies a running replica.
type Replica struct {
	Task     string
	Attempt  uint64
	Endpoint string // HOST:PORT of its worker
}

// Prober checks the health of replicas through their workers. It is safe for concurrent use.
type Prober interface {
	// Probe returns the result of one check. It returns soon after the check's timeout or the end
	// of the context.
	Probe(ctx context.Context, r Replica, c Check) Health
}

// WorkerProber requests checks from workers over HTTP.
type WorkerProber struct{ client *http.Client }

// NewWorkerProber returns a prober with few idle connections.
func NewWorkerProber() *WorkerProber {
	return &WorkerProber{&http.Client{Transport: &http.Transport{MaxIdleConns: maxProbes, MaxIdleConnsPerHost: 1, IdleConnTimeout: probeKeepAlive}}}
}

// Probe implements Prober. It returns Unknown if the worker does not respond in time, or responds
// with a status other than 200 or with malformed JSON.
func (p *WorkerProber) Probe(ctx context.Context, r Replica, c Check) Health {
	ctx, cancel := context.WithTimeout(ctx, seconds(c.TimeoutS)+probeMargin)
	defer cancel()
	query := url.Values{"timeoutMs": {strconv.Itoa(int(c.TimeoutS * 1000))}}
	if c.TCP {
		query.Set("tcp", "1")
	} else {
		query.Set("http", c.HTTP)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/check/%s/%d?%s", r.Endpoint, r.Task, r.Attempt, query.Encode()), nil)
	if err != nil {
		return Unknown
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return Unknown
	}
	defer func() { _ = resp.Body.Close() }() // an error of Close doesn't affect the result
	var result struct {
		Outcome Health `json:"outcome"`
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxProbeBody))
	if err != nil || resp.StatusCode != http.StatusOK || json.Unmarshal(data, &result) != nil {
		return Unknown
	}
	return result.Outcome
}
