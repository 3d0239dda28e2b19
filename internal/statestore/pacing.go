package statestore

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// Pacing limits how often a watch gets responses while changes are frequent. Without it, each
// single change costs a request of every controller that watches. Changes made during a pause
// are in one response.
type Pacing struct {
	// Burst is the number of responses without a pause after them that a watch may receive
	// after a time without responses.
	Burst int
	// Pause returns the time between responses once Burst is used up. No pause is longer. Each
	// such time without a response allows one more response without a pause, up to Burst. Pause
	// is called for each response.
	Pause func() time.Duration
}

type pacingKey struct{}

// WithPacing limits the rate of the watches that are started with ctx. Other watches send
// their next request at once.
func WithPacing(ctx context.Context, pacing Pacing) context.Context {
	return context.WithValue(ctx, pacingKey{}, pacing)
}

// Pacer limits the rate of one watch. It is not safe for concurrent use.
type Pacer struct {
	pause     func() time.Duration // nil: no limit
	responses *rate.Limiter
}

// NewPacer returns a pacer for a watch that is started with ctx.
func NewPacer(ctx context.Context) *Pacer {
	pacing, ok := ctx.Value(pacingKey{}).(Pacing)
	if !ok {
		return &Pacer{}
	}
	return &Pacer{pause: pacing.Pause, responses: rate.NewLimiter(rate.Every(pacing.Pause()), pacing.Burst)}
}

// Wait is called after each response. It returns when the watch may send its next request, or
// when ctx ends.
func (p *Pacer) Wait(ctx context.Context) {
	if p.pause == nil {
		return
	}
	p.responses.SetLimit(rate.Every(p.pause()))
	pause := p.responses.Reserve().Delay()
	if pause == 0 {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
