package slurmapi

import (
	"context"
	"net/http"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/jobquery"
)

// serveAccountingDay serves a batch of the accounting pages of one day in their stored form. The
// client unpacks them, so that the controller spends no processor time on it. A page that can't be
// decoded is logged and omitted.
func (s *Server) serveAccountingDay(w http.ResponseWriter, r *http.Request) {
	prefix, err := accounting.DayPrefix(r.PathValue("day"))
	if err != nil {
		writeProblem(w, http.StatusBadRequest, 0, err.Error())
		return
	}
	after := r.URL.Query().Get("after")
	if after != "" {
		after = prefix + after
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	items, more, err := s.store.Page(ctx, prefix, after, maxAccountingPages)
	if err != nil {
		s.writeError(w, err)
		return
	}
	out := jobquery.Rows{Pages: []string{}}
	for _, item := range items {
		var text string
		if err := json.Unmarshal(item.Value, &text); err != nil {
			s.log.Error("accounting page unreadable", "key", item.Key, "err", err)
			continue
		}
		out.Pages = append(out.Pages, text)
		if more {
			out.Next = item.Key[len(prefix):]
		}
	}
	writeJSONLines(w, "pages", out.Pages, jsonField{"next", out.Next})
}
