package submission

import (
	"errors"
	"net/http"

	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// Request is a user's request that one controller passes to another.
type Request struct {
	Verb string `json:"verb"` // one of the Verb constants
	UID  string `json:"uid"`
	Body []byte `json:"body,omitempty"`

	UIDs []string `json:"uids,omitempty"` // of batched polls

	AsLeader bool `json:"asLeader,omitempty"` // of a poll: report the job as queued only if this controller leads it and is certain

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

// Reply is the response to a Request. Status 0 means that the outcome is unknown.
type Reply struct {
	Status int           `json:"status"` // HTTP status code
	State  wire.JobState `json:"state"`
	Reason string        `json:"reason,omitempty"` // of a rejection, for the user
	Busy   bool          `json:"busy,omitempty"`   // the outcome is unknown because the state service's rate limit is exhausted

	Refusal Refusal `json:"-"` // why the outcome is unknown here

	StageKnown bool `json:"settled,omitempty"` // the stage is certain; the state service alone records every live job as queued

	States []wire.JobState `json:"states,omitempty"`    // of batched polls, in their order; those of unknown jobs have no UID
	MayRun []string        `json:"unsettled,omitempty"` // of batched polls to earlier versions: live jobs of which a task may be running
}

// retriableAtPeer reports whether the outcome is unknown but a peer may know it. If the state
// service is busy, it is busy for all controllers.
func (r *Reply) retriableAtPeer() bool { return r.Status == 0 && !r.Busy }

// answered reports whether the outcome is known: the reply contains a state or denies the job.
func (r *Reply) answered() bool {
	return r.Status != 0 && r.Status != http.StatusServiceUnavailable
}

// succeeded reports whether the reply contains a state.
func (r *Reply) succeeded() bool { return r.Status/100 == 2 }

// deniesJob reports whether the reply says that a job does not exist, or rejects its submission.
func (r *Reply) deniesJob() bool {
	return r.Status == http.StatusNotFound || r.Status == http.StatusBadRequest || r.Status == http.StatusUnprocessableEntity
}

// unknownOutcome returns the reply for an error that leaves the outcome unknown.
func unknownOutcome(err error) Reply {
	return Reply{Busy: errors.Is(err, statestore.ErrBusy), Refusal: refusalOf(err)}
}
