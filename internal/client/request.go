package client

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/periodic"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	requestTimeout      = 5 * time.Second
	pollTimeout         = 2 * time.Second // timeout of a GET for a job, which is repeated anyway
	minRetryPause       = time.Second
	maxRetryPause       = 30 * time.Second // upper limit for Retry-After
	defaultRetryTimeout = 60 * time.Second
	maxBodyBytes        = 64 << 20
)

// attempt is the outcome of one request in a series of retries.
type attempt struct {
	conclusive bool          // a retry would have the same outcome
	retryAfter time.Duration // minimum pause before the next request
	err        error
}

// response is a site's response to one request.
type response struct {
	status     int
	body       []byte
	retryAfter time.Duration // from the header Retry-After; 0 if absent
}

// Get gets a path of the operators' interface or a task's output. It repeats the request and returns
// errors as Send does.
func (c *Client) Get(ctx context.Context, path string) ([]byte, error) {
	return c.Send(ctx, http.MethodGet, path, nil)
}

// GetOnce gets a path with a single request. Any status other than 200 results in an error that
// wraps ErrUnknown.
func (c *Client) GetOnce(ctx context.Context, path string) ([]byte, error) {
	resp, err := c.do(ctx, http.MethodGet, path, nil, requestTimeout)
	if err == nil && resp.status != http.StatusOK {
		err = fmt.Errorf("%w: status %d", ErrUnknown, resp.status)
	}
	return resp.body, err
}

// Send sends a request to the operators' interface and returns the body of the response. The
// request is repeated until the response is conclusive or c.RetryTimeout is over. The error wraps
// ErrNotFound, ErrRefused or ErrUnknown.
func (c *Client) Send(ctx context.Context, method, path string, data []byte) (out []byte, err error) {
	err = c.retry(ctx, func(ctx context.Context) attempt {
		resp, err := c.do(ctx, method, path, data, requestTimeout)
		switch {
		case err != nil:
			return attempt{retryAfter: resp.retryAfter, err: err}
		case resp.status == http.StatusOK:
			out = resp.body
			return attempt{conclusive: true}
		case resp.status == http.StatusNotFound:
			return attempt{conclusive: true, err: fmt.Errorf("%w: %s", ErrNotFound, errorReason(resp.body))}
		case resp.status/100 == 4 && resp.status != http.StatusTooManyRequests:
			return attempt{conclusive: true, err: fmt.Errorf("%w: %s", ErrRefused, errorReason(resp.body))}
		}
		return attempt{retryAfter: resp.retryAfter, err: fmt.Errorf("%w: status %d", ErrUnknown, resp.status)}
	})
	return out, err
}

// jobRequest sends a request about a job, repeated as in Send, and returns the job's state.
func (c *Client) jobRequest(ctx context.Context, method, path string, body []byte) (state *wire.JobState, err error) {
	timeout := requestTimeout
	if method == http.MethodGet {
		timeout = pollTimeout
	}
	err = c.retry(ctx, func(ctx context.Context) attempt {
		resp, err := c.do(ctx, method, path, body, timeout)
		if err != nil {
			return attempt{retryAfter: resp.retryAfter, err: err}
		}
		switch resp.status {
		case http.StatusOK, http.StatusCreated:
			var received wire.JobState
			if err := json.Unmarshal(resp.body, &received); err != nil {
				return attempt{retryAfter: resp.retryAfter, err: errMalformedResponse}
			}
			state = &received
			return attempt{conclusive: true}
		case http.StatusNotFound:
			return attempt{conclusive: true, err: ErrNotFound}
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return attempt{conclusive: true, err: fmt.Errorf("%w: %s", ErrRefused, errorReason(resp.body))}
		}
		return attempt{retryAfter: resp.retryAfter, err: fmt.Errorf("%w: status %d: %s", ErrUnknown, resp.status, errorReason(resp.body))}
	})
	return state, err
}

// errMalformedResponse is the error of a response that can't be decoded.
var errMalformedResponse = fmt.Errorf("%w: malformed answer", ErrUnknown)

// do sends one request. If reading the body fails, the returned response still contains retryAfter.
func (c *Client) do(ctx context.Context, method, path string, body []byte, timeout time.Duration) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(body))
	if err != nil {
		return response{}, fmt.Errorf("request %s: %w", path, err)
	}
	req.Header.Set("Content-Type", "application/json")
	received, err := c.httpClient.Do(req)
	if err != nil {
		return response{}, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	defer func() { _ = received.Body.Close() }() // the body was read, so an error of Close has no effect
	var resp response
	if seconds, err := strconv.Atoi(received.Header.Get("Retry-After")); err == nil {
		resp.retryAfter = min(maxRetryPause, time.Duration(seconds)*time.Second)
	}
	data, err := io.ReadAll(io.LimitReader(received.Body, maxBodyBytes))
	if err != nil {
		return resp, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	resp.status, resp.body = received.StatusCode, data
	return resp, nil
}

// retry calls request until the outcome is conclusive, the error is nil, c.RetryTimeout is over, or
// ctx ends. It returns the error of the last attempt.
func (c *Client) retry(ctx context.Context, request func(context.Context) attempt) error {
	limit := c.RetryTimeout
	if limit == 0 {
		limit = defaultRetryTimeout
	}
	end := time.Now().Add(limit)
	for {
		last := request(ctx)
		pause := max(minRetryPause, last.retryAfter)
		if last.conclusive || last.err == nil || time.Now().Add(pause).After(end) {
			return last.err
		}
		if !periodic.Sleep(ctx, pause) {
			return fmt.Errorf("%w: %w", last.err, ctx.Err())
		}
	}
}

// errorReason returns the reason in the body of an unsuccessful response: that of a wire.Problem, or
// else the first 200 bytes.
func errorReason(body []byte) string {
	var stated wire.Problem
	if json.Unmarshal(body, &stated) == nil && stated.Error != "" {
		return stated.Error
	}
	return strings.TrimSpace(fmt.Sprintf("%.200s", body))
}
