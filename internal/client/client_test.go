package client_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// site is a server that sends the given responses in order and then repeats the last one.
type site struct {
	mu        sync.Mutex
	responses []func(http.ResponseWriter)
	bodies    []string
	received  []time.Time
}

func (s *site) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/descriptions/") {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var b strings.Builder
	buf := make([]byte, 4096)
	n, _ := r.Body.Read(buf) // the bodies are short
	b.Write(buf[:n])
	s.bodies, s.received = append(s.bodies, b.String()), append(s.received, time.Now())
	respond := s.responses[0]
	if len(s.responses) > 1 {
		s.responses = s.responses[1:]
	}
	respond(w)
}

func status(code int, body string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		if code == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", "2")
		}
		w.WriteHeader(code)
		_, _ = w.Write([]byte(body))
	}
}

// lostResponse closes the connection without a response.
func lostResponse(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func serve(t *testing.T, responses ...func(http.ResponseWriter)) (*client.Client, *site) {
	t.Helper()
	s := &site{responses: responses}
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return client.New(srv.URL), s
}

// A submission without a response is repeated unchanged. After a response with Retry-After, the
// client waits for that time. A refused submission is not repeated.
func TestSubmitRepeatsUnchangedAfterLostResponse(t *testing.T) {
	c, s := serve(t, lostResponse, status(http.StatusServiceUnavailable, ""), status(http.StatusOK, `{"uid":"j-1","stage":"queued"}`))
	job := &wire.Job{UID: "j-1", Class: "a", Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: 1, CPUs: 1, Image: "none"}
	description := &taskspec.Spec{Argv: []string{"true"}, CPUs: 1}
	if st, err := c.Submit(t.Context(), job, description); err != nil || st.Stage != wire.StageQueued {
		t.Fatalf("%+v, %v", st, err)
	}
	if len(s.bodies) != 3 || s.bodies[0] != s.bodies[2] {
		t.Errorf("sent %q", s.bodies)
	}
	if _, err := wire.ParseJob([]byte(s.bodies[0])); err != nil {
		t.Errorf("not a submission: %v", err)
	}
	if after := s.received[2].Sub(s.received[1]); after < 2*time.Second {
		t.Errorf("repeated after %v; Retry-After is 2 s", after)
	}
	c, s = serve(t, status(http.StatusUnprocessableEntity, `{"error":"unknown team"}`))
	if _, err := c.Submit(t.Context(), job, description); !errors.Is(err, client.ErrRefused) || !strings.Contains(err.Error(), "unknown team") || len(s.bodies) != 1 {
		t.Errorf("%v after %d requests", err, len(s.bodies))
	}
}

// A site that is unavailable until the retry timeout results in ErrUnknown, never in ErrNotFound.
func TestUnavailableSiteMeansUnknownNotNotFound(t *testing.T) {
	c, _ := serve(t, status(http.StatusServiceUnavailable, `{"error":"can't tell now"}`))
	c.RetryTimeout = 3 * time.Second
	if _, err := c.Status(t.Context(), "j-1"); !errors.Is(err, client.ErrUnknown) || errors.Is(err, client.ErrNotFound) {
		t.Error(err)
	}
	c, _ = serve(t, status(http.StatusNotFound, ""))
	if _, err := c.Cancel(t.Context(), "j-1"); !errors.Is(err, client.ErrNotFound) {
		t.Error(err)
	}
	c, s := serve(t, status(http.StatusOK, `{"uid":"j-1","stage":"running"}`), lostResponse, status(http.StatusOK, `{"uid":"j-1","stage":"done","done":1}`))
	if st, err := c.Wait(t.Context(), "j-1"); err != nil || st.Stage != wire.StageDone || len(s.received) != 3 {
		t.Errorf("%+v, %v after %d polls", st, err, len(s.received))
	}
}
