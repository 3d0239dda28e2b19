package statestore_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
	"github.com/wallrack/wallrack/internal/wire"
)

// Controllers of different versions relay requests for each other, so the form of the messages
// must not change.
func TestRecordedForms(t *testing.T) {
	recorded.Check(t, "passed", statestore.RelayedRequest{
		Method: "POST", Path: "/txn", Body: []byte(`{"apply":[{"set":"c/term","data":{"n":12}}]}`), Writes: 1, Priority: statestore.Lookup,
	})
	recorded.Check(t, "passed_least", statestore.RelayedRequest{Method: "GET", Path: "/store/c/term"})
	recorded.Check(t, "passed_list", statestore.RelayedRequest{Method: "GET", Path: "/store?limit=1000&starts=c%2F", Priority: statestore.Urgent})
	recorded.Check(t, "answered", statestore.RelayedResponse{Status: 200, Body: []byte("{\"revision\":5}\xff\x00")})
	recorded.Check(t, "answered_least", statestore.RelayedResponse{Status: 503})
}

func TestRecordedPriorities(t *testing.T) {
	if statestore.Ordinary != 0 || statestore.Urgent != 1 || statestore.Lookup != 2 {
		t.Errorf("priorities %d, %d, %d; want 0, 1, 2", statestore.Ordinary, statestore.Urgent, statestore.Lookup)
	}
}

// The state service's text for a write with a lease that has ended.
func TestRecordedProblem(t *testing.T) {
	if text := statestore.ErrNoLease.Error(); text != "no such lease" {
		t.Errorf("%q", text)
	}
}

// The requests that the client sends, as the state service receives them.
func TestRecordedRequests(t *testing.T) {
	var requests []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		requests = append(requests, strings.TrimSpace(r.Method+" "+r.URL.String()+" "+string(body)))
		w.WriteHeader(http.StatusNotFound)
	}))
	defer server.Close()
	client := statestore.New(strings.TrimPrefix(server.URL, "http://"), 1000, 1000, 100)
	ctx := context.Background()
	_, _ = client.Get(ctx, "c/term") // every response is not found: only the requests matter
	_, _, _ = client.List(ctx, "c/")
	_, _, _ = client.Page(ctx, "number/", "number/00000000000004", 1)
	_, _ = client.Txn(ctx, []wire.Guard{{Key: "c/shard/000", Version: 3}, {Key: "k"}},
		wire.Op{Put: "k", Value: map[string]int{"n": 1}, Lease: 7}, wire.Op{Delete: "d"})
	_, _ = client.GrantLease(ctx, 7*time.Second)
	_ = client.RenewLease(ctx, 7)
	_ = client.RevokeLease(ctx, 7)
	_, _ = client.Follow(ctx, "c/", 12, 20*time.Second)
	want := []string{
		"GET /store/c/term",
		"GET /store?limit=1000&starts=c%2F",
		"GET /store?after=number%2F00000000000004&limit=1&starts=number%2F",
		`POST /txn {"guards":[{"path":"c/shard/000","stamp":3},{"path":"k","stamp":0}],"apply":[{"set":"k","data":{"n":1},"permit":7},{"drop":"d"}]}`,
		`POST /grants {"lifeMs":7000}`,
		"POST /grants/7/touch",
		"DELETE /grants/7",
		"GET /follow?after=12&holdMs=20000&starts=c%2F",
	}
	if !reflect.DeepEqual(requests, want) {
		t.Errorf("requests\n%s\nwant\n%s", strings.Join(requests, "\n"), strings.Join(want, "\n"))
	}
}
