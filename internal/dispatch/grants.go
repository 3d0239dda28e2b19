package dispatch

import (
	"context"
	"fmt"
	"time"
)

const grantTimeout = 3 * time.Second

// remoteGrant is a request for a grant that goes to a leader elsewhere.
type remoteGrant struct {
	queued  *queuedTask
	request GrantRequest
}

func (q *queuedTask) setGrant(request GrantRequest) {
	q.granted, q.grantToken, q.grantSession = true, request.Token, request.Session
}

// requestRemoteGrantLocked requests a grant from a leader on another controller, together with
// what else it is to be requested.
func (d *Dispatcher) requestRemoteGrantLocked(queued *queuedTask, request GrantRequest) {
	queued.grantRequested = true
	if !d.stopped {
		d.remoteGrants.Add(queued.Leader, remoteGrant{queued, request})
	}
}

// requestRemoteGrants requests grants from a leader elsewhere, and pushes the starts of the tasks
// that it granted.
func (d *Dispatcher) requestRemoteGrants(leader string, grants []remoteGrant) {
	requests := make([]GrantRequest, len(grants))
	for i := range grants {
		requests[i] = grants[i].request
	}
	ctx, cancel := context.WithTimeout(d.lifetime, grantTimeout)
	replies, err := d.schedulers.GrantRemote(ctx, leader, requests)
	cancel()
	if err == nil && len(replies) != len(grants) {
		err = fmt.Errorf("%d replies to %d requests", len(replies), len(grants))
	}
	if err != nil {
		d.log.Debug("grant requests failed", "peer", leader, "tasks", len(grants), "err", err)
		replies = make([]GrantReply, len(grants))
	}
	granted := map[string]bool{}
	d.mu.Lock()
	for i, grant := range grants {
		d.applyGrantLocked(grant, replies[i])
		if replies[i].OK {
			granted[grant.request.Worker] = true
		}
	}
	d.mu.Unlock()
	for worker := range granted {
		d.PushCommands(worker)
	}
}

// applyGrantLocked notes a leader's reply.
func (d *Dispatcher) applyGrantLocked(grant remoteGrant, reply GrantReply) {
	grant.queued.grantRequested = false
	worker := d.workers[grant.request.Worker]
	switch {
	case worker == nil:
	case reply.Drop:
		worker.dequeue(grant.request.TaskRef)
	case reply.OK:
		grant.queued.setGrant(grant.request)
	}
}
