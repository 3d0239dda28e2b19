package submission

import (
	"errors"

	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// Request is a user's request that one controller passes to another.
type Request struct {
	Verb string `json:"verb"` // submit, poll or cancel
	UID  string `json:"uid"`
	Body []byte `json:"body,omitempty"`

	UIDs []string `json:"uids,omitempty"` // of batched polls

	AsLeader bool `json:"asLeader,omitempty"` // of a poll: only the leader's word that a job is queued will do

	Constraints *jobspec.Constraints `json:"terms,omitempty"` // of a submission
}

// Verbs of a Request.
const (
	VerbSubmit    = "submit"
	VerbPoll      = "poll"
	VerbCancel    = "cancel"
	VerbCheck     = "check" // reports whether a submission would be accepted, and records nothing
	VerbBatchPoll = "known" // reads the states of UIDs from the memory of the controller that leads the jobs
)

// Reply is the response to a Request. Status 0 means that the outcome is unknown to the peer
// too.
type Reply struct {
	Status int           `json:"status"` // of HTTP
	State  wire.JobState `json:"state"`
	Reason string        `json:"reason,omitempty"` // of a refusal, for the user
	Busy   bool          `json:"busy,omitempty"`   // the outcome is unknown for want of the state service's rate limit

	StageKnown bool `json:"settled,omitempty"` // the stage is known, not only what the state service has of every living job

	States       []wire.JobState `json:"states,omitempty"`    // of batched polls, in their order; unknown ones have no uid
	StageUnknown []string        `json:"unsettled,omitempty"` // of batched polls: living jobs of which the leader can't say yet whether they run
}

// retriableAtPeer reports whether another controller may do better: a state service that is busy is
// so for all.
func (r *Reply) retriableAtPeer() bool { return r.Status == 0 && !r.Busy }

// succeeded reports whether the reply carries a state.
func (r *Reply) succeeded() bool { return r.Status/100 == 2 }

// unknownOutcome is the reply for an error that leaves the outcome unknown.
func unknownOutcome(err error) Reply { return Reply{Busy: errors.Is(err, statestore.ErrBusy)} }
