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

// ShardLeaders returns the names of the other controllers that lead shards, as in package controller.
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

// ServingPeers returns the names of the controllers that reach the state service.
func (n *node) ServingPeers() []string { v := n.reachabilityView(); return v.StoreReachablePeers() }

// Healthy reports whether this controller accepts users' requests.
func (n *node) Healthy() bool { return true }

// QueryPeer forwards a user's request to a peer.
func (n *node) QueryPeer(ctx context.Context, peer string, r submission.Request) (*submission.Reply, error) {
	return callPeer(ctx, n.cluster, func() (*submission.Reply, error) {
		to, err := n.peer(peer)
		if err != nil {
			return nil, err
		}
		rep := to.submission.Serve(ctx, r)
		return &rep, nil
	})
}

// userRequest sends a user's request for a job to a controller and checks the response against
// earlier ones. It returns the job's stage, and whether a response was received.
func (w *cluster) userRequest(name, method, uid string) (stage string, answered bool) {
	w.mu.Lock()
	n := w.nodes[name]
	down := n.down
	_, cancelled := w.confirmedCancels[uid] // confirmed before this request was sent
	done := w.doneJobs[uid]
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
	if rec.Code != http.StatusOK || n.down { // the response of a process that crashed in the meantime is lost
		return "", false
	}
	var s wire.JobState
	if err := json.Unmarshal(rec.Body.Bytes(), &s); err != nil {
		w.fail("%s returned an invalid response: %q", name, rec.Body)
	}
	if cancelled && s.Stage != wire.StageCancelled {
		w.fail("%s reports job %s as %s after its user was told that it is cancelled", name, uid, s.Stage)
	}
	if s.Stage == wire.StageCancelled && w.confirmedCancels[uid].IsZero() {
		w.confirmedCancels[uid] = time.Now()
	}
	if s.Stage == wire.StageDone {
		w.doneJobs[uid] = true
	} else if done {
		w.fail("%s reports job %s as %s after it was reported done", name, uid, s.Stage)
	}
	return s.Stage, true
}

// cancelJobs sends the users' cancels of jobs to a controller and repeats unanswered ones each second,
// for up to the given number of seconds. It returns the number of confirmed cancels.
func (w *cluster) cancelJobs(at string, jobs []string, seconds int) (confirmed int) {
	remaining := slices.Clone(jobs)
	for i := 0; ; i++ {
		remaining = slices.DeleteFunc(remaining, func(uid string) bool {
			stage, answered := w.userRequest(at, http.MethodPost, uid)
			if answered && stage == wire.StageCancelled {
				confirmed++
			}
			return answered
		})
		if len(remaining) == 0 || i >= seconds {
			return confirmed
		}
		w.runFor(1)
	}
}
