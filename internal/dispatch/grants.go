package dispatch

import (
	"context"
	"fmt"
	"time"
)

const grantTimeout = 3 * time.Second

// remoteGrant is a grant request to a leader on another controller.
type remoteGrant struct {
	queued  *queuedTask
	request GrantRequest
}

func (q *queuedTask) setGrant(request GrantRequest) {
	q.granted, q.grantToken, q.grantSession = true, request.Token, request.Session
}

// requestRemoteGrantLocked requests a grant from a leader on another controller. Requests to the
// same leader are batched.
func (d *Dispatcher) requestRemoteGrantLocked(queued *queuedTask, request GrantRequest) {
	queued.grantRequested = true
	if !d.stopped {
		d.remoteGrants.Add(queued.Leader, remoteGrant{queued, request})
	}
}

// requestRemoteGrants sends a batch of grant requests to a leader on another controller, and
// pushes the start commands of the tasks that it granted.
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

// applyGrantLocked applies a leader's reply to the queue.
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
