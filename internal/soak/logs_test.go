package soak

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/submission"
)

func TestBrokenRuleInALogIsAViolation(t *testing.T) {
	for _, c := range []struct {
		message  string
		shortage FaultMode
		rule     Rule // empty: none
	}{
		{submission.DeniedJobMessage, ModeNone, Forgotten},
		{membership.LeaseEndedEarlyMessage, ModeBeside, LeaseLost},
		{dispatch.UnfencedForgetMessage, ModeNone, RanTwice},
		{membership.LeaseExpiredMessage, ModeAlone, LeaseLost},
		{membership.LeaseExpiredMessage, ModeBeside, ""},
	} {
		dir := t.TempDir()
		log := "msg=started\nlevel=ERROR msg=\"" + c.message + "\" job=j-1\nmsg=joined\n"
		if err := os.WriteFile(filepath.Join(dir, "soak-0.log"), []byte(log), 0o644); err != nil {
			t.Fatal(err)
		}
		violations, err := loggedViolations(dir, c.shortage)
		if err != nil || len(violations) > 1 || (len(violations) == 1) != (c.rule != "") || len(violations) == 1 && violations[0].Rule != c.rule {
			t.Errorf("%q, shortage %s: %v, %v", c.message, c.shortage, violations, err)
		}
	}
}
