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

// Store stores descriptions. It is safe for concurrent use.
type Store interface {
	// Put stores data under a name durably. If the name has data already, it stores nothing and
	// returns that data.
	Put(name string, data []byte) (existing []byte, err error)
	// Get returns the data stored under a name, or nil if there is none.
	Get(name string) ([]byte, error)
}

// Handler serves PUT and GET /descriptions/JOB from a store.
func Handler(store Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+pathPrefix+"{job}", func(w http.ResponseWriter, r *http.Request) { servePut(store, w, r) })
	mux.HandleFunc("GET "+pathPrefix+"{job}", func(w http.ResponseWriter, r *http.Request) { serveGet(store, w, r) })
	return mux
}

// servePut stores an uploaded description. It is decoded and encoded again, so that descriptions
// that differ only in white space or the order of fields are equal.
func servePut(store Store, w http.ResponseWriter, r *http.Request) {
	job := r.PathValue("job")
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBytes))
	switch {
	case !wire.ValidJobID(job):
		writeProblem(w, http.StatusBadRequest, "not a job id")
		return
	case err != nil:
		writeProblem(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("unreadable or over %d bytes", MaxBytes))
		return
	}
	data, err := normalize(body)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	existing, err := store.Put(job, data)
	switch {
	case err != nil:
		writeUnavailable(w, err)
	case existing != nil && !bytes.Equal(existing, data):
		writeProblem(w, http.StatusConflict, ErrConflict.Error())
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// normalize validates an uploaded description and encodes it in the stored form.
func normalize(body []byte) ([]byte, error) {
	var spec Spec
	if err := json.Unmarshal(body, &spec); err != nil {
		return nil, fmt.Errorf("not a description: %w", err)
	}
	if err := spec.Check(); err != nil {
		return nil, err
	}
	return json.Marshal(&spec)
}

// serveGet serves a stored description.
func serveGet(store Store, w http.ResponseWriter, r *http.Request) {
	data, err := store.Get(r.PathValue("job"))
	switch {
	case err != nil:
		writeUnavailable(w, err)
	case data == nil:
		writeProblem(w, http.StatusNotFound, ErrNotFound.Error())
	default:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data) // after a failed write the worker fetches it again
	}
}

// writeUnavailable responds that the store failed, with status 503.
func writeUnavailable(w http.ResponseWriter, err error) {
	w.Header().Set("Retry-After", "1")
	writeProblem(w, http.StatusServiceUnavailable, err.Error())
}

func writeProblem(w http.ResponseWriter, status int, reason string) {
	httpjson.Write(w, status, wire.Problem{Error: reason})
}
