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

func refuse(w http.ResponseWriter, status, retryAfterS int, why string) {
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", strconv.Itoa(max(1, retryAfterS)))
	}
	httpjson.Write(w, status, wire.Problem{Error: why})
}

func (s *Server) writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, statestore.ErrNotFound):
		refuse(w, http.StatusNotFound, 0, "no such job")
	case errors.Is(err, scheduler.ErrInvalidRequest):
		refuse(w, http.StatusUnprocessableEntity, 0, err.Error())
	default:
		s.log.Debug("unsure", "err", err)
		refuse(w, http.StatusServiceUnavailable, 1, "can't tell now")
	}
}

// writeLines answers with an object whose long list has a line for each of its items:
// no line of an answer may be over 64 KiB.
func writeLines[T any](w http.ResponseWriter, name string, items []T, rest map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	out := append([]byte(nil), `{"`+name+"\":["...)
	for i := range items {
		if i > 0 {
			out = append(out, ',')
		}
		data, _ := json.Marshal(items[i]) // messages of this package can be encoded
		out = append(append(out, '\n'), data...)
	}
	out = append(out, "\n]"...)
	for k, v := range rest {
		data, _ := json.Marshal(v)
		out = append(append(out, `,"`+k+`":`...), data...)
	}
	_, _ = w.Write(append(out, "}\n"...)) // a client that left asks again
}
