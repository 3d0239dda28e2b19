package taskspec

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/wire"
)

// Client uploads and fetches descriptions.
type Client struct {
	Base string // http://HOST:PORT
	HTTP *http.Client
}

// NewClient returns a client of the service at an address.
func NewClient(base string) *Client {
	return &Client{Base: strings.TrimSuffix(base, "/"), HTTP: &http.Client{Timeout: 5 * time.Second}}
}

// Put uploads a job's description. To upload the same one again is no error.
func (c *Client) Put(ctx context.Context, job string, d *Spec) error {
	data, err := json.Marshal(d)
	if err != nil {
		return fmt.Errorf("encode description: %w", err)
	}
	status, body, err := c.do(ctx, http.MethodPut, job, data)
	switch {
	case err != nil:
		return err
	case status == http.StatusConflict:
		return ErrDiffers
	case status/100 != 2:
		return fmt.Errorf("description of %s: status %d: %s", job, status, reason(body))
	}
	return nil
}

// Get fetches a job's description.
func (c *Client) Get(ctx context.Context, job string) (*Spec, error) {
	status, body, err := c.do(ctx, http.MethodGet, job, nil)
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusNotFound:
		return nil, ErrNotFound
	case status != http.StatusOK:
		return nil, fmt.Errorf("description of %s: status %d: %s", job, status, reason(body))
	}
	var d Spec
	if err := json.Unmarshal(body, &d); err != nil {
		return nil, fmt.Errorf("description of %s: %w", job, err)
	}
	return &d, nil
}

func (c *Client) do(ctx context.Context, method, job string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.Base+pathPrefix+job, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("description of %s: %w", job, err)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("description of %s: %w", job, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 2*MaxBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("description of %s: %w", job, err)
	}
	return resp.StatusCode, data, nil
}

func reason(body []byte) string {
	var p wire.Problem
	if json.Unmarshal(body, &p) == nil && p.Error != "" {
		return p.Error
	}
	return fmt.Sprintf("%.200s", body)
}
