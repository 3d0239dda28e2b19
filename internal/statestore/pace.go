package statestore

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// Pacing bounds how often a watch is answered while changes come fast. Without it, each
// change that comes by itself is a request of every controller that watches. Changes that
// come during a pause are gathered in one answer.
type Pacing struct {
	// Burst is how many answers, after a quiet time, are followed by no pause.
	Burst int
	// Pause returns the time in which one more answer without a pause is earned, and so
	// the longest pause. It is asked at each answer.
	Pause func() time.Duration
}

type pacingKey struct{}

// WithPacing gives the watches that are opened with ctx a pace. Others are opened again at once.
func WithPacing(ctx context.Context, p Pacing) context.Context {
	return context.WithValue(ctx, pacingKey{}, p)
}

// Pacer keeps one watch to its pace.
type Pacer struct {
	pause   func() time.Duration // nil: no pace
	answers *rate.Limiter
}

// NewPacer returns a pacer for a watch that is opened with ctx.
func NewPacer(ctx context.Context) *Pacer {
	pace, ok := ctx.Value(pacingKey{}).(Pacing)
	if !ok {
		return &Pacer{}
	}
	return &Pacer{pause: pace.Pause, answers: rate.NewLimiter(rate.Every(pace.Pause()), pace.Burst)}
}

// Wait is called after each answer. It returns when the watch may be opened again, or when
// ctx ends.
func (p *Pacer) Wait(ctx context.Context) {
	if p.pause == nil {
		return
	}
	p.answers.SetLimit(rate.Every(p.pause()))
	pause := p.answers.Reserve().Delay()
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
