package taskspec_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/wallrack/wallrack/internal/slurmtask"
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
)

func TestRecordedDescription(t *testing.T) {
	recorded.CheckFull(t, "description-full", taskspec.Spec{
		Argv: []string{"/bin/sh", "-e"}, Env: map[string]string{"A": "1", "B": "x=y"},
		Dir: "/data", Script: "#!/bin/sh\necho \"$1\" <in >out\n", Args: []string{"first", "second"}, CPUs: 2.5, GPUs: 1, MemoryGB: 4,
		Slurm: &slurmtask.Context{Number: 4100, Tasks: 16, Array: "0-30:2", Name: "tips", User: "erin", Output: "%j.out", Error: "%j.err", Step: true, Cluster: "main"},
	})
	recorded.Check(t, "description-none", taskspec.Spec{Argv: []string{"/bin/true"}, CPUs: 1})
}

// memoryStore is a Store in memory.
type memoryStore map[string]string

func (s memoryStore) Put(name string, data []byte) ([]byte, error) {
	if old, known := s[name]; known {
		return []byte(old), nil
	}
	s[name] = string(data)
	return nil, nil
}

func (s memoryStore) Get(name string) ([]byte, error) { return []byte(s[name]), nil }

// A description uploaded for a job is stored and served in the recorded form.
func TestRecordedUploadIsStoredAndServed(t *testing.T) {
	for _, name := range []string{"description-full", "description-none"} {
		data, err := os.ReadFile("testdata/recorded/" + name + ".json")
		if err != nil {
			t.Fatal(err)
		}
		body := strings.TrimSuffix(string(data), "\n")
		stored := memoryStore{}
		handler := taskspec.Handler(stored)
		put, get := httptest.NewRecorder(), httptest.NewRecorder()
		handler.ServeHTTP(put, httptest.NewRequest(http.MethodPut, "/descriptions/j-1", strings.NewReader(body)))
		handler.ServeHTTP(get, httptest.NewRequest(http.MethodGet, "/descriptions/j-1", nil))
		if put.Code != http.StatusNoContent || stored["j-1"] != body || get.Code != http.StatusOK || get.Body.String() != body {
			t.Errorf("%s: status %d, stored as %q, served as %d %q; want %q", name, put.Code, stored["j-1"], get.Code, get.Body, body)
		}
	}
}
