package recorded

import (
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

// commandsSample is the sample with the commands of a program.
const commandsSample = "commands.txt"

// CompareCommands checks that the commands below root, with their flags, defaults and help texts, equal
// the sample of the package under test.
func CompareCommands(t testing.TB, root *cobra.Command) {
	t.Helper()
	var text strings.Builder
	writeCommands(&text, root)
	Compare(t, commandsSample, []byte(text.String()))
}

// writeCommands writes the help texts of a command and of all commands below it.
func writeCommands(text *strings.Builder, command *cobra.Command) {
	text.WriteString("== " + command.CommandPath() + "\n" + command.Short + "\n" + command.Long + "\n" + command.UsageString() + "\n")
	for _, sub := range command.Commands() {
		writeCommands(text, sub)
	}
}
