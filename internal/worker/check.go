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
	"github.com/wallrack/wallrack/internal/wire"
)

// Outcomes of a health check.
const (
	CheckHealthy   = "healthy"
	CheckUnhealthy = "unhealthy"
	CheckHung      = "hung" // no response in time
)

const maxCheckTimeout = 30 * time.Second

// check checks a task's port and returns one of the outcomes above. If path is empty, the port must
// accept a connection; otherwise a GET request for the path must return a status from 200 to 299.
// The timeout is limited to maxCheckTimeout.
func check(ctx context.Context, port int, path string, timeout time.Duration) string {
	ctx, cancel := context.WithTimeout(ctx, min(timeout, maxCheckTimeout))
	defer cancel()
	addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
	if path == "" {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return outcomeOfError(err)
		}
		_ = conn.Close() // the connection succeeded, which is all that is checked
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
		return outcomeOfError(err)
	}
	_ = resp.Body.Close() // only the status counts
	if resp.StatusCode/100 == 2 {
		return CheckHealthy
	}
	return CheckUnhealthy
}

// outcomeOfError distinguishes timeouts from other failures.
func outcomeOfError(err error) string {
	if errors.Is(err, context.DeadlineExceeded) || os.IsTimeout(err) {
		return CheckHung
	}
	return CheckUnhealthy
}

type checkResponse struct {
	Outcome string `json:"outcome"`
}

// serveCheck checks a task that runs on this worker: GET /check/JOB/N/ATTEMPT with the query
// parameters timeoutMs and either http=PATH or tcp=1. The status is 400 if a parameter is missing or
// invalid, and 404 if the attempt does not run here.
func (a *Agent) serveCheck(w http.ResponseWriter, r *http.Request) {
	attempt, err := strconv.ParseUint(r.PathValue("attempt"), 10, 64)
	query := r.URL.Query()
	timeoutMs, timeoutErr := strconv.Atoi(query.Get("timeoutMs"))
	path := query.Get("http")
	if err != nil || timeoutErr != nil || timeoutMs < 1 || path == "" && query.Get("tcp") == "" || path != "" && !strings.HasPrefix(path, "/") {
		httpjson.Write(w, http.StatusBadRequest, wire.Problem{Error: "attempt, timeoutMs and http=/PATH or tcp=1 are needed"})
		return
	}
	if a.Processes == nil {
		httpjson.Write(w, http.StatusNotFound, wire.Problem{Error: "tasks here have no ports"})
		return
	}
	port := a.Processes.Port(r.PathValue("job")+"/"+r.PathValue("n"), attempt)
	if port == 0 {
		httpjson.Write(w, http.StatusNotFound, wire.Problem{Error: "no such task runs here"})
		return
	}
	httpjson.Write(w, http.StatusOK, checkResponse{Outcome: check(r.Context(), port, path, time.Duration(timeoutMs)*time.Millisecond)})
}
