package slurm

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// field is a column that a listing may have.
type field[R any] struct {
	letter byte // of -o "%...", 0: none
	name   string
	title  string
	width  int // where none is asked for
	of     func(r *R) string
}

// column is a field as it was asked for.
type column[R any] struct {
	field[R]
	width int // 0: as wide as it is
	right bool
	after string // text that follows
}

// Table is a listing's layout.
type Table[R any] struct {
	before  string
	columns []column[R]
	pipes   bool // sacct -P
	ends    bool // sacct -p: a bar at the end too
	rules   bool // a line below the titles
}

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

func (t *Table[R]) line(text func(c *column[R]) string) string {
	var b strings.Builder
	b.WriteString(t.before)
	for i := range t.columns {
		c := &t.columns[i]
		if t.pipes {
			if i > 0 {
				b.WriteByte('|')
			}
			b.WriteString(text(c))
			continue
		}
		cell := pad(text(c), c.width, c.right)
		if t.rules && c.width > 0 && len([]rune(text(c))) > c.width {
			cell = string([]rune(cell)[:c.width-1]) + "+" // sacct says that it cut
		}
		b.WriteString(cell)
		b.WriteString(c.after)
	}
	if t.ends {
		b.WriteByte('|')
	}
	if t.rules {
		return b.String() + "\n" // sacct keeps the blanks at the end
	}
	return strings.TrimRight(b.String(), " ") + "\n"
}

// Header writes the titles.
func (t *Table[R]) Header() string {
	out := t.line(func(c *column[R]) string { return c.title })
	if t.rules && !t.pipes {
		out += t.line(func(c *column[R]) string { return strings.Repeat("-", c.width) })
	}
	return out
}

// Row writes a row.
func (t *Table[R]) Row(r *R) string {
	return t.line(func(c *column[R]) string { return c.of(r) })
}

// parsePercent reads a format like "%.18i %9P": a dot puts text to the right.
func parsePercent[R any](spec string, fields []field[R]) (*Table[R], error) {
	t := &Table[R]{}
	literal := &t.before
	for i := 0; i < len(spec); i++ {
		if spec[i] != '%' {
			*literal += string(spec[i])
			continue
		}
		c := column[R]{}
		if i++; i < len(spec) && spec[i] == '.' {
			c.right = true
			i++
		}
		from := i
		for i < len(spec) && spec[i] >= '0' && spec[i] <= '9' {
			i++
		}
		c.width, _ = strconv.Atoi(spec[from:i]) // none: as wide as it is
		if i == len(spec) {
			return nil, &Usage{Option: "format", Why: fmt.Sprintf("Invalid job format specification: %.60q", spec)}
		}
		k := slices.IndexFunc(fields, func(f field[R]) bool { return f.letter == spec[i] })
		if k < 0 || c.width > 1000 {
			return nil, &Usage{Option: "format", Why: fmt.Sprintf("Invalid job format specification: %%%c is not supported by wallrack", spec[i])}
		}
		c.field = fields[k]
		t.columns = append(t.columns, c)
		literal = &t.columns[len(t.columns)-1].after
	}
	return t, nil
}

// parseNames reads a list like "jobid:8,name" (sep ":") or "JobID%20" (sep "%").
// A minus width puts text to the left for sacct, a dot to the right for squeue.
func parseNames[R any](option, spec, sep string, fields []field[R]) (*Table[R], error) {
	t := &Table[R]{}
	for _, part := range strings.Split(spec, ",") {
		name, width, sized := strings.Cut(strings.TrimSpace(part), sep)
		k := slices.IndexFunc(fields, func(f field[R]) bool { return strings.EqualFold(f.name, name) })
		if k < 0 {
			return nil, &Usage{Option: option, Why: fmt.Sprintf("Invalid field requested: %.60q", name)}
		}
		c := column[R]{field: fields[k], width: fields[k].width, right: sep == "%"}
		if sized {
			if rest, ok := strings.CutPrefix(width, "."); ok {
				width, c.right = rest, true
			}
			if rest, ok := strings.CutPrefix(width, "-"); ok {
				width, c.right = rest, false
			}
			n, err := strconv.Atoi(width)
			if err != nil || n < 1 || n > 1000 {
				return nil, &Usage{Option: option, Why: fmt.Sprintf("%.60q: not a width", part)}
			}
			c.width = n
		}
		if sep == "%" {
			c.after = " "
		}
		t.columns = append(t.columns, c)
	}
	return t, nil
}

// names lists the fields, for help.
func names[R any](fields []field[R]) string {
	var out []string
	for _, f := range fields {
		if f.name != "" {
			out = append(out, f.name)
		}
	}
	return strings.Join(out, " ")
}

// Clock writes a time as Slurm does: [days-]hours:minutes:seconds, and for squeue
// (short) without hours where there are none.
func Clock(seconds float64, short bool) string {
	n := int64(max(0, seconds))
	d, h, m, s := n/86400, n/3600%24, n/60%60, n%60
	switch {
	case d > 0:
		return fmt.Sprintf("%d-%02d:%02d:%02d", d, h, m, s)
	case h > 0 && short:
		return fmt.Sprintf("%d:%02d:%02d", h, m, s)
	case short:
		return fmt.Sprintf("%d:%02d", m, s)
	}
	return fmt.Sprintf("%02d:%02d:%02d", h, m, s)
}

// stamp writes a point of time, or what stands for none.
func stamp(ms int64, none string, zone *time.Location) string {
	if ms <= 0 {
		return none
	}
	return time.UnixMilli(ms).In(zone).Format("2006-01-02T15:04:05")
}

// memoryText writes an amount of memory as squeue does.
func memoryText(gb float64) string {
	mb := gb * 1024
	if mb >= 1024 && mb == float64(int64(mb/1024))*1024 {
		return strconv.FormatInt(int64(mb/1024), 10) + "G"
	}
	return strconv.FormatFloat(mb, 'f', -1, 64) + "M"
}

func amount(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

func dash(s, none string) string { return cmp.Or(s, none) }
