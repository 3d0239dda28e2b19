package scheduler

import "context"

// WriteOnce records what waits to be recorded, or repeats the write whose outcome is open.
func (o *Scheduler) WriteOnce(ctx context.Context) error {
	_, err := o.writeOnce(ctx)
	return err
}
