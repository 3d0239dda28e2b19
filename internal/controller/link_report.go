package controller

import (
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/cancellation"
	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/peerlinks"
	"github.com/wallrack/wallrack/internal/reachability"
	"github.com/wallrack/wallrack/internal/statestore"
)

// Names of links other than those to peers, and states of the link to the workers.
const (
	linkStore    = "state service"
	linkWorkers  = "workers"
	workersHeard = "heard"
	workersLost  = "not heard"
)

// linkState is the state of a link and the time of its last change.
type linkState struct {
	state string
	since time.Time
}

// linkLog logs each change of a link's state. It is safe for concurrent use.
type linkLog struct {
	store *statestore.Client
	log   *slog.Logger

	mu    sync.Mutex
	links map[string]linkState
}

func (l *linkLog) update(view *reachability.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range view.Peers {
		l.setLocked(view.Peers[i].Name, view.Peers[i].ReachedBy())
	}
	l.setLocked(linkStore, view.StorePath(l.store.UsesRelay()))
	workers := workersHeard
	if view.Self.InboundLost() {
		workers = workersLost
	}
	l.setLocked(linkWorkers, workers)
}

func (l *linkLog) setLocked(link, state string) {
	old, known := l.links[link]
	if known && old.state == state {
		return
	}
	if known {
		l.log.Info("link", "to", link, "is", state, "was", old.state, "for_s", time.Since(old.since).Seconds())
	}
	l.links[link] = linkState{state, time.Now()}
}

// list returns the links in the order of their names.
func (l *linkLog) list() []reachability.OpsLink {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]reachability.OpsLink, 0, len(l.links))
	for link, s := range l.links {
		out = append(out, reachability.OpsLink{To: link, Is: s.state, SinceS: time.Since(s.since).Seconds()})
	}
	slices.SortFunc(out, func(a, b reachability.OpsLink) int { return strings.Compare(a.To, b.To) })
	return out
}

// linkReport serves this controller's view of the links to operators.
type linkReport struct {
	store         *statestore.Client
	links         *peerlinks.View
	changes       *linkLog
	cancellations *cancellation.Registry
	router        *workerRouter
	unresponsive  *unresponsiveWorkers
}

func (l *linkReport) serve(w http.ResponseWriter, _ *http.Request) {
	status := l.links.Now().OpsStatus(l.store.UsesRelay())
	status.Cancelled, status.Answers = l.cancellations.Count(), l.router.MayAnswerWorkers()
	if known := l.cancellations.KnownUntil(); !known.IsZero() {
		status.CancelsAgeS = time.Since(known).Seconds()
	}
	status.Kept = l.unresponsive.keptCount()
	status.Links = append(status.Links, l.changes.list()...)
	httpjson.Write(w, http.StatusOK, status)
}
