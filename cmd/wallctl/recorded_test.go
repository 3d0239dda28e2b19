package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
)

// runAsProgramEnv is the environment variable that makes this test binary run as wallctl.
const runAsProgramEnv = "TEST_AS_WALLCTL"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// recordedSite starts a server with a site's responses to the commands of TestRecordedOutcomes.
func recordedSite(t *testing.T) (url string) {
	responses := map[string]struct {
		status int
		body   string
	}{
		"POST /api/jobs":                    {http.StatusCreated, `{"uid":"j-new","stage":"queued","done":0,"running":0}`},
		"GET /api/jobs/j-done":              {http.StatusOK, `{"uid":"j-done","stage":"done","done":3,"running":0}`},
		"GET /api/jobs/j-cancelled":         {http.StatusOK, `{"uid":"j-cancelled","stage":"cancelled","done":1,"running":0}`},
		"POST /api/jobs/j-cancelled/cancel": {http.StatusOK, `{"uid":"j-cancelled","stage":"cancelled","done":1,"running":0}`},
		"GET /api/jobs/j-bad":               {http.StatusBadRequest, `{"error":"uid: malformed"}`},
		"GET /logs/j-done/0":                {http.StatusOK, "hello\n"},
		"GET /logs/j-done/1":                {http.StatusNotFound, `{"error":"nothing was written"}`},
		"GET /ops/stats":                    {http.StatusOK, `{"wait_ms":{"count":1}}`},
		"GET /ops/alerts":                   {http.StatusOK, `{"open":[],"past":[]}`},
		"GET /ops/machines":                 {http.StatusOK, `[{"name":"m-1","type":"small","zone":"mill","spot":true,"cpus":4,"usedCpus":1.5,"tasks":2,"heardS":0.6}]`},
		"GET /ops/links": {http.StatusOK, `{"node":"a","state":"straight","kept":2,"cancels_age_s":1,"cancelled":3,"answers":true,"links":[{"to":"b","is":"straight","since_s":7}],` +
			`"controllers":[{"node":"b","reached":"straight","age_s":0.5,"state":true,"held":true,"owns":false,"cloud":true,"reports":5,"expected":6,"lacks":["c"]}]}`},
		"GET /ops/rollouts":             {http.StatusOK, `[]`},
		"POST /ops/rollouts/none/pause": {http.StatusUnprocessableEntity, `{"error":"bad input: service: none is unknown"}`},
		"GET /slurm/site":               {http.StatusOK, `{"cluster":"c","partitions":["adhoc"],"accounts":["default"],"partition":"adhoc","account":"default"}`},
		"GET /slurm/numbers/7":          {http.StatusNotFound, ``},
		"GET /slurm/numbers/8":          {http.StatusOK, `{"uid":"j-done","first":8}`},
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/descriptions/") {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		response, known := responses[r.Method+" "+r.URL.Path]
		if !known {
			response.status = http.StatusNotFound
		}
		w.WriteHeader(response.status)
		respond(w, response.body)
	}))
	t.Cleanup(srv.Close)
	return srv.URL
}

// runProgram runs wallctl as a child process and returns its exit code and output as text. If
// interrupt isn't nil, the process gets SIGINT once interrupt returns.
func runProgram(t *testing.T, server string, interrupt func(), args ...string) string {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), os.Args[0], args...)
	cmd.Env = append(os.Environ(), runAsProgramEnv+"=1", "WALLRACK_SERVER="+server)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	if interrupt != nil {
		interrupt()
		if err := cmd.Process.Signal(syscall.SIGINT); err != nil {
			t.Error(err)
		}
	}
	err := cmd.Wait()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	text := fmt.Sprintf("$ wallctl %s\nexit code %d\nstdout: %s\nstderr: %s\n", strings.Join(args, " "), cmd.ProcessState.ExitCode(), stdout.String(), stderr.String())
	if server != "" {
		text = strings.ReplaceAll(text, strings.TrimPrefix(server, "http://"), "SITE")
	}
	return text
}

// Exit codes and output that scripts rely on must not change.
func TestRecordedOutcomes(t *testing.T) {
	server := recordedSite(t)
	var text strings.Builder
	for _, args := range []string{
		"", "submit", "submit --unknown -- true", "submit --uid nothing -- true", "submit --env GREETING -- true", "submit --cpus 0 -- true",
		"submit --script missing.sh -- true", "submit --uid j-new -- true", "submit --json --uid j-new -- true",
		"status", "status j-none", "status j-done", "--json status j-done", "status j-bad", "status 7", "status 8",
		"wait j-done", "wait j-cancelled", "wait j-none", "wait j-bad", "cancel j-cancelled", "cancel j-none",
		"logs j-done", "logs j-done/0", "logs j-done/1", "logs j-none/0",
		"stats", "--json stats", "alerts", "nodes", "--json nodes", "links", "--json links",
		"rollout pause none", "rollout status", "rollout start", "scancel", "scancel 7", "scancel -Q 7", "squeue -j x", "srun", "scontrol show job 7", "sbatch missing.sh",
	} {
		text.WriteString(runProgram(t, server, nil, strings.Fields(args)...))
	}
	text.WriteString(runProgram(t, "", nil, "status", "j-done"))
	recorded.Compare(t, "outcomes.txt", []byte(text.String()))
}

// Without a conclusive response the outcome is unknown, and the exit code is 4, also after an
// interrupt.
func TestRecordedOutcomeWithoutResponse(t *testing.T) {
	responded := make(chan bool, 100)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		respond(w, `{"error":"no owner"}`)
		responded <- true
	}))
	defer srv.Close()
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	var text strings.Builder
	for _, args := range []string{"status j-done", "wait j-done", "stats"} {
		// The interrupt comes after the response, in the pause of 1 s before the next request.
		text.WriteString(runProgram(t, srv.URL, func() { <-responded; time.Sleep(300 * time.Millisecond) }, strings.Fields(args)...))
	}
	// Requests are sent every second: the interrupt comes in a pause between two of them.
	text.WriteString(runProgram(t, gone.URL, func() { time.Sleep(2500 * time.Millisecond) }, "status", "j-done"))
	recorded.Compare(t, "without-answer.txt", []byte(text.String()))
}

// The exit codes of errors are those in docs/local.md.
func TestRecordedExitCodes(t *testing.T) {
	for err, want := range map[error]int{
		errors.New("other"): 1, client.ErrRefused: 2, client.ErrNotFound: 3, client.ErrUnknown: 4, context.Canceled: 4, errCancelled: 5, errNotRolledOut: 5,
	} {
		if got := exitCode(fmt.Errorf("job j-1: %w", err)); got != want {
			t.Errorf("%v: exit code %d, not %d", err, got, want)
		}
	}
}
