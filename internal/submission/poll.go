package submission

import (
	"context"
	"time"
)

// poll reads a job's state, preferably from the memory of the controller that leads it, which
// saves the state service a request.
func (s *Service) poll(ctx context.Context, req Request) Reply {
	if rep, ok := s.localReply(req.UID); ok {
		return rep
	}
	if rep, ok := s.pollLeaders(ctx, req.UID); ok {
		return rep
	}
	rep := s.refineByLeader(ctx, s.serveHereOrAtPeer(ctx, req))
	if rep.answered() {
		return rep
	}
	if loaded, ok := s.localReply(req.UID); ok { // this controller has become the leader meanwhile
		return loaded
	}
	return rep
}

// pollLeaders asks the other leaders about a job. It returns false if none of them responds or knows the job;
// the state service may then show whether it is live or has ended.
func (s *Service) pollLeaders(ctx context.Context, uid string) (Reply, bool) {
	leaders := s.peers.ShardLeaders()
	waitsForLeader := s.onlyLeaderKnowsStage(uid, leaders)
	for i, leader := range leaders {
		timeout := peerTimeout
		if waitsForLeader {
			timeout = (timeLeft(ctx) - lookupReserve) / time.Duration(len(leaders)-i)
		}
		if answer := s.pollBatched(ctx, leader, uid, timeout); answer.outcome == pollAnswered {
			return leaderReply(answer.state), true
		}
	}
	return Reply{}, false
}

// onlyLeaderKnowsStage reports whether a job is live, so that a read of the state service would not show
// whether a task of it is running.
func (s *Service) onlyLeaderKnowsStage(uid string, leaders []string) bool {
	if s.live == nil || s.stages == nil || !s.live.KnownLive(uid) {
		return false
	}
	for _, leader := range leaders {
		if _, late := s.batcher(leader).lateState(uid); late {
			return false // valid if a read shows that the job has not ended
		}
	}
	return true
}
