package submission

import "github.com/wallrack/wallrack/internal/wire"

// requireConfirmedCancel returns rep, or a reply with status 503 if rep reports the job as cancelled
// and the cancel is not effective at all controllers. Otherwise a poll or a repeated submission could
// report a job as cancelled while a task of it can still start.
func (s *Service) requireConfirmedCancel(rep Reply) Reply {
	if s.cancellations == nil || !rep.succeeded() || rep.State.Stage != wire.StageCancelled {
		return rep
	}
	if err := s.cancellations.Confirm(rep.State.UID); err != nil {
		s.log.Debug("cancel not confirmed", "job", rep.State.UID, "err", err)
		return undecidedReply(RefusedCancelUnconfirmed)
	}
	return rep
}

// neverDenyAccepted returns rep, or a reply with status 503 if rep denies a job that the state service has
// reported as accepted. Every response to a user's HTTP request about a job passes it, and it should never
// have to change one.
func (s *Service) neverDenyAccepted(uid string, rep Reply) Reply {
	if !rep.deniesJob() || !s.knownAccepted(uid) {
		return rep
	}
	s.log.Error(DeniedJobMessage, "job", uid, "status", rep.Status, "reason", rep.Reason)
	return undecidedReply(RefusedDenial)
}

// knownAccepted reports whether the state service has reported a job as live or ended.
func (s *Service) knownAccepted(uid string) bool {
	_, ended := s.ended.get(uid)
	return ended || s.live != nil && s.live.KnownLive(uid)
}
