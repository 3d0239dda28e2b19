package slurmtask

import (
	"path/filepath"
	"strconv"
	"strings"
)

// Files returns the paths of the files for standard output and standard error, "" for none.
// Relative names are resolved against dir, the task's working directory. If t.Error is "", both
// streams go to the same file.
func (t *Task) Files(dir string) (stdout, stderr string) {
	stdout, stderr = t.resolveFile(t.Output, dir), t.resolveFile(t.Error, dir)
	if stderr == "" {
		stderr = stdout
	}
	return stdout, stderr
}

// resolveFile expands a pattern and returns the path, "" for an empty pattern.
func (t *Task) resolveFile(pattern, dir string) string {
	if pattern == "" {
		return ""
	}
	expanded := t.expand(pattern)
	if filepath.IsAbs(expanded) {
		return expanded
	}
	return filepath.Join(dir, expanded)
}

// maxPadding limits the width to which numbers are padded. Without it, a short pattern could
// expand to a file name of any length.
const maxPadding = 10

// expand expands a file name pattern as defined in sbatch's manual. A number between the % and
// the letter pads numeric values with zeros. If the pattern contains a backslash, nothing is
// expanded and the backslashes are removed.
func (t *Task) expand(pattern string) string {
	if strings.Contains(pattern, `\`) {
		return strings.ReplaceAll(pattern, `\`, "")
	}
	var name strings.Builder
	for i := 0; i < len(pattern); i++ {
		if pattern[i] != '%' {
			name.WriteByte(pattern[i])
			continue
		}
		letter := i + 1
		for letter < len(pattern) && pattern[letter] >= '0' && pattern[letter] <= '9' {
			letter++
		}
		if letter == len(pattern) {
			name.WriteString(pattern[i:])
			break
		}
		if value, known := t.patternValue(pattern[letter]); known {
			name.WriteString(zeroPad(value, pattern[i+1:letter]))
		} else {
			name.WriteString(pattern[i : letter+1])
		}
		i = letter
	}
	return name.String()
}

// zeroPad left-pads a number with zeros to a width, which is a decimal text and limited to
// maxPadding. A value that doesn't start with a digit is returned unchanged.
func zeroPad(value, width string) string {
	n, _ := strconv.Atoi(width) // 0 without digits, the largest int on overflow
	missing := min(n, maxPadding) - len(value)
	if missing <= 0 || value == "" || value[0] < '0' || value[0] > '9' {
		return value
	}
	return strings.Repeat("0", missing) + value
}

// absentIndexText is the text to which Slurm expands %a if the job is not an array.
const absentIndexText = "4294967294"

// patternValue returns the text that replaces % and a letter. known is false for an unknown letter.
func (t *Task) patternValue(letter byte) (_ string, known bool) {
	switch letter {
	case '%':
		return "%", true
	case 'A':
		return formatUint(t.Number), true
	case 'a':
		if !t.inArray() {
			return absentIndexText, true
		}
		return strconv.Itoa(t.arrayIndex), true
	case 'j':
		return formatUint(t.jobNumber()), true
	case 'x':
		return t.Name, true
	case 'u':
		return t.User, true
	case 'N':
		return t.workerName, true
	case 'n': // number of the node within the job, which has one node
		return "0", true
	case 't':
		return strconv.Itoa(t.rank()), true
	case 's':
		if t.Step {
			return "0", true
		}
		return "batch", true
	}
	return "", false
}
