package slurm

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// field is a column that a listing of rows R may have.
type field[R any] struct {
	letter byte // in formats like %i; 0: none
	name   string
	title  string
	width  int // if the layout has none
	format func(r *R) string
}

// column is a field in a layout.
type column[R any] struct {
	field[R]
	width      int // 0: that of its text
	alignRight bool
	suffix     string // literal text that follows
}

// Table is a listing's layout.
type Table[R any] struct {
	prefix            string // literal text at the start of a line
	columns           []column[R]
	delimited         bool // sacct -P: bars between the columns
	trailingDelimiter bool // sacct -p: and at the end
	sacctStyle        bool // sacct's form: a line below the titles, + where text is cut, blanks at the end
}

// pad pads or cuts a text to a width in characters; 0 keeps it.
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

// line formats a line with a text for each column.
func (t *Table[R]) line(text func(c *column[R]) string) string {
	var b strings.Builder
	b.WriteString(t.prefix)
	for i := range t.columns {
		c := &t.columns[i]
		if t.delimited {
			if i > 0 {
				b.WriteByte('|')
			}
			b.WriteString(text(c))
			continue
		}
		cell := pad(text(c), c.width, c.alignRight)
		if t.sacctStyle && c.width > 0 && len([]rune(text(c))) > c.width {
			cell = string([]rune(cell)[:c.width-1]) + "+" // sacct marks a text that was cut
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

// Header returns the lines of the titles.
func (t *Table[R]) Header() string {
	out := t.line(func(c *column[R]) string { return c.title })
	if t.sacctStyle && !t.delimited {
		out += t.line(func(c *column[R]) string { return strings.Repeat("-", c.width) })
	}
	return out
}

// Row returns the line of a row.
func (t *Table[R]) Row(r *R) string {
	return t.line(func(c *column[R]) string { return c.format(r) })
}

// parseFormat parses a layout like "%.18i %9P", where a dot aligns to the right.
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
		c.width, _ = strconv.Atoi(spec[from:i]) // none: 0, that of its text
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

// parseFieldList parses a layout like "jobid:8,name" (separator ":") or "JobID%20" (separator "%").
// A minus before the width aligns to the left for sacct, a dot to the right for squeue.
func parseFieldList[R any](option, spec, separator string, fields []field[R]) (*Table[R], error) {
	t := &Table[R]{}
	for _, part := range strings.Split(spec, ",") {
		name, width, sized := strings.Cut(strings.TrimSpace(part), separator)
		k := slices.IndexFunc(fields, func(f field[R]) bool { return strings.EqualFold(f.name, name) })
		if k < 0 {
			return nil, &UsageError{Option: option, Message: fmt.Sprintf("Invalid field requested: %.60q", name)}
		}
		c := column[R]{field: fields[k], width: fields[k].width, alignRight: separator == "%"}
		if sized {
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

// fieldNames lists the fields, for help.
func fieldNames[R any](fields []field[R]) string {
	names := make([]string, 0, len(fields))
	for _, f := range fields {
		if f.name != "" {
			names = append(names, f.name)
		}
	}
	return strings.Join(names, " ")
}
