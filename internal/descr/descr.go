// Package descr is the description service: users upload what the tasks of a job
// are to run, and workers fetch it. A description never changes once it is there,
// so that every task of a job, and every repeat of one, runs the same.
package descr

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/slurmtask"
	"github.com/wallrack/wallrack/internal/wire"
)

// MaxBytes bounds a description, script included.
const MaxBytes = 1 << 20

var (
	// ErrNotFound means that nobody uploaded a description for the job.
	ErrNotFound = errors.New("no such description")
	// ErrDiffers means that another description was uploaded for the job.
	ErrDiffers = errors.New("the job has another description already")
)

// Description is what a job's tasks run.
type Description struct {
	Argv     []string          `json:"argv"`             // the program and its arguments
	Env      map[string]string `json:"env,omitempty"`    // added to the worker's own environment
	Dir      string            `json:"dir,omitempty"`    // working directory; the task's own if empty
	Script   string            `json:"script,omitempty"` // written to a file whose path goes behind Argv
	Args     []string          `json:"args,omitempty"`   // go behind the script
	CPUs     float64           `json:"cpus"`             // what a task takes of its machine
	GPUs     float64           `json:"gpus,omitempty"`
	MemoryGB float64           `json:"memoryGb,omitempty"`

	Slurm *slurmtask.Context `json:"slurm,omitempty"` // of a Slurm-style job
}

// Check says what is wrong with a description.
func (d *Description) Check() error {
	switch {
	case len(d.Argv) == 0 || d.Argv[0] == "":
		return errors.New("argv: a program is needed")
	case !(d.CPUs > 0):
		return errors.New("cpus: must be above 0")
	case d.GPUs < 0 || d.MemoryGB < 0:
		return errors.New("gpus, memoryGb: must not be negative")
	case d.Dir != "" && !strings.HasPrefix(d.Dir, "/"):
		return errors.New("dir: must be an absolute path")
	}
	if d.Slurm != nil {
		if _, err := d.Slurm.Of(0, 1, ""); err != nil {
			return fmt.Errorf("slurm: %w", err)
		}
	}
	for _, a := range append(append([]string(nil), d.Argv...), d.Args...) {
		if strings.ContainsRune(a, 0) {
			return errors.New("argv: holds a zero byte")
		}
	}
	for k, v := range d.Env {
		if k == "" || strings.ContainsAny(k, "=\x00") || strings.ContainsRune(v, 0) {
			return fmt.Errorf("env: %q can't be set", k)
		}
	}
	return nil
}

// Store keeps descriptions for good before Put returns.
type Store interface {
	// Put keeps data under a name, or returns what is there already.
	Put(name string, data []byte) (old []byte, err error)
	// Get returns nil if there is nothing.
	Get(name string) ([]byte, error)
}

// Handler serves PUT and GET /descriptions/JOB.
func Handler(s Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /descriptions/{job}", func(w http.ResponseWriter, r *http.Request) {
		job := r.PathValue("job")
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBytes))
		var d Description
		switch {
		case !wire.ValidJobID(job):
			problem(w, http.StatusBadRequest, "not a job id")
			return
		case err != nil:
			problem(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("unreadable or over %d bytes", MaxBytes))
			return
		}
		if err := json.Unmarshal(data, &d); err != nil {
			problem(w, http.StatusBadRequest, "not a description: "+err.Error())
			return
		}
		if err := d.Check(); err != nil {
			problem(w, http.StatusBadRequest, err.Error())
			return
		}
		if data, err = json.Marshal(&d); err != nil {
			problem(w, http.StatusBadRequest, err.Error())
			return
		}
		old, err := s.Put(job, data)
		switch {
		case err != nil:
			w.Header().Set("Retry-After", "1")
			problem(w, http.StatusServiceUnavailable, err.Error())
		case old != nil && !bytes.Equal(old, data):
			problem(w, http.StatusConflict, ErrDiffers.Error())
		default:
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("GET /descriptions/{job}", func(w http.ResponseWriter, r *http.Request) {
		data, err := s.Get(r.PathValue("job"))
		switch {
		case err != nil:
			w.Header().Set("Retry-After", "1")
			problem(w, http.StatusServiceUnavailable, err.Error())
		case data == nil:
			problem(w, http.StatusNotFound, ErrNotFound.Error())
		default:
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(data) // the worker asks again if it did not get it
		}
	})
	return mux
}

func problem(w http.ResponseWriter, status int, why string) {
	httpjson.Write(w, status, wire.Problem{Error: why})
}

// Client uploads and fetches descriptions.
type Client struct {
	Base string // http://HOST:PORT
	HTTP *http.Client
}

// NewClient returns a client of the service at an address.
func NewClient(base string) *Client {
	return &Client{Base: strings.TrimSuffix(base, "/"), HTTP: &http.Client{Timeout: 5 * time.Second}}
}

// Put uploads a job's description. To upload the same one again is no error.
func (c *Client) Put(ctx context.Context, job string, d *Description) error {
	data, err := json.Marshal(d)
	if err != nil {
		return fmt.Errorf("encode description: %w", err)
	}
	status, body, err := c.do(ctx, http.MethodPut, job, data)
	switch {
	case err != nil:
		return err
	case status == http.StatusConflict:
		return ErrDiffers
	case status/100 != 2:
		return fmt.Errorf("description of %s: status %d: %s", job, status, reason(body))
	}
	return nil
}

// Get fetches a job's description.
func (c *Client) Get(ctx context.Context, job string) (*Description, error) {
	status, body, err := c.do(ctx, http.MethodGet, job, nil)
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusNotFound:
		return nil, ErrNotFound
	case status != http.StatusOK:
		return nil, fmt.Errorf("description of %s: status %d: %s", job, status, reason(body))
	}
	var d Description
	if err := json.Unmarshal(body, &d); err != nil {
		return nil, fmt.Errorf("description of %s: %w", job, err)
	}
	return &d, nil
}

func (c *Client) do(ctx context.Context, method, job string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.Base+"/descriptions/"+job, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("description of %s: %w", job, err)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("description of %s: %w", job, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 2*MaxBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("description of %s: %w", job, err)
	}
	return resp.StatusCode, data, nil
}

func reason(body []byte) string {
	var p wire.Problem
	if json.Unmarshal(body, &p) == nil && p.Error != "" {
		return p.Error
	}
	return fmt.Sprintf("%.200s", body)
}
