package main

import (
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"github.com/wallrack/wallrack/internal/testkit/recorded"
)

// The commands with their flags, defaults and help texts must not change.
func TestRecordedCommands(t *testing.T) {
	var text strings.Builder
	var walk func(c *cobra.Command)
	walk = func(c *cobra.Command) {
		text.WriteString("== " + c.CommandPath() + "\n" + c.Short + "\n" + c.Long + "\n" + c.UsageString() + "\n")
		for _, sub := range c.Commands() {
			walk(sub)
		}
	}
	walk(newRootCommand())
	recorded.Compare(t, "commands.txt", []byte(text.String()))
}
