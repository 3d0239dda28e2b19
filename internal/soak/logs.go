package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/submission"
)

// loggedViolations returns a violation for each line in the controllers' logs that reports a broken rule.
func loggedViolations(dir string, shortage FaultMode) (violations []Violation, err error) {
	rules := map[string]Rule{
		submission.DeniedJobMessage: Forgotten, membership.LeaseEndedEarlyMessage: LeaseLost, dispatch.UnfencedForgetMessage: RanTwice,
	}
	if shortage == ModeAlone {
		rules[membership.LeaseExpiredMessage] = LeaseLost
	}
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, fmt.Errorf("--dir: %w", err)
	}
	for _, file := range logs {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("log of a controller: %w", err)
		}
		for line := range strings.Lines(string(data)) {
			for message, rule := range rules {
				if strings.Contains(line, `msg="`+message+`"`) {
					violations = append(violations, Violation{Rule: rule, Cause: strings.TrimSpace(line)})
				}
			}
		}
	}
	return violations, nil
}
