package statestore

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// fixedResponse is the response to every request.
type fixedResponse struct {
	status int
	body   string
}

func (f fixedResponse) RoundTrip(*http.Request) (*http.Response, error) {
	return newResponse(f.status, f.body), nil
}

func clientRespondingWith(status int, body string) *Client {
	c := New("x", 1000, 1000, 24)
	c.http.Transport = fixedResponse{status, body}
	return c
}

// Responses that are truncated, repeated, or belong to another request are errors, and nothing
// is concluded from them. Otherwise an empty page would mean an empty store, a conflict
// of another transaction would count as this one's, and a response without a revision as an
// applied write.
func TestResponseOfAnotherRequestIsAnError(t *testing.T) {
	get := func(c *Client) error { _, err := c.Get(t.Context(), "a/b"); return err }
	list := func(c *Client) error { _, _, err := c.List(t.Context(), "a/"); return err }
	page := func(c *Client) error { _, _, err := c.Page(t.Context(), "a/", "a/3", 2); return err }
	txn := func(c *Client) error {
		_, err := c.Txn(t.Context(), []wire.Guard{{Key: "a/b"}}, wire.Op{Put: "a/b", Value: 1})
		return err
	}
	follow := func(c *Client) error {
		ev, err := c.Follow(t.Context(), "a/", 5, time.Second)
		if err == nil && len(ev.Events) > 0 {
			return errors.New("there are updates")
		}
		return err
	}
	for _, k := range []struct {
		name   string
		call   func(*Client) error
		status int
		body   string
		ok     bool
	}{
		{"a key", get, 200, `{"path":"a/b","data":{},"stamp":4}`, true},
		{"nothing", get, 200, ``, false},
		{"another key", get, 200, `{"path":"a/c","data":{},"stamp":4}`, false},
		{"no version", get, 200, `{"path":"a/b","data":{}}`, false},
		{"a page", list, 200, `{"rows":[{"path":"a/1","stamp":1},{"path":"a/2","stamp":2}],"ledger":9}`, true},
		{"no keys", list, 200, `{"rows":[],"ledger":9}`, true},
		{"an empty body", list, 200, ``, false},
		{"a page of another prefix", list, 200, `{"rows":[{"path":"b/1","stamp":1}],"ledger":9}`, false},
		{"a page twice", list, 200, `{"rows":[{"path":"a/1","stamp":1}],"truncated":true,"ledger":9}`, false},
		{"more, and none", list, 200, `{"rows":[],"truncated":true,"ledger":9}`, false},
		{"an earlier page", page, 200, `{"rows":[{"path":"a/2","stamp":1}],"ledger":9}`, false},
		{"applied", txn, 200, `{"ledger":8}`, true},
		{"applied, cut short", txn, 200, `{}`, false},
		{"applied, an empty body", txn, 200, ``, false},
		{"another's conflict", txn, 409, `{"failed":["c/d"],"ledger":8}`, false},
		{"a conflict over nothing", txn, 409, `{}`, false},
		{"no updates", follow, 200, `{"ledger":5,"log":[]}`, true},
		{"an old update again", follow, 200, `{"ledger":5,"log":[{"set":"a/1","data":1,"stamp":4}]}`, true},
		{"a response from before", follow, 200, `{"ledger":3,"log":[]}`, false},
		{"another's update", follow, 200, `{"ledger":6,"log":[{"set":"b/1","data":1,"stamp":6}]}`, false},
		{"an update of no key", follow, 200, `{"ledger":6,"log":[{"stamp":6}]}`, false},
		{"an update from beyond", follow, 200, `{"ledger":6,"log":[{"set":"a/1","data":1,"stamp":7}]}`, false},
	} {
		err := k.call(clientRespondingWith(k.status, k.body))
		if k.ok != (err == nil) || !k.ok && !errors.Is(err, ErrUnknown) {
			t.Errorf("%s: %v", k.name, err)
		}
	}
}

// FuzzResponses checks that, whatever the service responds, the client returns only data that
// was requested.
func FuzzResponses(f *testing.F) {
	for _, s := range []string{
		`{"rows":[{"path":"a/1","stamp":1}],"truncated":true,"ledger":9}`, `{"path":"a/b","data":{},"stamp":4}`,
		`{"ledger":6,"log":[{"set":"a/1","data":1,"stamp":6},{"drop":"a/2","stamp":7}]}`, `{"failed":["a/b"],"ledger":7}`, `[`, `null`,
	} {
		f.Add(200, s)
		f.Add(409, s)
	}
	f.Fuzz(func(t *testing.T, status int, body string) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		c := clientRespondingWith(status, body)
		if it, err := c.Get(ctx, "a/b"); err == nil && (it.Key != "a/b" || it.Version == 0) {
			t.Errorf("read %+v", it)
		}
		items, _, err := c.List(ctx, "a/")
		for i, it := range items {
			if err != nil || it.Key[:2] != "a/" || i > 0 && it.Key <= items[i-1].Key {
				t.Errorf("listed %+v, %v", items, err)
			}
		}
		var conflict *ConflictError
		if _, err := c.Txn(ctx, []wire.Guard{{Key: "a/b"}}, wire.Op{Put: "a/b", Value: 1}); errors.As(err, &conflict) && !conflict.Has("a/b") {
			t.Errorf("conflict %v", conflict)
		}
		ev, err := c.Follow(ctx, "a/", 5, time.Second)
		for _, e := range ev.Events {
			if err != nil || e.Version <= 5 || (e.Put + e.Delete)[:2] != "a/" {
				t.Errorf("followed %+v, %v", e, err)
			}
		}
	})
}
