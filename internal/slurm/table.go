package slurm

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// field defines a column that users may select for a listing with rows of type R.
type field[R any] struct {
	letter byte // letter in formats such as %i; 0: the field has none
	name   string
	title  string
	width  int // default width in characters
	format func(r *R) string
}

// column is a field with its place and width in a Table.
type column[R any] struct {
	field[R]
	width      int // in characters; 0: cells are neither padded nor cut
	alignRight bool
	suffix     string // literal text after the cell
}

// Table is the layout of a listing with rows of type R.
type Table[R any] struct {
	prefix            string // literal text at the start of each line
	columns           []column[R]
	delimited         bool // sacct -P: cells are unpadded and separated by |
	trailingDelimiter bool // sacct -p: each line also ends with |
	sacctStyle        bool // sacct's style: dashes below the header, + at the end of truncated cells, trailing blanks kept
}

// pad pads or truncates s to a width in characters. If width is 0, it returns s unchanged.
func pad(s string, width int, right bool) string {
	switch n := len([]rune(s)); {
	case width <= 0 || n == width:
		return s
	case n > width:
		return string([]rune(s)[:width])
	case right:
		return strings.Repeat(" ", width-n) + s
	default:
		return s + strings.Repeat(" ", width-n)
	}
}

// line formats one line. cellText returns the text of a column's cell.
func (t *Table[R]) line(cellText func(c *column[R]) string) string {
	var b strings.Builder
	b.WriteString(t.prefix)
	for i := range t.columns {
		c := &t.columns[i]
		if t.delimited {
			if i > 0 {
				b.WriteByte('|')
			}
			b.WriteString(cellText(c))
			continue
		}
		cell := pad(cellText(c), c.width, c.alignRight)
		if t.sacctStyle && c.width > 0 && len([]rune(cellText(c))) > c.width {
			cell = string([]rune(cell)[:c.width-1]) + "+" // sacct marks truncated text
		}
		b.WriteString(cell)
		b.WriteString(c.suffix)
	}
	if t.trailingDelimiter {
		b.WriteByte('|')
	}
	if t.sacctStyle {
		return b.String() + "\n"
	}
	return strings.TrimRight(b.String(), " ") + "\n"
}

// Header returns the header: the columns' titles and, in sacct's padded style, a line of dashes.
func (t *Table[R]) Header() string {
	out := t.line(func(c *column[R]) string { return c.title })
	if t.sacctStyle && !t.delimited {
		out += t.line(func(c *column[R]) string { return strings.Repeat("-", c.width) })
	}
	return out
}

// Row returns the formatted line of a row, with its line break.
func (t *Table[R]) Row(r *R) string {
	return t.line(func(c *column[R]) string { return c.format(r) })
}

// parseFormat parses a format string such as "%.18i %9P". A column consists of %, an optional dot,
// which right-aligns it, an optional width and the letter of a field. The error is a *UsageError.
func parseFormat[R any](spec string, fields []field[R]) (*Table[R], error) {
	t := &Table[R]{}
	literal := &t.prefix
	for i := 0; i < len(spec); i++ {
		if spec[i] != '%' {
			*literal += string(spec[i])
			continue
		}
		c := column[R]{}
		if i++; i < len(spec) && spec[i] == '.' {
			c.alignRight = true
			i++
		}
		from := i
		for i < len(spec) && spec[i] >= '0' && spec[i] <= '9' {
			i++
		}
		c.width, _ = strconv.Atoi(spec[from:i]) // without digits: 0, which means unpadded
		if i == len(spec) {
			return nil, &UsageError{Option: "format", Message: fmt.Sprintf("Invalid job format specification: %.60q", spec)}
		}
		k := slices.IndexFunc(fields, func(f field[R]) bool { return f.letter == spec[i] })
		if k < 0 || c.width > 1000 {
			return nil, &UsageError{Option: "format", Message: fmt.Sprintf("Invalid job format specification: %%%c is not supported by wallrack", spec[i])}
		}
		c.field = fields[k]
		t.columns = append(t.columns, c)
		literal = &t.columns[len(t.columns)-1].suffix
	}
	return t, nil
}

// parseFieldList parses a list of field names with optional widths, such as "jobid:8,name"
// (separator ":", squeue) or "JobID%20" (separator "%", sacct). A minus before the width
// left-aligns the column, a dot right-aligns it.
func parseFieldList[R any](option, spec, separator string, fields []field[R]) (*Table[R], error) {
	t := &Table[R]{}
	for _, part := range strings.Split(spec, ",") {
		name, width, hasWidth := strings.Cut(strings.TrimSpace(part), separator)
		k := slices.IndexFunc(fields, func(f field[R]) bool { return strings.EqualFold(f.name, name) })
		if k < 0 {
			return nil, &UsageError{Option: option, Message: fmt.Sprintf("Invalid field requested: %.60q", name)}
		}
		c := column[R]{field: fields[k], width: fields[k].width, alignRight: separator == "%"}
		if hasWidth {
			if digits, found := strings.CutPrefix(width, "."); found {
				width, c.alignRight = digits, true
			}
			if digits, found := strings.CutPrefix(width, "-"); found {
				width, c.alignRight = digits, false
			}
			n, err := strconv.Atoi(width)
			if err != nil || n < 1 || n > 1000 {
				return nil, &UsageError{Option: option, Message: fmt.Sprintf("%.60q: not a width", part)}
			}
			c.width = n
		}
		if separator == "%" {
			c.suffix = " "
		}
		t.columns = append(t.columns, c)
	}
	return t, nil
}

// fieldNames returns the names of the fields for help texts, separated by blanks.
func fieldNames[R any](fields []field[R]) string {
	names := make([]string, 0, len(fields))
	for _, f := range fields {
		if f.name != "" {
			names = append(names, f.name)
		}
	}
	return strings.Join(names, " ")
}
