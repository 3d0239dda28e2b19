package capacity

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// PagePath is the path of the page with the table of slopes, relative to the repository's root.
const PagePath = "docs/CAPACITY.md"

// Row is a row of the page's table of slopes.
type Row struct {
	Name  string
	Fixed float64
	Slope float64
	Exact bool // the same in every run, so that a test can compare it
}

// The table's columns are: name, unit and number, sizes, fixed part, slope, fit error, kind.
const (
	numColumns  = 7
	fixedColumn = 3
	slopeColumn = 4
	kindColumn  = 6
)

// ParsePage returns the rows of the table of slopes by name. These are the rows with numColumns
// cells, the first of which is a series' name between backquotes, such as `wire.report`.
func ParsePage(text string) (map[string]Row, error) {
	rows := map[string]Row{}
	for number, line := range strings.Split(text, "\n") {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		name := strings.TrimSpace(cells[0])
		if !strings.HasPrefix(line, "|") || len(cells) != numColumns || !strings.HasPrefix(name, "`") {
			continue
		}
		fail := func(format string, args ...any) error {
			return fmt.Errorf("line %d: %s: %s", number+1, name, fmt.Sprintf(format, args...))
		}
		row := Row{Name: strings.Trim(name, "`")}
		var err error
		if row.Fixed, err = parseNumber(cells[fixedColumn]); err != nil {
			return nil, fail("fixed part: %v", err)
		}
		if row.Slope, err = parseNumber(cells[slopeColumn]); err != nil {
			return nil, fail("slope: %v", err)
		}
		switch kind := strings.TrimSpace(cells[kindColumn]); kind {
		case "exact":
			row.Exact = true
		case "scatters":
		default:
			return nil, fail("kind is neither exact nor scatters: %q", kind)
		}
		if _, twice := rows[row.Name]; twice {
			return nil, fail("duplicate row")
		}
		rows[row.Name] = row
	}
	return rows, nil
}

// parseNumber parses a number that may have commas between thousands.
func parseNumber(cell string) (float64, error) {
	return strconv.ParseFloat(strings.ReplaceAll(strings.TrimSpace(cell), ",", ""), 64)
}

// ReadPage reads and parses the page in the repository that contains the working directory.
func ReadPage() (map[string]Row, error) {
	dir, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			break
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return nil, fmt.Errorf("no go.mod above the working directory")
		}
		dir = parent
	}
	text, err := os.ReadFile(filepath.Join(dir, PagePath))
	if err != nil {
		return nil, err
	}
	rows, err := ParsePage(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", PagePath, err)
	}
	return rows, nil
}
