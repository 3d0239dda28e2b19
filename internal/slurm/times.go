package slurm

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// parseUnixMs parses a time as ParseTime does and returns it in Unix milliseconds.
func parseUnixMs(v string, now time.Time) (int64, error) {
	t, err := ParseTime(v, now)
	return t.UnixMilli(), err
}

// ParseTime parses a date or time in any of Slurm's formats, in now's time zone. A time of day
// that has passed today refers to tomorrow, and "today" means now. If the error is not nil, the
// returned time is now.
func ParseTime(v string, now time.Time) (time.Time, error) {
	low := strings.ToLower(strings.TrimSpace(v))
	invalid := fmt.Errorf("%.40q is not a time", v)
	switch low {
	case "today":
		return now, nil
	case "tomorrow", "midnight":
		return midnight(now).AddDate(0, 0, 1), nil
	}
	if offset, relative := strings.CutPrefix(low, "now"); relative {
		d, valid := parseOffset(offset)
		if !valid {
			return now, invalid
		}
		return now.Add(d), nil
	}
	if t, valid := parseTimeOfDay(low, now); valid {
		return nextOccurrence(t, now), nil
	}
	if t, valid := parseDate(low, now); valid {
		return t, nil
	}
	return now, invalid
}

// midnight returns the start of now's day.
func midnight(now time.Time) time.Time {
	y, m, d := now.Date()
	return time.Date(y, m, d, 0, 0, 0, 0, now.Location())
}

// offsetUnits maps the units of an offset, in the singular, to durations.
var offsetUnits = map[string]time.Duration{
	"": time.Second, "second": time.Second, "minute": time.Minute, "hour": time.Hour, "day": 24 * time.Hour, "week": 7 * 24 * time.Hour,
}

// parseOffset parses the offset after "now": a sign, a number and an optional unit (default:
// seconds). An empty offset is zero.
func parseOffset(s string) (_ time.Duration, valid bool) {
	if s == "" {
		return 0, true
	}
	sign := time.Duration(1)
	switch s[0] {
	case '+':
	case '-':
		sign = -1
	default:
		return 0, false
	}
	unitName := strings.TrimLeft(s[1:], "0123456789")
	n, err := strconv.ParseInt(s[1:len(s)-len(unitName)], 10, 32)
	unit, known := offsetUnits[strings.TrimSuffix(unitName, "s")]
	return sign * time.Duration(n) * unit, err == nil && known
}

// namedHours maps names for a time of day to the hour.
var namedHours = map[string]int{"noon": 12, "fika": 15, "teatime": 16}

// parseTimeOfDay parses a time of day and returns that time on now's day.
func parseTimeOfDay(s string, now time.Time) (_ time.Time, valid bool) {
	if hour, known := namedHours[s]; known {
		return midnight(now).Add(time.Duration(hour) * time.Hour), true
	}
	y, m, d := now.Date()
	for _, form := range []string{"15:04", "15:04:05", "3:04pm", "3:04 pm"} {
		if t, err := time.ParseInLocation(form, s, now.Location()); err == nil {
			return time.Date(y, m, d, t.Hour(), t.Minute(), t.Second(), 0, now.Location()), true
		}
	}
	return now, false
}

// parseDate parses a date with or without a time of day. A date without a year refers to its next
// occurrence, which may be today.
func parseDate(s string, now time.Time) (_ time.Time, valid bool) {
	for _, form := range []string{"2006-01-02t15:04:05", "2006-01-02t15:04", "2006-01-02", "01/02/06", "010206", "01/02/06-15:04", "01/02/06-15:04:05"} {
		if t, err := time.ParseInLocation(form, s, now.Location()); err == nil {
			return t, true
		}
	}
	for _, form := range []string{"01/02", "0102"} {
		if t, err := time.ParseInLocation(form, s, now.Location()); err == nil {
			date := time.Date(now.Year(), t.Month(), t.Day(), 0, 0, 0, 0, now.Location())
			if date.Before(midnight(now)) {
				date = date.AddDate(1, 0, 0)
			}
			return date, true
		}
	}
	return now, false
}

// ParsePastTime parses the start or end of a report's period. It accepts the same formats as
// ParseTime. A result after now is moved back by one day if v contains neither "-" nor "/", so that
// a time of day refers to its last occurrence.
func ParsePastTime(v string, now time.Time) (time.Time, error) {
	t, err := ParseTime(v, now)
	if err == nil && t.After(now) && !strings.ContainsAny(v, "-/") {
		t = t.AddDate(0, 0, -1)
	}
	return t, err
}

// nextOccurrence returns t, or the same time of the next day if t is before now.
func nextOccurrence(t, now time.Time) time.Time {
	if t.Before(now) {
		return t.AddDate(0, 0, 1)
	}
	return t
}
