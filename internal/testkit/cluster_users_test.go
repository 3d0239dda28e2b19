package testkit_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/submission"
	"github.com/wallrack/wallrack/internal/wire"
)

// ShardLeaders names the other controllers that own jobs, as cmd/wallrack does.
func (n *node) ShardLeaders() (out []string) {
	add := func(name string) {
		if name != "" && name != n.name && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	if n.member.LeaseRemaining() > 0 {
		for _, o := range n.member.ShardLeaders() {
			add(o)
		}
		return out
	}
	v := n.reachabilityView()
	for i := range v.Peers {
		if p := &v.Peers[i]; p.IsFresh() && p.Status.LeaseHeld {
			add(p.Status.PreferredLeader)
		}
	}
	return out
}

// ServingPeers names the controllers that reach the state service.
func (n *node) ServingPeers() []string { v := n.reachabilityView(); return v.ServingPeers() }

// Healthy reports whether this controller takes users.
func (n *node) Healthy() bool { return true }

// QueryPeer hands a user's request to a peer.
func (n *node) QueryPeer(ctx context.Context, peer string, r submission.Request) (*submission.Reply, error) {
	return overPeerLink(ctx, n.cluster, func() (*submission.Reply, error) {
		to, err := n.peer(peer)
		if err != nil {
			return nil, err
		}
		rep := to.submission.Serve(ctx, r)
		return &rep, nil
	})
}

// user sends a user's request to a controller, and notes what its user hears.
func (w *cluster) user(name, method, uid string) (stage string, heard bool) {
	w.mu.Lock()
	n := w.nodes[name]
	down := n.down
	_, cancelled := w.confirmedCancels[uid] // what was answered before this request was sent
	over := w.doneJobs[uid]
	w.mu.Unlock()
	if down {
		return "", false
	}
	path := "/api/jobs/" + uid
	if method == http.MethodPost {
		path += "/cancel"
	}
	rec := httptest.NewRecorder()
	n.mux.ServeHTTP(rec, httptest.NewRequest(method, path, nil))
	w.mu.Lock()
	defer w.mu.Unlock()
	if rec.Code == http.StatusNotFound {
		w.fail("%s does not know %s", name, uid)
	}
	if rec.Code != http.StatusOK || n.down { // an answer of a process that ended meanwhile is lost
		return "", false
	}
	var s wire.JobState
	if err := json.Unmarshal(rec.Body.Bytes(), &s); err != nil {
		w.fail("%s answers %q", name, rec.Body)
	}
	if cancelled && s.Stage != wire.StageCancelled {
		w.fail("%s calls %s %s after its user heard that it is cancelled", name, uid, s.Stage)
	}
	if s.Stage == wire.StageCancelled && w.confirmedCancels[uid].IsZero() {
		w.confirmedCancels[uid] = time.Now()
	}
	if s.Stage == wire.StageDone {
		w.doneJobs[uid] = true
	} else if over {
		w.fail("%s calls %s %s after it was called done", name, uid, s.Stage)
	}
	return s.Stage, true
}

// cancelAll has the users of jobs cancel them at a controller, and come back for up
// to so many seconds. It returns how many heard that their job is cancelled.
func (w *cluster) cancelAll(at string, jobs []string, seconds int) (heard int) {
	left := slices.Clone(jobs)
	for i := 0; ; i++ {
		left = slices.DeleteFunc(left, func(uid string) bool {
			stage, ok := w.user(at, http.MethodPost, uid)
			if ok && stage == wire.StageCancelled {
				heard++
			}
			return ok
		})
		if len(left) == 0 || i >= seconds {
			return heard
		}
		w.live(1)
	}
}
