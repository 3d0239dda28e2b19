package owner

import "testing"

// What is stopped before an unrenewed lease ends is what loses less by it.
func TestStopBeforeExpiry(t *testing.T) {
	cannot := -1.0
	for _, c := range []struct {
		name string
		task attempt
		left float64
		want bool
	}{
		{"it saves, and there is time", attempt{elapsed: 5, rest: 60, save: 4}, 20, false},
		{"it saves, and there is just time", attempt{elapsed: 90, rest: 60, save: 4}, 4 + haltTakes, true},
		{"it saves, and the lease has ended", attempt{elapsed: 90, rest: 60, save: 4}, 0, false},
		{"it will be done in time", attempt{elapsed: 1, rest: 10, save: cannot}, 25, false},
		{"it will be done too shortly before the end to be read", attempt{elapsed: 1, rest: 24, save: cannot}, 25, true},
		{"it has run for less than the rest of the lease", attempt{elapsed: 20, rest: 60, save: cannot}, 25, true},
		{"it has run for longer than the rest of the lease", attempt{elapsed: 30, rest: 60, save: cannot}, 25, false},
		{"it has not begun to run", attempt{rest: 60, save: cannot}, 25, true},
		{"its start would count no more", attempt{elapsed: 20, rest: 60, save: cannot, counted: true}, 25, false},
		{"it saves, and its start would count no more", attempt{elapsed: 20, rest: 60, save: 4, counted: true}, 5, false},
	} {
		if got := stopBeforeExpiry(c.task, c.left); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
