package periodic_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/periodic"
)

func TestSleepEndsWithTheTimeOrTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		start := time.Now()
		if !periodic.Sleep(ctx, 2*time.Second) || time.Since(start) != 2*time.Second {
			t.Errorf("the first sleep ended after %v", time.Since(start))
		}
		if periodic.Sleep(ctx, 2*time.Second) || time.Since(start) != 3*time.Second {
			t.Errorf("the second sleep ended %v after the start", time.Since(start))
		}
	})
}
