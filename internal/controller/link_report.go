package controller

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/reachability"
)

// toldLink is how a link was when it last changed, and when.
type toldLink struct {
	how   string
	since time.Time
}

// Names of links, beside those of the peers.
const (
	linkStore   = "state service"
	linkWorkers = "workers"
)

// tellLinks logs each change of a link.
func (n *node) tellLinks(v *reachability.View) {
	s := &n.links
	s.mu.Lock()
	defer s.mu.Unlock()
	tell := func(link, how string) {
		old, known := s.told[link]
		if known && old.how == how {
			return
		}
		if known {
			n.log.Info("link", "to", link, "is", how, "was", old.how, "for_s", time.Since(old.since).Seconds())
		}
		s.told[link] = toldLink{how, time.Now()}
	}
	for i := range v.Peers {
		tell(v.Peers[i].Name, v.Peers[i].ReachedBy())
	}
	tell(linkStore, v.StorePath(n.store.UsesRelay()))
	workers := "heard"
	if v.Self.InboundLost() {
		workers = "not heard"
	}
	tell(linkWorkers, workers)
}

// serveLinks shows operators this controller's view of the links.
func (n *node) serveLinks(w http.ResponseWriter, _ *http.Request) {
	shown := n.links.now().OpsStatus(n.store.UsesRelay())
	shown.Cancelled, shown.Answers = n.cancels.Count(), n.MayAnswerWorkers()
	if known := n.cancels.KnownUntil(); !known.IsZero() {
		shown.CancelsAgeS = time.Since(known).Seconds()
	}
	s := &n.links
	s.mu.Lock()
	shown.Kept = s.kept
	for link, t := range s.told {
		shown.Links = append(shown.Links, reachability.OpsLink{To: link, Is: t.how, SinceS: time.Since(t.since).Seconds()})
	}
	s.mu.Unlock()
	slices.SortFunc(shown.Links, func(a, b reachability.OpsLink) int { return strings.Compare(a.To, b.To) })
	httpjson.Write(w, http.StatusOK, shown)
}
