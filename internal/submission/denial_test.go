package submission_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/wallrack/wallrack/internal/submission"
)

// liveElsewhere is a stub that knows every job to be live, while the state service has no record of any.
type liveElsewhere struct{ *stub }

func (liveElsewhere) SurelyQueued(string, int) bool { return false }
func (liveElsewhere) KnownLive(string) bool         { return true }

func TestAcceptedJobIsNeverDenied(t *testing.T) {
	s := newStub()
	service := newServiceWith(t, s, liveElsewhere{s}, submission.Options{})
	request := requestTo(service)
	for _, c := range []struct{ method, path, body string }{
		{http.MethodPost, "/api/jobs", strings.Replace(job, `"cpus":2`, `"cpus":64`, 1)},
		{http.MethodPost, "/api/jobs", strings.Replace(job, `"crew":"t"`, `"crew":"x"`, 1)},
		{http.MethodPost, "/api/jobs", strings.Replace(job, `"pieces":3`, `"pieces":0`, 1)},
	} {
		if status, _, _ := request(c.method, c.path, c.body); status != http.StatusServiceUnavailable {
			t.Errorf("%s: status %d", c.body, status)
		}
	}
	if denials := service.Refusals()[submission.RefusedDenial]; denials != 3 {
		t.Errorf("%d denials counted", denials)
	}
}
