package periodic_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/periodic"
)

// A duty runs once an interval from the first interval on; what is missed while it takes
// longer is left out; and nothing runs after the end of its context.
func TestRunSkipsMissedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		began := time.Now()
		var calls []time.Duration
		err := periodic.Run(ctx, time.Second, func() {
			calls = append(calls, time.Since(began))
			switch len(calls) {
			case 2:
				time.Sleep(3500 * time.Millisecond) // missed: at 3, 4 and 5 s
			case 5:
				cancel()
			}
		})
		if !errors.Is(err, context.Canceled) {
			t.Errorf("ended with %v", err)
		}
		want := []time.Duration{time.Second, 2 * time.Second, 5500 * time.Millisecond, 6 * time.Second, 7 * time.Second}
		if !slices.Equal(calls, want) {
			t.Errorf("called at %v, not %v", calls, want)
		}
	})
}
