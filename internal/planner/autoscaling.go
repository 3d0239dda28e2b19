package planner

// AdmittedWork returns the work accepted since this process started, in CPU-seconds. It locks
// the state's Mu.
func (p *Planner) AdmittedWork() float64 {
	p.state.Mu.Lock()
	defer p.state.Mu.Unlock()
	return p.state.AdmittedWork
}

// SetCordoned cordons exactly the named workers and uncordons all others. A cordoned worker
// takes no new work, so that it becomes idle and can be scaled in. It locks the state's Mu.
func (p *Planner) SetCordoned(names map[string]bool) {
	p.state.Mu.Lock()
	defer p.state.Mu.Unlock()
	for name, worker := range p.state.Workers {
		worker.Cordoned = names[name]
	}
}

// LeadsAutoscaling reports whether this controller leads the autoscaler: it leads the first
// shard and its lease has not expired. It locks the state's Mu.
func (p *Planner) LeadsAutoscaling() bool {
	p.state.Mu.Lock()
	defer p.state.Mu.Unlock()
	_, leadsFirst := p.state.Loaded[0]
	return leadsFirst && p.state.Membership.LeaseRemaining() > 0
}
