package statestore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/wallrack/wallrack/internal/wire"
)

const listLimit = 1000 // keys in a page of a listing

// Get reads a key. If the key does not exist, the error is ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (wire.Item, error) {
	var item wire.Item
	if err := c.budget.wait(ctx, priorityOf(ctx)); err != nil {
		return item, err
	}
	status, err := c.do(ctx, call{method: http.MethodGet, path: "/store/" + key, out: &item})
	switch {
	case err != nil:
		return item, err
	case status == http.StatusNotFound:
		return item, ErrNotFound
	case status != http.StatusOK:
		return item, &StatusError{Status: status, Err: ErrUnavailable}
	case item.Key != key || item.Version == 0:
		return wire.Item{}, fmt.Errorf("%w: get %s: response with %q as of %d", ErrUnknown, key, item.Key, item.Version)
	}
	return item, nil
}

// List reads every key with the prefix, in order, and returns with them a revision after which
// Follow misses no change. Changes made while it reads may be included. A page that is refused because
// of the limits is requested again until ctx ends: a reader that began anew would need more requests.
func (c *Client) List(ctx context.Context, prefix string) ([]wire.Item, uint64, error) {
	var all []wire.Item
	var revision uint64
	after := ""
	for {
		page, err := c.pageWhenAllowed(ctx, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = page.Revision
		}
		all = append(all, page.Items...)
		if !page.More {
			return all, revision, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// Page reads at most limit keys with the prefix, in order, that come after the key after, and
// reports whether there are more.
func (c *Client) Page(ctx context.Context, prefix, after string, limit int) ([]wire.Item, bool, error) {
	page, err := c.page(ctx, prefix, after, limit)
	return page.Items, page.More, err
}

// pageWhenAllowed reads a page of a listing, again after a while as long as the limits refuse it and
// ctx has not ended.
func (c *Client) pageWhenAllowed(ctx context.Context, prefix, after string) (wire.Items, error) {
	for attempt := 0; ; attempt++ {
		page, err := c.page(ctx, prefix, after, listLimit)
		if !errors.Is(err, ErrBusy) || ctx.Err() != nil {
			return page, err
		}
		Backoff(ctx, attempt, firstBackoff, maxBackoff)
	}
}

func (c *Client) page(ctx context.Context, prefix, after string, limit int) (wire.Items, error) {
	if err := c.budget.wait(ctx, priorityOf(ctx)); err != nil {
		return wire.Items{}, err
	}
	query := url.Values{"starts": {prefix}, "limit": {strconv.Itoa(limit)}}
	if after != "" {
		query.Set("after", after)
	}
	var page wire.Items
	status, err := c.do(ctx, call{method: http.MethodGet, path: "/store?" + query.Encode(), out: &page})
	if err == nil && status != http.StatusOK {
		err = &StatusError{Status: status, Err: ErrUnavailable}
	}
	if err == nil {
		err = checkPage(&page, prefix, after)
	}
	if err != nil {
		return wire.Items{}, err
	}
	return page, nil
}

// checkPage returns an error if a response does not match a request for the keys with a prefix
// after a key. A page of another request, or one that omits keys, would be regarded as all
// that is stored: a new leader would lose jobs.
func checkPage(page *wire.Items, prefix, after string) error {
	for _, item := range page.Items {
		if !strings.HasPrefix(item.Key, prefix) || item.Key <= after || item.Version == 0 {
			return fmt.Errorf("%w: list %q beyond %q: response with %q as of %d", ErrUnknown, prefix, after, item.Key, item.Version)
		}
		after = item.Key
	}
	if page.More && len(page.Items) == 0 {
		return fmt.Errorf("%w: list %q beyond %q: response that there are more, with none", ErrUnknown, prefix, after)
	}
	return nil
}
