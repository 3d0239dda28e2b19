package slurmtask

import (
	"path/filepath"
	"strconv"
	"strings"
)

// Files returns the files of standard output and error, "" for none. Relative ones are in dir,
// the task's working directory.
func (t *Task) Files(dir string) (stdout, stderr string) {
	stdout, stderr = t.resolveFile(t.Output, dir), t.resolveFile(t.Error, dir)
	if stderr == "" {
		stderr = stdout
	}
	return stdout, stderr
}

// resolveFile is the resolveFile that a pattern names, "" for an empty pattern.
func (t *Task) resolveFile(pattern, dir string) string {
	if pattern == "" {
		return ""
	}
	name := t.expand(pattern)
	if filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(dir, name)
}

// maxPadding bounds the width of a number: else a pattern could make a name of any length.
const maxPadding = 10

// expand expands a file name pattern as sbatch's manual defines it: a number between the %
// and the letter pads with zeros, and a backslash anywhere leaves the whole pattern as it is.
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

// zeroPad pads a value that starts with a digit with zeros to a width, given by its digits.
func zeroPad(value, width string) string {
	n, _ := strconv.Atoi(width) // no digits: 0; too many: the greatest int
	missing := min(n, maxPadding) - len(value)
	if missing <= 0 || value == "" || value[0] < '0' || value[0] > '9' {
		return value
	}
	return strings.Repeat("0", missing) + value
}

// absentIndexText is what Slurm puts in place of %a if there is no array.
const absentIndexText = "4294967294"

// patternValue is what a letter after % stands for.
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
	case 'n': // of the node in the job, which has one
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
