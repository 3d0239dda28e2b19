package client

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/jobid"
	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// getJSON gets a path as Get does and decodes the response.
func (c *Client) getJSON(ctx context.Context, path string, into any) error {
	data, err := c.Get(ctx, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return errMalformedResponse
	}
	return nil
}

// Site returns the site's settings for Slurm-style clients. The error wraps ErrRefused if the site
// doesn't serve such clients.
func (c *Client) Site(ctx context.Context) (*jobquery.Site, error) {
	var site jobquery.Site
	err := c.getJSON(ctx, "/slurm/site", &site)
	if errors.Is(err, ErrNotFound) {
		return nil, fmt.Errorf("%w: Slurm-style clients are switched off at this site", ErrRefused)
	}
	return &site, err
}

// ReserveNumbers reserves count consecutive job numbers for a new job and returns the first. A
// repeated request reserves other numbers; those of the earlier one stay unused.
func (c *Client) ReserveNumbers(ctx context.Context, count int) (uint64, error) {
	out, err := c.Send(ctx, http.MethodPost, "/slurm/numbers", []byte(`{"count":`+strconv.Itoa(count)+`}`))
	if err != nil {
		return 0, err
	}
	var reserved jobid.Job
	if err := json.Unmarshal(out, &reserved); err != nil || reserved.First == 0 {
		return 0, errMalformedResponse
	}
	return reserved.First, nil
}

// SubmitWithConstraints submits a job with constraints. It repeats the request and returns errors as
// Submit does. With dryRun the site only validates the job, and nothing is uploaded.
func (c *Client) SubmitWithConstraints(ctx context.Context, job *wire.Job, constraints *jobspec.Constraints, description *taskspec.Spec, dryRun bool) (*wire.JobState, error) {
	if !dryRun {
		if err := c.uploadDescription(ctx, job.UID, description); err != nil {
			return nil, err
		}
	}
	data, err := EncodeSubmission(job)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(jobquery.Submission{Job: data, Constraints: constraints, DryRun: dryRun})
	if err != nil {
		return nil, fmt.Errorf("encode job: %w", err)
	}
	return c.jobRequest(ctx, http.MethodPost, "/slurm/jobs", body)
}

// JobByNumber returns the job that has a number. The result is never nil. If no job has the number
// the error wraps ErrNotFound and the result is empty.
func (c *Client) JobByNumber(ctx context.Context, number uint64) (*jobid.Job, error) {
	var found jobid.Job
	return &found, c.getJSON(ctx, "/slurm/numbers/"+strconv.FormatUint(number, 10), &found)
}

// Info returns the site's information about a job, active or ended. The result is never nil.
func (c *Client) Info(ctx context.Context, uid string) (*jobquery.Info, error) {
	var info jobquery.Info
	return &info, c.getJSON(ctx, "/slurm/jobs/"+url.PathEscape(uid), &info)
}

// Jobs lists the active jobs and calls each for every page. If each returns an error, Jobs stops
// and returns it. A request for a page is repeated as in Send, and any controller can respond to
// the repeat.
func (c *Client) Jobs(ctx context.Context, each func(page *jobquery.Page) error) error {
	var from jobquery.Cursor
	for {
		var page jobquery.Page
		if err := c.getJSON(ctx, fmt.Sprintf("/slurm/jobs?number=%d&on=%d&task=%d", from.Number, from.SkipPlacements, from.Task), &page); err != nil {
			return err
		}
		if err := each(&page); err != nil || page.Next == nil {
			return err
		}
		if *page.Next == from { // a site that repeats a page would be listed for ever
			return fmt.Errorf("%w: the listing does not go on", ErrUnknown)
		}
		from = *page.Next
	}
}

// ApplyVerb applies a verb, "hold" or "release", to an active job, with the errors of Send.
func (c *Client) ApplyVerb(ctx context.Context, uid, verb string) error {
	_, err := c.Send(ctx, http.MethodPost, "/slurm/jobs/"+url.PathEscape(uid)+"/"+verb, nil)
	return err
}

// CancelTasks cancels the given tasks of an active job, with the errors of Send.
func (c *Client) CancelTasks(ctx context.Context, uid string, tasks jobspec.Ranges) error {
	body, err := json.Marshal(map[string]string{"tasks": tasks.String()})
	if err != nil {
		return fmt.Errorf("encode tasks: %w", err)
	}
	_, err = c.Send(ctx, http.MethodPost, "/slurm/jobs/"+url.PathEscape(uid)+"/drop", body)
	return err
}
