package slurm

import (
	"bufio"
	"errors"
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/kballard/go-shellquote"
)

// directive is an #SBATCH line of a script.
type directive struct {
	line int      // line number, from 1
	args []string // after shell unquoting
}

// parseDirectives returns the #SBATCH lines before the first command of a script. It fails
// with a *UsageError if the script doesn't start with #!, if it contains DOS line breaks or a zero
// byte, or if the quotes of an #SBATCH line are malformed.
func parseDirectives(script string) ([]directive, error) {
	if !strings.HasPrefix(script, "#!") {
		return nil, &UsageError{Message: "This does not look like a batch script.  The first line must start with #! followed by the path to an interpreter."}
	}
	if strings.Contains(script, "\r\n") {
		return nil, &UsageError{Message: "Batch script contains DOS line breaks (\\r\\n) instead of expected UNIX line breaks (\\n)."}
	}
	if strings.ContainsRune(script, 0) {
		return nil, &UsageError{Message: "The batch script holds a zero byte."}
	}
	var lines []directive
	scanner := bufio.NewScanner(strings.NewReader(script))
	scanner.Buffer(nil, len(script)+1)
	for n := 1; scanner.Scan(); n++ {
		line := scanner.Text()
		trimmed := strings.TrimSpace(line)
		options, found := strings.CutPrefix(line, "#SBATCH")
		switch {
		case found && options != "" && (options[0] == ' ' || options[0] == '\t'):
			args, err := shellquote.Split(stripComment(options))
			if err != nil {
				return nil, &UsageError{Location: lineLocation(n), Message: err.Error()}
			}
			lines = append(lines, directive{n, args})
		case trimmed != "" && trimmed[0] != '#':
			return lines, nil
		}
	}
	return lines, nil
}

// lineLocation returns the UsageError.Location for a line of the script.
func lineLocation(line int) string { return fmt.Sprintf("script line %d", line) }

// stripComment removes a trailing comment, which starts at a # that begins a word outside quotes.
func stripComment(s string) string {
	quote := rune(0)
	last := ' '
	for i, c := range s {
		switch {
		case quote != 0:
			if c == quote {
				quote = 0
			}
		case c == '\'' || c == '"':
			quote = c
		case c == '#' && (last == ' ' || last == '\t'):
			return s[:i]
		}
		last = c
	}
	return s
}

// FromScript returns the options set by a script's #SBATCH lines. It validates each line
// separately, so that an error about a line names it. The error is a *UsageError.
func FromScript(script string, now time.Time) (OptionValues, error) {
	lines, err := parseDirectives(script)
	if err != nil {
		return nil, err
	}
	given := OptionValues{}
	for _, l := range lines {
		lineOptions, arguments, err := ParseArgs(Sbatch, l.args)
		if err == nil && len(arguments) > 0 {
			err = &UsageError{Message: fmt.Sprintf("%.40q is not an option", arguments[0])}
		}
		if err == nil {
			_, err = MergeOptions(Sbatch, now, lineOptions)
		}
		var usage *UsageError
		if errors.As(err, &usage) {
			return nil, &UsageError{Location: lineLocation(l.line), Option: usage.Option, Message: usage.Message}
		}
		if err != nil {
			return nil, &UsageError{Location: lineLocation(l.line), Message: err.Error()}
		}
		maps.Copy(given, lineOptions)
	}
	return given, nil
}
