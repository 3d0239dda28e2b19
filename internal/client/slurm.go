package client

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/goccy/go-json"
	"golang.org/x/sync/errgroup"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/jobid"
	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// get asks for a path and reads the answer.
func (c *Client) get(ctx context.Context, path string, into any) error {
	data, err := c.Raw(ctx, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%w: malformed answer", ErrUnknown)
	}
	return nil
}

// Site asks what Slurm-style clients need to know of the site.
func (c *Client) Site(ctx context.Context) (*jobquery.Site, error) {
	var s jobquery.Site
	err := c.get(ctx, "/slurm/site", &s)
	if errors.Is(err, ErrNotFound) {
		return nil, fmt.Errorf("%w: Slurm-style clients are switched off at this site", ErrRefused)
	}
	return &s, err
}

// Numbers takes so many numbers in a row for a new job. A repeat takes others.
func (c *Client) Numbers(ctx context.Context, count int) (uint64, error) {
	out, err := c.Send(ctx, http.MethodPost, "/slurm/numbers", []byte(`{"count":`+strconv.Itoa(count)+`}`))
	if err != nil {
		return 0, err
	}
	var j jobid.Job
	if err := json.Unmarshal(out, &j); err != nil || j.First == 0 {
		return 0, fmt.Errorf("%w: malformed answer", ErrUnknown)
	}
	return j.First, nil
}

// SubmitWith submits a job with terms, as Submit does. With test it is checked
// only.
func (c *Client) SubmitWith(ctx context.Context, job *wire.Job, t *jobspec.Constraints, d *taskspec.Spec, test bool) (*wire.JobState, error) {
	if !test {
		if err := c.describe(ctx, job.UID, d); err != nil {
			return nil, err
		}
	}
	data, err := json.Marshal(submission(job))
	if err != nil {
		return nil, fmt.Errorf("encode job: %w", err)
	}
	body, err := json.Marshal(jobquery.Submission{Job: data, Constraints: t, DryRun: test})
	if err != nil {
		return nil, fmt.Errorf("encode job: %w", err)
	}
	return c.ask(ctx, http.MethodPost, "/slurm/jobs", body)
}

// Find returns the job that a number belongs to.
func (c *Client) Find(ctx context.Context, n uint64) (*jobid.Job, error) {
	var j jobid.Job
	return &j, c.get(ctx, "/slurm/numbers/"+strconv.FormatUint(n, 10), &j)
}

// Info shows a job, living or over.
func (c *Client) Info(ctx context.Context, uid string) (*jobquery.Info, error) {
	var i jobquery.Info
	return &i, c.get(ctx, "/slurm/jobs/"+url.PathEscape(uid), &i)
}

// Jobs lists the living jobs, a page at a time. A page that does not come is asked
// for again, of whichever controller answers.
func (c *Client) Jobs(ctx context.Context, each func(p *jobquery.Page) error) error {
	var from jobquery.Cursor
	for {
		var p jobquery.Page
		if err := c.get(ctx, fmt.Sprintf("/slurm/jobs?number=%d&on=%d&task=%d", from.Number, from.On, from.Task), &p); err != nil {
			return err
		}
		if err := each(&p); err != nil || p.Next == nil {
			return err
		}
		if *p.Next == from {
			return fmt.Errorf("%w: the listing does not go on", ErrUnknown)
		}
		from = *p.Next
	}
}

// Order asks something of a living job: hold or release.
func (c *Client) Order(ctx context.Context, uid, verb string) error {
	_, err := c.Send(ctx, http.MethodPost, "/slurm/jobs/"+url.PathEscape(uid)+"/"+verb, nil)
	return err
}

// Drop cancels tasks of a living job alone.
func (c *Client) Drop(ctx context.Context, uid string, tasks jobspec.Ranges) error {
	body, err := json.Marshal(map[string]string{"tasks": tasks.String()})
	if err != nil {
		return fmt.Errorf("encode tasks: %w", err)
	}
	_, err = c.Send(ctx, http.MethodPost, "/slurm/jobs/"+url.PathEscape(uid)+"/drop", body)
	return err
}

// Accounts hands every row of accounting of a day, which is UTC's, to each, one
// after the other. Rows may come twice. While some pages are unpacked, on every
// processor, the next are asked for.
func (c *Client) Accounts(ctx context.Context, day time.Time, each func(*accounting.Row)) error {
	rd, err := accounting.NewReader()
	if err != nil {
		return err
	}
	defer rd.Close()
	g, ctx := errgroup.WithContext(ctx)
	answers := make(chan []string, 1)
	g.Go(func() error {
		defer close(answers)
		path := "/accounting/" + accounting.Day(day)
		for after := ""; ; {
			var rows jobquery.Rows
			if err := c.get(ctx, path+"?after="+url.QueryEscape(after), &rows); err != nil {
				return err
			}
			select {
			case answers <- rows.Pages:
			case <-ctx.Done():
				return ctx.Err()
			}
			if rows.Next == "" {
				return nil
			}
			after = rows.Next
		}
	})
	g.Go(func() error {
		for pages := range answers {
			rows := make([][]accounting.Row, len(pages))
			var unpack errgroup.Group
			for i, p := range pages {
				unpack.Go(func() error {
					return rd.Unpack(p, func(r *accounting.Row) { rows[i] = append(rows[i], *r) })
				})
			}
			if err := unpack.Wait(); err != nil {
				return err
			}
			for _, page := range rows {
				for i := range page {
					each(&page[i])
				}
			}
		}
		return nil
	})
	return g.Wait()
}
