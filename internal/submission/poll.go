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

// pollLeaders asks the other leaders about a job. It returns false if the state service may help: if no
// leader knows the job, or if none responds and the job is not known to be live.
func (s *Service) pollLeaders(ctx context.Context, uid string) (Reply, bool) {
	leaders := s.peers.ShardLeaders()
	waitsForLeader := s.onlyLeaderKnows(uid, leaders)
	unanswered := len(leaders) == 0
	for i, leader := range leaders {
		timeout := peerTimeout
		if waitsForLeader {
			timeout = (timeLeft(ctx) - lookupReserve) / time.Duration(len(leaders)-i)
		}
		switch answer := s.pollBatched(ctx, leader, uid, timeout); answer.outcome {
		case pollAnswered:
			return leaderReply(answer.state), true
		case pollUnanswered:
			unanswered = true
		case pollJobUnknown:
		}
	}
	if waitsForLeader && unanswered && s.onlyLeaderKnows(uid, leaders) {
		return liveJobUnanswered(leaders), true
	}
	return Reply{}, false
}

// onlyLeaderKnows reports whether a job is live and its stage is known to its leader alone: a read of the
// state service would not help to answer a poll.
func (s *Service) onlyLeaderKnows(uid string, leaders []string) bool {
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

// liveJobUnanswered returns the reply, with status 503, for a live job of which none of the leaders said
// anything in time.
func liveJobUnanswered(leaders []string) Reply {
	if len(leaders) == 0 {
		return undecidedReply(RefusedNoLeader)
	}
	return undecidedReply(RefusedLeaderUnreached)
}
