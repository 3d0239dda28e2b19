package slurmapi

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// writeProblem writes an error response. With status 503 or 429 it sets Retry-After to retryAfterS,
// but at least 1 s. It ignores retryAfterS with any other status.
func writeProblem(w http.ResponseWriter, status, retryAfterS int, reason string) {
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", strconv.Itoa(max(1, retryAfterS)))
	}
	httpjson.Write(w, status, wire.Problem{Error: reason})
}

// writeError writes the response for an error: 404 if the job doesn't exist, 422 if the request is
// invalid. After any other error the outcome is unknown, and the status is 503.
func (s *Server) writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, statestore.ErrNotFound):
		writeProblem(w, http.StatusNotFound, 0, "no such job")
	case errors.Is(err, scheduler.ErrInvalidRequest):
		writeProblem(w, http.StatusUnprocessableEntity, 0, err.Error())
	default:
		s.log.Debug("outcome unknown", "err", err)
		writeProblem(w, http.StatusServiceUnavailable, 1, "can't tell now")
	}
}

// jsonField is a field of a JSON object.
type jsonField struct {
	name  string
	value any
}

// writeJSONLines writes a JSON object with a list and other fields. Each item of the list is on its
// own line, because no line of a response may exceed 64 KiB.
func writeJSONLines[T any](w http.ResponseWriter, listName string, items []T, fields ...jsonField) {
	w.Header().Set("Content-Type", "application/json")
	out := append([]byte(nil), `{"`+listName+"\":["...)
	for i := range items {
		if i > 0 {
			out = append(out, ',')
		}
		data, _ := json.Marshal(items[i]) // encoding the item types of this package doesn't fail
		out = append(append(out, '\n'), data...)
	}
	out = append(out, "\n]"...)
	for _, f := range fields {
		data, _ := json.Marshal(f.value)
		out = append(append(out, `,"`+f.name+`":`...), data...)
	}
	_, _ = w.Write(append(out, "}\n"...)) // a client that disconnected retries
}
