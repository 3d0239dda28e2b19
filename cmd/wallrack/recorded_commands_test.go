package main

import (
	"testing"

	"github.com/wallrack/wallrack/internal/testkit/recorded"
)

// The commands with their flags, defaults and help texts must not change.
func TestRecordedCommands(t *testing.T) { recorded.CompareCommands(t, newRootCommand()) }
