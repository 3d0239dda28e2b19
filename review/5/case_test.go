//go:build review

package case5

import (
	"os/exec"
	"testing"
)

// TestReviewCase5 fails if the case's script exits with anything but 0.
func TestReviewCase5(t *testing.T) {
	out, err := exec.Command("./run.sh").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
}
