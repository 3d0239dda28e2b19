package worker

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/httpjson"
)

// Outcomes of a check.
const (
	CheckHealthy   = "healthy"
	CheckUnhealthy = "unhealthy"
	CheckHung      = "hung" // nothing came in time
)

const maxCheck = 30 * time.Second

// check finds out whether what listens on a task's port is well.
func check(ctx context.Context, port int, path string, timeout time.Duration) string {
	ctx, cancel := context.WithTimeout(ctx, min(timeout, maxCheck))
	defer cancel()
	addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
	if path == "" {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return verdict(err)
		}
		_ = c.Close()
		return CheckHealthy
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return CheckUnhealthy
	}
	client := &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	resp, err := client.Do(req)
	if err != nil {
		return verdict(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode/100 == 2 {
		return CheckHealthy
	}
	return CheckUnhealthy
}

func verdict(err error) string {
	if errors.Is(err, context.DeadlineExceeded) || os.IsTimeout(err) {
		return CheckHung
	}
	return CheckUnhealthy
}

// serveCheck checks a task that runs here: GET /check/JOB/N/ATTEMPT with http=PATH
// or tcp=1, and timeoutMs.
func (a *Agent) serveCheck(w http.ResponseWriter, r *http.Request) {
	attempt, err := strconv.ParseUint(r.PathValue("attempt"), 10, 64)
	q := r.URL.Query()
	ms, merr := strconv.Atoi(q.Get("timeoutMs"))
	path := q.Get("http")
	if err != nil || merr != nil || ms < 1 || path == "" && q.Get("tcp") == "" || path != "" && !strings.HasPrefix(path, "/") {
		httpjson.Write(w, http.StatusBadRequest, map[string]string{"error": "attempt, timeoutMs and http=/PATH or tcp=1 are needed"})
		return
	}
	if a.Processes == nil {
		httpjson.Write(w, http.StatusNotFound, map[string]string{"error": "tasks here have no ports"})
		return
	}
	port := a.Processes.Port(r.PathValue("job")+"/"+r.PathValue("n"), attempt)
	if port == 0 {
		httpjson.Write(w, http.StatusNotFound, map[string]string{"error": "no such task runs here"})
		return
	}
	httpjson.Write(w, http.StatusOK, map[string]string{"outcome": check(r.Context(), port, path, time.Duration(ms)*time.Millisecond)})
}
