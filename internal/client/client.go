// Package client is the client of the HTTP interface for users: it submits, polls and cancels jobs
// and reads the listings for Slurm-style commands. A request whose outcome is unknown is
// repeated with the same job id, so that a repeat does not create a second job.
//
// A Client has no state about jobs. It does not validate requests (the site does), and it does
// not print.
package client

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/periodic"
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/wire"
)

var (
	// ErrNotFound means that the job was never accepted, or that the path doesn't exist.
	ErrNotFound = errors.New("no such job")
	// ErrRefused means that the request will not be accepted unless it is changed.
	ErrRefused = errors.New("refused")
	// ErrUnknown means that no conclusive response came in time: the request may have been
	// executed, or may still be. Repeating it with the same id is safe.
	ErrUnknown = errors.New("outcome unknown")
)

const (
	firstWaitPoll = 200 * time.Millisecond // short, so that the end of a short job is noticed soon
	maxWaitPoll   = 5 * time.Second
)

// Client sends requests to one site. Base is required; the zero values of the other fields are
// ready for use. Its methods may be called concurrently.
type Client struct {
	Base         string        // http://HOST:PORT, without a slash at the end
	RetryTimeout time.Duration // how long a request is repeated; 0 means defaultRetryTimeout

	httpClient http.Client
}

// New returns a client of the site at base, http://HOST:PORT.
func New(base string) *Client { return &Client{Base: strings.TrimSuffix(base, "/")} }

// NewUID returns a random job id, unique for all practical purposes.
func NewUID() string { return "j-" + strings.ToLower(rand.Text()) }

// Submit uploads the description and submits the job. Both requests are repeated with the same id
// until they are accepted or refused, or c.RetryTimeout is over. The error wraps ErrRefused,
// ErrUnknown or taskspec.ErrConflict (a different description was uploaded for this id).
func (c *Client) Submit(ctx context.Context, job *wire.Job, description *taskspec.Spec) (*wire.JobState, error) {
	if err := c.uploadDescription(ctx, job.UID, description); err != nil {
		return nil, err
	}
	return c.SubmitDescribed(ctx, job)
}

// SubmitDescribed submits a job whose description was uploaded before. It repeats the request and
// returns errors as Submit does.
func (c *Client) SubmitDescribed(ctx context.Context, job *wire.Job) (*wire.JobState, error) {
	body, err := EncodeSubmission(job)
	if err != nil {
		return nil, err
	}
	return c.jobRequest(ctx, http.MethodPost, "/api/jobs", body)
}

// uploadDescription uploads the description of a job.
func (c *Client) uploadDescription(ctx context.Context, uid string, description *taskspec.Spec) error {
	upload := &taskspec.Client{Base: c.Base, HTTP: &c.httpClient}
	err := c.retry(ctx, func(ctx context.Context) attempt {
		err := upload.Put(ctx, uid, description)
		return attempt{conclusive: err == nil || errors.Is(err, taskspec.ErrConflict), err: err}
	})
	if err != nil {
		return fmt.Errorf("upload description: %w", err)
	}
	return nil
}

// EncodeSubmission encodes a job with every field that a submission must have, including those that
// the encoding of wire.Job omits when they are zero. It encodes a map, which sorts the keys, as the
// recorded form of submissions requires.
func EncodeSubmission(job *wire.Job) ([]byte, error) {
	data, err := json.Marshal(job)
	if err != nil {
		return nil, fmt.Errorf("encode job: %w", err)
	}
	fields := map[string]any{"together": false, "apart": false, "loaners": false, "markS": 0, "stashS": 0}
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, fmt.Errorf("encode job: %w", err)
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("encode job: %w", err)
	}
	return body, nil
}

// Cancel cancels the job and returns its state. If the job was done before, the stage is StageDone.
// The error wraps ErrNotFound, ErrRefused or ErrUnknown.
func (c *Client) Cancel(ctx context.Context, uid string) (*wire.JobState, error) {
	return c.jobRequest(ctx, http.MethodPost, "/api/jobs/"+uid+"/cancel", nil)
}

// Status returns the job's state. While the site can't determine the state the request is repeated,
// until c.RetryTimeout is over. The error wraps ErrNotFound, ErrRefused or ErrUnknown.
func (c *Client) Status(ctx context.Context, uid string) (*wire.JobState, error) {
	return c.jobRequest(ctx, http.MethodGet, "/api/jobs/"+uid, nil)
}

// Wait polls until the job is done or cancelled and returns its state. Polls with an unknown
// outcome are repeated without limit. The error is ctx.Err() or wraps ErrNotFound or
// ErrRefused.
func (c *Client) Wait(ctx context.Context, uid string) (*wire.JobState, error) {
	pause := firstWaitPoll
	for {
		state, err := c.Status(ctx, uid)
		if err != nil && !errors.Is(err, ErrUnknown) {
			return nil, err
		}
		if err == nil && (state.Stage == wire.StageDone || state.Stage == wire.StageCancelled) {
			return state, nil
		}
		if !periodic.Sleep(ctx, pause) {
			return nil, ctx.Err()
		}
		pause = min(maxWaitPoll, pause*3/2)
	}
}
