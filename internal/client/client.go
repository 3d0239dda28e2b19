// Package client is a user's side of the protocol: submissions, polls and
// cancels that are repeated, with the same id, until their outcome is known.
package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/wire"
)

var (
	// ErrNotFound means that the job was never accepted.
	ErrNotFound = errors.New("no such job")
	// ErrRefused means that the request will never be taken as it is.
	ErrRefused = errors.New("refused")
	// ErrUnknown means that no answer came in time: what was asked may have
	// been done, or may be yet. To ask again with the same id is safe.
	ErrUnknown = errors.New("outcome unknown")
)

const (
	answerWithin = 5 * time.Second
	pollWithin   = 2 * time.Second
	retryAfter   = time.Second
	retryMost    = 30 * time.Second
	giveUp       = 60 * time.Second
	pollEvery    = 5 * time.Second
	pollFirst    = 200 * time.Millisecond // a short job's end is looked for sooner
)

// Client talks to a site. The zero value of its fields but Base is ready for use.
type Client struct {
	Base  string // http://HOST:PORT
	Retry time.Duration
	http  http.Client
}

// New returns a client of the site at base.
func New(base string) *Client { return &Client{Base: strings.TrimSuffix(base, "/")} }

// NewUID makes a job id that nobody else has.
func NewUID() string { return "j-" + strings.ToLower(rand.Text()) }

// Submit uploads the description and submits the job, repeating both with the
// same id until the job is accepted, refused, or a minute is over.
func (c *Client) Submit(ctx context.Context, job *wire.Job, d *taskspec.Spec) (*wire.JobState, error) {
	if err := c.describe(ctx, job.UID, d); err != nil {
		return nil, err
	}
	return c.SubmitDescribed(ctx, job)
}

// SubmitDescribed submits a job whose description is there already.
func (c *Client) SubmitDescribed(ctx context.Context, job *wire.Job) (*wire.JobState, error) {
	body, err := json.Marshal(submission(job))
	if err != nil {
		return nil, fmt.Errorf("encode job: %w", err)
	}
	return c.ask(ctx, http.MethodPost, "/api/jobs", body)
}

// describe uploads what a job's tasks run.
func (c *Client) describe(ctx context.Context, uid string, d *taskspec.Spec) error {
	dc := &taskspec.Client{Base: c.Base, HTTP: &c.http}
	if err := c.until(ctx, func(ctx context.Context) (bool, time.Duration, error) {
		err := dc.Put(ctx, uid, d)
		return err == nil || errors.Is(err, taskspec.ErrDiffers), 0, err
	}); err != nil {
		return fmt.Errorf("upload description: %w", err)
	}
	return nil
}

// submission is the job with every field that a submission must have.
func submission(j *wire.Job) map[string]any {
	data, _ := json.Marshal(j) // a job can always be encoded
	m := map[string]any{"together": false, "apart": false, "loaners": false, "markS": 0, "stashS": 0}
	_ = json.Unmarshal(data, &m)
	return m
}

// Cancel cancels the job. The state tells whether it was done already.
func (c *Client) Cancel(ctx context.Context, uid string) (*wire.JobState, error) {
	return c.ask(ctx, http.MethodPost, "/api/jobs/"+uid+"/cancel", nil)
}

// Status polls the job, for as long as the site can't tell.
func (c *Client) Status(ctx context.Context, uid string) (*wire.JobState, error) {
	return c.ask(ctx, http.MethodGet, "/api/jobs/"+uid, nil)
}

// Wait polls until the job is done or cancelled.
func (c *Client) Wait(ctx context.Context, uid string) (*wire.JobState, error) {
	every := pollFirst
	for {
		s, err := c.Status(ctx, uid)
		if err != nil && !errors.Is(err, ErrUnknown) {
			return nil, err
		}
		if err == nil && (s.Stage == wire.StageDone || s.Stage == wire.StageCancelled) {
			return s, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(every):
		}
		every = min(pollEvery, every*3/2)
	}
}

// Raw gets a path of the operators' interface or a task's output.
func (c *Client) Raw(ctx context.Context, path string) (out []byte, err error) {
	return c.Send(ctx, http.MethodGet, path, nil)
}

// Once gets a path, and does not try again.
func (c *Client) Once(ctx context.Context, path string) ([]byte, error) {
	status, body, _, err := c.do(ctx, http.MethodGet, path, nil, answerWithin)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%w: status %d", ErrUnknown, status)
	}
	return body, err
}

// Send sends a request of the operators' interface, again until there is an
// answer for good.
func (c *Client) Send(ctx context.Context, method, path string, data []byte) (out []byte, err error) {
	err = c.until(ctx, func(ctx context.Context) (bool, time.Duration, error) {
		status, body, after, err := c.do(ctx, method, path, data, answerWithin)
		switch {
		case err != nil:
			return false, after, err
		case status == http.StatusOK:
			out = body
			return true, 0, nil
		case status == http.StatusNotFound:
			return true, 0, fmt.Errorf("%w: %s", ErrNotFound, problem(body))
		case status/100 == 4 && status != http.StatusTooManyRequests:
			return true, 0, fmt.Errorf("%w: %s", ErrRefused, problem(body))
		}
		return false, after, fmt.Errorf("%w: status %d", ErrUnknown, status)
	})
	return out, err
}

// ask repeats a request about a job until there is an answer for good.
func (c *Client) ask(ctx context.Context, method, path string, body []byte) (state *wire.JobState, err error) {
	within := answerWithin
	if method == http.MethodGet {
		within = pollWithin
	}
	err = c.until(ctx, func(ctx context.Context) (bool, time.Duration, error) {
		status, answer, after, err := c.do(ctx, method, path, body, within)
		if err != nil {
			return false, after, err
		}
		switch status {
		case http.StatusOK, http.StatusCreated:
			var s wire.JobState
			if err := json.Unmarshal(answer, &s); err != nil {
				return false, after, fmt.Errorf("%w: malformed answer", ErrUnknown)
			}
			state = &s
			return true, 0, nil
		case http.StatusNotFound:
			return true, 0, ErrNotFound
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return true, 0, fmt.Errorf("%w: %s", ErrRefused, problem(answer))
		}
		return false, after, fmt.Errorf("%w: status %d: %s", ErrUnknown, status, problem(answer))
	})
	return state, err
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, within time.Duration) (status int, answer []byte, after time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, 0, fmt.Errorf("request %s: %w", path, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, 0, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	defer resp.Body.Close()
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		after = min(retryMost, time.Duration(s)*time.Second)
	}
	answer, err = io.ReadAll(io.LimitReader(resp.Body, 64<<20))
	if err != nil {
		return 0, nil, after, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return resp.StatusCode, answer, after, nil
}

// until repeats f until it is over, for a minute in all.
func (c *Client) until(ctx context.Context, f func(context.Context) (over bool, after time.Duration, err error)) error {
	most := c.Retry
	if most == 0 {
		most = giveUp
	}
	end := time.Now().Add(most)
	for {
		over, after, err := f(ctx)
		pause := max(retryAfter, after)
		if over || err == nil || time.Now().Add(pause).After(end) {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", err, ctx.Err())
		case <-time.After(pause):
		}
	}
}

func problem(body []byte) string {
	var p wire.Problem
	if json.Unmarshal(body, &p) == nil && p.Error != "" {
		return p.Error
	}
	return strings.TrimSpace(fmt.Sprintf("%.200s", body))
}
