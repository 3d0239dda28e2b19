// Package httpjson writes JSON responses.
package httpjson

import (
	"net/http"

	"github.com/goccy/go-json"
)

// Write sends a response with the given status and the JSON encoding of body. If body can't be
// encoded, it sends status 500 with an empty body.
func Write(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // clients that don't receive the response retry
}
