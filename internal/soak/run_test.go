package soak

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/wallrack/wallrack/internal/submission"
)

func TestDeniedJobInALogIsAViolation(t *testing.T) {
	dir := t.TempDir()
	log := "msg=started\nlevel=ERROR msg=\"" + submission.DeniedJobMessage + "\" job=j-1\nmsg=joined\n"
	if err := os.WriteFile(filepath.Join(dir, "soak-0.log"), []byte(log), 0o644); err != nil {
		t.Fatal(err)
	}
	violations, err := deniedJobs(dir)
	if err != nil || len(violations) != 1 || violations[0].Rule != Forgotten {
		t.Errorf("%v, %v", violations, err)
	}
}
