package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// respond writes a body. Errors are ignored: they mean that the client disconnected.
func respond(w io.Writer, body string) { _, _ = io.WriteString(w, body) }

// respondByPath sends a site's responses to the requests of TestExitCodesAndMessages.
func respondByPath(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasPrefix(r.URL.Path, "/descriptions/"):
		w.WriteHeader(http.StatusNoContent)
	case r.Method == http.MethodPost && r.URL.Path == "/api/jobs":
		w.WriteHeader(http.StatusCreated)
		respond(w, `{"uid":"j-1","stage":"queued"}`)
	case strings.HasSuffix(r.URL.Path, "j-over"):
		respond(w, `{"uid":"j-over","stage":"cancelled"}`)
	case r.URL.Path == "/ops/links":
		respond(w, `{"node":"a","state":"by a peer","kept":3,"links":[{"to":"b","is":"known by state","since_s":7}],"controllers":[{"node":"b","reached":"known by state","lacks":["a"]}]}`)
	case strings.HasSuffix(r.URL.Path, "/pause"):
		w.WriteHeader(http.StatusUnprocessableEntity)
		respond(w, `{"error":"bad input: service: x is unknown"}`)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// Each outcome has its own exit code, and the error for an invalid command line names the flag.
func TestExitCodesAndMessages(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(respondByPath))
	defer srv.Close()
	for _, c := range []struct {
		args, out, why string
		code           int
	}{
		{"submit --uid j-1 -- true", "j-1\n", "", 0},
		{"submit --uid nothing -- true", "", "--uid", exitUsage},
		{"submit --env GREETING -- true", "", "--env", exitUsage},
		{"submit --cpus 0 -- true", "", "cpus", exitUsage},
		{"submit", "", "arg", exitUsage},
		{"status j-none", "", "no such job", exitNotFound},
		{"wait j-over", "cancelled", "cancelled", exitCancelled},
		{"logs j-1", "", "not a task", exitUsage},
		{"logs j-1/0", "", "no such job", exitNotFound},
		{"links", "known by state  7 s", "", 0},
		{"links", "3 silent machines are kept", "", 0},
		{"rollout pause x", "", "service: x is unknown", exitRefused},
	} {
		cmd := newRootCommand()
		var out bytes.Buffer
		cmd.SetOut(&out)
		cmd.SetErr(&out)
		cmd.SetArgs(append([]string{"--server", srv.URL}, strings.Fields(c.args)...))
		err := cmd.Execute()
		got := 0
		if err != nil {
			got = exitCode(err)
		}
		if got != c.code || !strings.Contains(out.String(), c.out) || err != nil && !strings.Contains(err.Error(), c.why) {
			t.Errorf("%s: code %d, %v, printed %q", c.args, got, err, out.String())
		}
	}
	cmd := newRootCommand()
	cmd.SetArgs([]string{"nodes"})
	t.Setenv("WALLRACK_SERVER", "somewhere")
	if err := cmd.Execute(); err == nil || !strings.Contains(err.Error(), "WALLRACK_SERVER") {
		t.Errorf("a server that is not a URL: %v", err)
	}
}
