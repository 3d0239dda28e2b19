package statestore

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// Pacing bounds how often a watch gets responses while changes come fast. Without it, each
// change that comes by itself is a request of every controller that watches. Changes that
// come during a pause are in one response.
type Pacing struct {
	// Burst is how many responses, after a time without any, are followed by no pause.
	Burst int
	// Pause returns the time in which one more response without a pause is earned, and so
	// the longest pause. It is called at each response.
	Pause func() time.Duration
}

type pacingKey struct{}

// WithPacing limits the rate of the watches that are opened with ctx. Others are opened
// again at once.
func WithPacing(ctx context.Context, pacing Pacing) context.Context {
	return context.WithValue(ctx, pacingKey{}, pacing)
}

// Pacer limits the rate of one watch. It is not safe for concurrent use.
type Pacer struct {
	pause     func() time.Duration // nil: no limit
	responses *rate.Limiter
}

// NewPacer returns a pacer for a watch that is opened with ctx.
func NewPacer(ctx context.Context) *Pacer {
	pacing, ok := ctx.Value(pacingKey{}).(Pacing)
	if !ok {
		return &Pacer{}
	}
	return &Pacer{pause: pacing.Pause, responses: rate.NewLimiter(rate.Every(pacing.Pause()), pacing.Burst)}
}

// Wait is called after each response. It returns when the watch may be opened again, or
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
