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

// writeProblem answers with a problem; 503 and 429 with the time after which to retry.
func writeProblem(w http.ResponseWriter, status, retryAfterS int, reason string) {
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", strconv.Itoa(max(1, retryAfterS)))
	}
	httpjson.Write(w, status, wire.Problem{Error: reason})
}

// writeError answers with what an error means for the client.
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

// jsonField is a jsonField of a JSON object.
type jsonField struct {
	name  string
	value any
}

// writeJSONLines answers with an object of a list, which has a line for each of its items, and
// other fields: no line of a response may be over 64 KiB.
func writeJSONLines[T any](w http.ResponseWriter, list string, items []T, others ...jsonField) {
	w.Header().Set("Content-Type", "application/json")
	out := append([]byte(nil), `{"`+list+"\":["...)
	for i := range items {
		if i > 0 {
			out = append(out, ',')
		}
		data, _ := json.Marshal(items[i]) // messages of this package can be encoded
		out = append(append(out, '\n'), data...)
	}
	out = append(out, "\n]"...)
	for _, f := range others {
		data, _ := json.Marshal(f.value)
		out = append(append(out, `,"`+f.name+`":`...), data...)
	}
	_, _ = w.Write(append(out, "}\n"...)) // a client that left retries
}
