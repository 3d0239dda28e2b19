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

const clientTimeout = 5 * time.Second

// Client uploads and fetches descriptions. It is safe for concurrent use.
type Client struct {
	Base string // http://HOST:PORT
	HTTP *http.Client
}

// NewClient returns a client of the service at http://HOST:PORT.
func NewClient(base string) *Client {
	return &Client{Base: strings.TrimSuffix(base, "/"), HTTP: &http.Client{Timeout: clientTimeout}}
}

// Put uploads a job's description. Uploading the same description again succeeds; a different one
// fails with ErrConflict.
func (c *Client) Put(ctx context.Context, job string, spec *Spec) error {
	data, err := json.Marshal(spec)
	if err != nil {
		return fmt.Errorf("encode description: %w", err)
	}
	status, body, err := c.do(ctx, http.MethodPut, job, data)
	switch {
	case err != nil:
		return err
	case status == http.StatusConflict:
		return ErrConflict
	case status/100 != 2:
		return fmt.Errorf("description of %s: status %d: %s", job, status, errorMessage(body))
	}
	return nil
}

// Get fetches a job's description. It fails with ErrNotFound if none is stored.
func (c *Client) Get(ctx context.Context, job string) (*Spec, error) {
	status, body, err := c.do(ctx, http.MethodGet, job, nil)
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusNotFound:
		return nil, ErrNotFound
	case status != http.StatusOK:
		return nil, fmt.Errorf("description of %s: status %d: %s", job, status, errorMessage(body))
	}
	var spec Spec
	if err := json.Unmarshal(body, &spec); err != nil {
		return nil, fmt.Errorf("description of %s: %w", job, err)
	}
	return &spec, nil
}

// do sends a request for a job's description and returns the response's status and body.
func (c *Client) do(ctx context.Context, method, job string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.Base+pathPrefix+job, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("description of %s: %w", job, err)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("description of %s: %w", job, err)
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read, or reading it has failed
	data, err := io.ReadAll(io.LimitReader(resp.Body, 2*MaxBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("description of %s: %w", job, err)
	}
	return resp.StatusCode, data, nil
}

// errorMessage returns the error message of a response, or the first 200 bytes of the body if it
// has none.
func errorMessage(body []byte) string {
	var problem wire.Problem
	if json.Unmarshal(body, &problem) == nil && problem.Error != "" {
		return problem.Error
	}
	return fmt.Sprintf("%.200s", body)
}
