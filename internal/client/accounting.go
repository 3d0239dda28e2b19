package client

import (
	"context"
	"net/url"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/jobquery"
)

// AccountingRows calls each for every accounting row of a UTC day, never concurrently. Rows may be
// repeated. It requests the next pages while it unpacks the previous ones on all processors.
func (c *Client) AccountingRows(ctx context.Context, day time.Time, each func(*accounting.Row)) error {
	reader, err := accounting.NewReader()
	if err != nil {
		return err
	}
	defer reader.Close()
	group, ctx := errgroup.WithContext(ctx)
	fetched := make(chan []string, 1)
	group.Go(func() error {
		defer close(fetched)
		return c.fetchAccountingPages(ctx, day, fetched)
	})
	group.Go(func() error {
		for pages := range fetched {
			if err := unpackAccountingPages(reader, pages, each); err != nil {
				return err
			}
		}
		return nil
	})
	return group.Wait()
}

// fetchAccountingPages sends the packed pages of a day to fetched, one response's pages at a time.
func (c *Client) fetchAccountingPages(ctx context.Context, day time.Time, fetched chan<- []string) error {
	path := "/accounting/" + accounting.Day(day)
	for after := ""; ; {
		var rows jobquery.Rows
		if err := c.getJSON(ctx, path+"?after="+url.QueryEscape(after), &rows); err != nil {
			return err
		}
		select {
		case fetched <- rows.Pages:
		case <-ctx.Done():
			return ctx.Err()
		}
		if rows.Next == "" {
			return nil
		}
		after = rows.Next
	}
}

// unpackAccountingPages unpacks pages concurrently and then calls each for their rows in order.
func unpackAccountingPages(reader *accounting.Reader, pages []string, each func(*accounting.Row)) error {
	rows := make([][]accounting.Row, len(pages))
	var unpack errgroup.Group
	for i, page := range pages {
		unpack.Go(func() error {
			return reader.Unpack(page, func(row *accounting.Row) { rows[i] = append(rows[i], *row) })
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
	return nil
}
