package owner

// ArrivalRate is how many CPUs the arriving work of a class keeps busy.
func (o *Owner) ArrivalRate(class string) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if a := o.arriving[class]; a != nil {
		return a.rate
	}
	return 0
}
