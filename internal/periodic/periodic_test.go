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

// The function is called once per interval, ticks missed during a long call are skipped, and no call
// is made after the context ends.
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
			t.Errorf("returned %v", err)
		}
		want := []time.Duration{time.Second, 2 * time.Second, 5500 * time.Millisecond, 6 * time.Second, 7 * time.Second}
		if !slices.Equal(calls, want) {
			t.Errorf("called at %v, want %v", calls, want)
		}
	})
}
