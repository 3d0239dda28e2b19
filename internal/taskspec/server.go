package taskspec

import (
	"bytes"
	"fmt"
	"io"
	"net/http"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/wire"
)

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
	mux.HandleFunc("PUT "+pathPrefix+"{job}", func(w http.ResponseWriter, r *http.Request) {
		job := r.PathValue("job")
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBytes))
		var d Spec
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
	mux.HandleFunc("GET "+pathPrefix+"{job}", func(w http.ResponseWriter, r *http.Request) {
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
