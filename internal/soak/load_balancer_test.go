package soak

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// controllerStub answers with its name, and its health checks as set.
func controllerStub(t *testing.T, name string, healthy *atomic.Bool) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/up" && !healthy.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, name)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestUsersAreSentToHealthyControllersOnly(t *testing.T) {
	t.Parallel()
	var first, second atomic.Bool
	first.Store(true)
	balancer, err := newLoadBalancer(t.Context(), []string{controllerStub(t, "first", &first), controllerStub(t, "second", &second)})
	if err != nil {
		t.Fatal(err)
	}
	defer balancer.close()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ask := func() string {
		response, err := client.Get("http://" + balancer.addr() + "/")
		if err != nil {
			return ""
		}
		defer func() { _ = response.Body.Close() }()
		name, _ := io.ReadAll(response.Body)
		return string(name)
	}
	if name := ask(); name != "" {
		t.Errorf("%s serves before a health check", name)
	}
	time.Sleep(2 * probeInterval)
	if name := ask(); name != "first" {
		t.Errorf("%q serves", name)
	}
	first.Store(false)
	second.Store(true)
	time.Sleep(3*probeInterval + probeTimeout)
	if name := ask(); name != "second" {
		t.Errorf("%q serves", name)
	}
}
