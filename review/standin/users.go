//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// jobSpec is a submission, with what its user knows.
type jobSpec struct {
	UID      string   `json:"uid"`
	Docket   string   `json:"docket"`
	Crew     string   `json:"crew"`
	Sort     string   `json:"sort"`
	Urgency  string   `json:"urgency"`
	Pieces   int      `json:"pieces"`
	CPUs     float64  `json:"cpus"`
	Cards    float64  `json:"cards"`
	MemoryGB float64  `json:"memoryGb"`
	Kit      string   `json:"kit"`
	PullGB   float64  `json:"pullGb"`
	Builds   []string `json:"builds"`
	Yard     *string  `json:"yard"`
	Together bool     `json:"together"`
	Apart    bool     `json:"apart"`
	Loaners  bool     `json:"loaners"`
	ReckonS  float64  `json:"reckonS"`
	MarkS    float64  `json:"markS"`
	StashS   float64  `json:"stashS"`
	DueS     *float64 `json:"dueS"`

	runS        float64   // true run time of a task; 0: until it is stopped
	cancelHeard time.Time // when its user heard that it is cancelled
}

var userClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second}}

// call sends a request to a controller and returns the status, 0 without a response, and the body.
func call(n *node, method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	client := *userClient
	client.Timeout = timeout
	req, err := http.NewRequest(method, "http://"+n.serve+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, err
	}
	return resp.StatusCode, data, nil
}

func get(n *node, path string) (int, []byte, error) { return call(n, "GET", path, nil, 2*time.Second) }

// jobState is the answer to a poll.
type jobState struct {
	UID     string `json:"uid"`
	Stage   string `json:"stage"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// submit submits a job to one controller after the other for up to a minute, as a user does.
func (s *site) submit(job *jobSpec) error {
	s.mu.Lock()
	s.jobs[job.UID] = job
	s.mu.Unlock()
	body, _ := json.Marshal(job)
	for begun, i := time.Now(), 0; time.Since(begun) < time.Minute; i++ {
		status, data, err := call(s.nodes[i%len(s.nodes)], "POST", "/api/jobs", body, 5*time.Second)
		s.rec.note("submit", "job", job.UID, "node", s.nodes[i%len(s.nodes)].name, "status", status, "answer", string(bytes.TrimSpace(data)), "err", err)
		switch status {
		case 200, 201:
			return nil
		case 400, 422:
			return fmt.Errorf("%s: %d %s", job.UID, status, data)
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("%s: not accepted", job.UID)
}

// poll asks a controller about a job. The status is 0 without a response.
func (s *site) poll(n *node, uid string) (int, jobState) {
	status, data, _ := get(n, "/api/jobs/"+uid)
	var state jobState
	if status == 200 {
		_ = json.Unmarshal(data, &state)
	}
	return status, state
}

// cancel asks one controller to cancel a job.
func (s *site) cancel(n *node, job *jobSpec) (int, jobState) {
	status, data, _ := call(n, "POST", "/api/jobs/"+job.UID+"/cancel", nil, 5*time.Second)
	var state jobState
	if status == 200 {
		_ = json.Unmarshal(data, &state)
	}
	s.rec.note("cancel", "job", job.UID, "node", n.name, "status", status, "answer", string(bytes.TrimSpace(data)))
	if state.Stage == "cancelled" {
		s.mu.Lock()
		if job.cancelHeard.IsZero() {
			job.cancelHeard = time.Now()
		}
		s.mu.Unlock()
	}
	return status, state
}
