package scheduler

import "context"

// WriteOnce records what waits to be recorded, or repeats the write whose outcome is open.
func (s *Scheduler) WriteOnce(ctx context.Context) error {
	_, err := s.writer.WriteOnce(ctx)
	return err
}
