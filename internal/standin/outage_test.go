package standin_test

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/standin"
	"github.com/wallrack/wallrack/internal/statestore"
)

func TestLeaseLastsWhileLeasesAreRestarted(t *testing.T) {
	const ttl = 500 * time.Millisecond
	state, err := standin.OpenState(nil, 4, 1)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(state.Handler())
	defer server.Close()
	client := statestore.New(strings.TrimPrefix(server.URL, "http://"), 1e6, 1e6, 4)
	lease, err := client.GrantLease(t.Context(), ttl)
	if err != nil {
		t.Fatal(err)
	}
	for start := time.Now(); time.Since(start) < 2*ttl; {
		state.RestartLeases()
		time.Sleep(ttl / 50)
	}
	go state.ExpireLeases(t.Context())
	if err := client.RenewLease(t.Context(), lease); err != nil {
		t.Errorf("the lease ended although all were restarted: %v", err)
	}
	for start := time.Now(); time.Since(start) < 20*ttl; time.Sleep(2 * ttl) {
		if err := client.RenewLease(t.Context(), lease); errors.Is(err, statestore.ErrNotFound) {
			return
		}
	}
	t.Error("a lease that nobody renews does not end")
}
