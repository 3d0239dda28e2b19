package statestore_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// The error of a transaction decides whether it may be repeated: a refused one was certainly
// not applied, one without a response may still be applied.
func TestTxnErrorsTellRefusedFromUnknown(t *testing.T) {
	status, body, dropConnection := 0, "", false
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if dropConnection {
			c, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_ = c.Close()
			}
			return
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	defer srv.Close()
	c := statestore.New(strings.TrimPrefix(srv.URL, "http://"), 1000, 1000, 24)
	txn := func() (uint64, error) {
		return c.Txn(t.Context(), []wire.Guard{{Key: "a"}}, wire.Op{Put: "a", Value: 1})
	}
	for _, k := range []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"outage", 503, "", statestore.ErrUnavailable},
		{"over budget", 429, "", statestore.ErrUnavailable},
		{"lease ended", 400, `{"error":"no such lease"}`, statestore.ErrNoLease},
		{"not JSON", 200, `{"ledger":`, statestore.ErrUnknown},
		{"unexpected status", 500, "", statestore.ErrUnknown},
	} {
		status, body = k.status, k.body
		if _, err := txn(); !errors.Is(err, k.want) {
			t.Errorf("%s: %v", k.name, err)
		}
	}
	status, body = 409, `{"failed":["a"],"ledger":7}`
	var conflict *statestore.ConflictError
	if _, err := txn(); !errors.As(err, &conflict) || !conflict.Has("a") {
		t.Errorf("conflict: %v", err)
	}
	status, body = 200, `{"ledger":8}`
	if rev, err := txn(); err != nil || rev != 8 {
		t.Errorf("applied: %d, %v", rev, err)
	}
	dropConnection = true
	if _, err := txn(); !errors.Is(err, statestore.ErrUnknown) {
		t.Errorf("no response: %v", err)
	}
}
