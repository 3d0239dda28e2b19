package planner

// AdmittedWork returns the expected work of the jobs that this leader has accepted since its
// process started, in CPU-seconds. Services, and jobs that their constraints kept waiting when
// they were accepted, are left out. It locks the state's Mu.
func (p *Planner) AdmittedWork() float64 {
	p.state.Mu.Lock()
	defer p.state.Mu.Unlock()
	return p.state.AdmittedWork
}

// SetCordoned cordons the named workers and uncordons all others. So that a cordoned worker soon
// becomes idle and can be scaled in, it gets only tasks that are expected to end well before tasks
// that already run on it (see staysOccupied and Worker.EndsWhileOccupied). It locks the state's Mu.
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
