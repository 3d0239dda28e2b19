package autoscaler

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/goccy/go-json"
	"golang.org/x/time/rate"

	"github.com/wallrack/wallrack/internal/wire"
)

var (
	// errNoCapacity means that the cloud has no machine of an offer. The cloud sends the same text.
	errNoCapacity = errors.New("no capacity")
	// errUnavailable means that the cloud did not execute the request, or that its outcome
	// is unknown.
	errUnavailable = errors.New("cloud unavailable")
	// errRejected means that the cloud will never accept the request.
	errRejected = errors.New("cloud rejected the request")
)

const (
	cloudTimeout = 4 * time.Second
	listPage     = 500  // machines in a page of the list
	rateShare    = 0.85 // share of the cloud's rate limit that requests may use
	maxResponse  = 8 << 20
)

// Cloud is the client of the cloud's API. It is safe for concurrent use.
type Cloud struct {
	base       string
	http       *http.Client
	limit      *rate.Limiter
	unanswered atomic.Bool // whether the last request got no response
}

// Reached reports whether the cloud responded to the last request, or none was sent yet.
func (c *Cloud) Reached() bool { return !c.unanswered.Load() }

// NewCloud returns a client of the cloud at HOST:PORT that stays within a rate limit, in
// requests per second.
func NewCloud(addr string, rps float64) *Cloud {
	return NewCloudOver(&http.Transport{MaxConnsPerHost: 6, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}, addr, rps)
}

// NewCloudOver is like NewCloud, with the given transport.
func NewCloudOver(transport http.RoundTripper, addr string, rps float64) *Cloud {
	return &Cloud{
		base:  "http://" + addr,
		http:  &http.Client{Transport: transport},
		limit: rate.NewLimiter(rate.Limit(rps*rateShare), max(1, int(rps))),
	}
}

// do sends a request with body as JSON, unless it is nil, and decodes the response into out,
// unless that is nil. Errors wrap errNoCapacity, errUnavailable or errRejected.
func (c *Cloud) do(ctx context.Context, method, path string, body, out any) error {
	// The wait for the rate limit does not count towards cloudTimeout: otherwise a queue of
	// requests would look like an outage.
	if err := c.limit.Wait(ctx); err != nil {
		return fmt.Errorf("wait for the rate limit: %w: %w", errUnavailable, err)
	}
	ctx, cancel := context.WithTimeout(ctx, cloudTimeout)
	defer cancel()
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encode %s: %w", path, err)
		}
		content = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, content)
	if err != nil {
		return fmt.Errorf("request %s: %w", path, err)
	}
	resp, err := c.http.Do(req)
	c.unanswered.Store(err != nil)
	if err != nil {
		return fmt.Errorf("%s %s: %w: %w", method, path, errUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }() // the body was read, or reading failed
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return fmt.Errorf("%s %s: %w: %w", method, path, errUnavailable, err)
	}
	if err := statusError(resp.StatusCode, data); err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	if out != nil {
		if err := json.Unmarshal(data, out); err != nil {
			return fmt.Errorf("%s %s: %w: decode response: %w", method, path, errUnavailable, err)
		}
	}
	return nil
}

// statusError returns the error that a response stands for, nil if it succeeded.
func statusError(status int, body []byte) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusServiceUnavailable:
		var problem wire.Problem
		_ = json.Unmarshal(body, &problem) // an unreadable body counts as errUnavailable
		if problem.Error == errNoCapacity.Error() {
			return errNoCapacity
		}
		return errUnavailable
	case http.StatusBadRequest:
		return fmt.Errorf("%w: %.200s", errRejected, body)
	}
	return fmt.Errorf("%w: status %d", errUnavailable, status)
}

func (c *Cloud) machineTypes(ctx context.Context) ([]wire.MachineType, error) {
	var types wire.MachineTypes
	if err := c.do(ctx, http.MethodGet, "/machine_types", nil, &types); err != nil {
		return nil, err
	}
	return types.Types, nil
}

// provision requests machines and returns the names of those provisioned, which may be fewer.
// Repeating a request under the same name provisions no further machines.
func (c *Cloud) provision(ctx context.Context, req wire.ProvisionRequest) ([]string, error) {
	var names wire.MachineNames
	err := c.do(ctx, http.MethodPost, "/hosts", req, &names)
	return names.Machines, err
}

// deleteMachines deletes machines. It is no error if some are gone already.
func (c *Cloud) deleteMachines(ctx context.Context, names []string) error {
	return c.do(ctx, http.MethodPost, "/hosts/release", wire.MachineNames{Machines: names}, nil)
}

// listMachines reads the list of all machines, one page per request.
func (c *Cloud) listMachines(ctx context.Context) ([]wire.ListedMachine, error) {
	var all []wire.ListedMachine
	for after := ""; ; {
		query := url.Values{"limit": {strconv.Itoa(listPage)}}
		if after != "" {
			query.Set("after", after)
		}
		var page wire.MachineList
		if err := c.do(ctx, http.MethodGet, "/hosts?"+query.Encode(), nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		after = page.Machines[len(page.Machines)-1].Name
	}
}
