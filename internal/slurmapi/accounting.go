package slurmapi

import (
	"context"
	"net/http"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/jobquery"
)

// accounts hands on a part of a day's pages as they are: unpacking them is the
// client's work.
func (s *Server) accountingDay(w http.ResponseWriter, r *http.Request) {
	prefix, err := accounting.DayPrefix(r.PathValue("day"))
	if err != nil {
		refuse(w, http.StatusBadRequest, 0, err.Error())
		return
	}
	after := r.URL.Query().Get("after")
	if after != "" {
		after = prefix + after
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerWithin)
	defer cancel()
	items, more, err := s.store.Page(ctx, prefix, after, pagePages)
	if err != nil {
		s.writeError(w, err)
		return
	}
	out := jobquery.Rows{Pages: []string{}}
	for _, it := range items {
		var text string
		if err := json.Unmarshal(it.Value, &text); err != nil {
			s.log.Error("unreadable accounting page", "key", it.Key, "err", err)
			continue
		}
		out.Pages = append(out.Pages, text)
		if more {
			out.Next = it.Key[len(prefix):]
		}
	}
	writeLines(w, "pages", out.Pages, map[string]any{"next": out.Next})
}
