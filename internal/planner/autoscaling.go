package planner

// AdmittedWork returns how much work, in CPU-seconds, was accepted since this process
// began. It takes the state's Mu.
func (p *Planner) AdmittedWork() float64 {
	p.state.Mu.Lock()
	defer p.state.Mu.Unlock()
	return p.state.AdmittedWork
}

// SetCordoned cordons the named workers, which take no new work so that they become idle
// and can be scaled in, and no others. It takes the state's Mu.
func (p *Planner) SetCordoned(names map[string]bool) {
	p.state.Mu.Lock()
	defer p.state.Mu.Unlock()
	for name, worker := range p.state.Workers {
		worker.Cordoned = names[name]
	}
}

// LeadsAutoscaling reports whether this controller leads the autoscaler: it leads the first
// shard and its lease holds. It takes the state's Mu.
func (p *Planner) LeadsAutoscaling() bool {
	p.state.Mu.Lock()
	defer p.state.Mu.Unlock()
	_, leadsFirst := p.state.Loaded[0]
	return leadsFirst && p.state.Membership.LeaseRemaining() > 0
}
