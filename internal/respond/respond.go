// Package respond writes JSON answers.
package respond

import (
	"net/http"

	"github.com/goccy/go-json"
)

// JSON answers with a status and a body.
func JSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // who did not get it asks again
}
