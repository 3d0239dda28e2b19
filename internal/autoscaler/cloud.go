// Package autoscaler rents and returns machines. One controller does so at a time:
// the one that owns the first shard.
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
	// errNoCapacity means that none is to be had of this type, zone and kind.
	errNoCapacity = errors.New("no capacity")
	// errTrouble means that the cloud did not do it, or did not answer.
	errTrouble = errors.New("cloud trouble")
	// errMalformed means that the cloud will never accept the request.
	errMalformed = errors.New("cloud refused the request")
)

const (
	cloudTimeout = 4 * time.Second
	listPage     = 500 // machines in an answer
)

// Cloud is the client of the cloud's interface.
type Cloud struct {
	base  string
	http  *http.Client
	limit *rate.Limiter
	lost  atomic.Bool // the last request got no answer
}

// Reached reports whether the cloud answered the last request, or was never asked.
func (c *Cloud) Reached() bool { return !c.lost.Load() }

// NewCloud returns a client that keeps within rps.
func NewCloud(addr string, rps float64) *Cloud {
	return NewCloudOver(&http.Transport{MaxConnsPerHost: 6, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}, addr, rps)
}

// NewCloudOver is NewCloud with requests carried by a transport.
func NewCloudOver(transport http.RoundTripper, addr string, rps float64) *Cloud {
	return &Cloud{
		base:  "http://" + addr,
		http:  &http.Client{Transport: transport},
		limit: rate.NewLimiter(rate.Limit(rps*0.85), max(1, int(rps))),
	}
}

func (c *Cloud) do(ctx context.Context, method, path string, body, out any) error {
	// Waiting for the budget is not the cloud's fault, and not part of the
	// time that it gets to answer.
	if err := c.limit.Wait(ctx); err != nil {
		return errTrouble
	}
	ctx, cancel := context.WithTimeout(ctx, cloudTimeout)
	defer cancel()
	var rd io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encode %s: %w", path, err)
		}
		rd = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, rd)
	if err != nil {
		return fmt.Errorf("request %s: %w", path, err)
	}
	resp, err := c.http.Do(req)
	c.lost.Store(err != nil)
	if err != nil {
		return fmt.Errorf("%w: %w", errTrouble, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 8<<20))
	if err != nil {
		return fmt.Errorf("%w: %w", errTrouble, err)
	}
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable:
		var p wire.Problem
		_ = json.Unmarshal(data, &p) // without a reason it counts as trouble
		if p.Error == errNoCapacity.Error() {
			return errNoCapacity
		}
		return errTrouble
	case resp.StatusCode == http.StatusBadRequest:
		return fmt.Errorf("%w: %.200s", errMalformed, data)
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("%w: status %d", errTrouble, resp.StatusCode)
	}
	if out != nil {
		if err := json.Unmarshal(data, out); err != nil {
			return fmt.Errorf("%w: malformed answer: %w", errTrouble, err)
		}
	}
	return nil
}

func (c *Cloud) types(ctx context.Context) ([]wire.MachineType, error) {
	var t wire.MachineTypes
	if err := c.do(ctx, http.MethodGet, "/machine_types", nil, &t); err != nil {
		return nil, err
	}
	return t.Types, nil
}

func (c *Cloud) hire(ctx context.Context, r wire.HireRequest) ([]string, error) {
	var n wire.MachineNames
	err := c.do(ctx, http.MethodPost, "/hosts", r, &n)
	return n.Machines, err
}

func (c *Cloud) release(ctx context.Context, names []string) error {
	return c.do(ctx, http.MethodPost, "/hosts/release", wire.MachineNames{Machines: names}, nil)
}

// list reads the whole list, a page a request.
func (c *Cloud) list(ctx context.Context) ([]wire.ListedMachine, error) {
	var all []wire.ListedMachine
	for after := ""; ; {
		q := url.Values{"limit": {strconv.Itoa(listPage)}}
		if after != "" {
			q.Set("after", after)
		}
		var page wire.MachineList
		if err := c.do(ctx, http.MethodGet, "/hosts?"+q.Encode(), nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		after = page.Machines[len(page.Machines)-1].Name
	}
}
