package rollout

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxProbes        = 32          // concurrent probes, of all roll-outs together
	replicaRetention = time.Minute // how long the state of a replica is retained after its last listing
)

// replicaHealth is the health of a replica according to its latest checks. passes, failures and
// timeouts count consecutive results.
type replicaHealth struct {
	listed    time.Time // time of the last listing that contained the replica
	probed    time.Time // start of the last probe, zero if there was none
	probing   bool
	passes    int
	failures  int
	timeouts  int
	healthy   bool
	unhealthy bool
	hung      bool
}

// record counts the result of a check and updates the replica's health if a threshold is reached.
// It ignores Unknown.
func (r *replicaHealth) record(health Health, check Check) {
	switch health {
	case Healthy:
		r.passes, r.failures, r.timeouts = r.passes+1, 0, 0
	case Unhealthy:
		r.passes, r.failures, r.timeouts = 0, r.failures+1, 0
	case Hung:
		r.passes, r.failures, r.timeouts = 0, 0, r.timeouts+1
	default:
		return
	}
	if r.passes >= check.HealthyThreshold {
		r.healthy, r.unhealthy, r.hung = true, false, false
	}
	if r.failures >= check.UnhealthyThreshold {
		r.healthy, r.unhealthy = false, true
	}
	if r.timeouts >= check.TimeoutThreshold {
		r.healthy, r.hung = false, true
	}
}

// healthChecker probes the replicas of active roll-outs and stores their health.
type healthChecker struct {
	prober   Prober
	inFlight chan struct{}
	probes   sync.WaitGroup

	mu       sync.Mutex
	replicas map[string]*replicaHealth
}

func newHealthChecker(p Prober) *healthChecker {
	return &healthChecker{prober: p, inFlight: make(chan struct{}, maxProbes), replicas: map[string]*replicaHealth{}}
}

// observe starts the checks that are due, unless maxProbes checks are in flight. It returns the
// health of a job's replicas according to the checks completed so far.
func (c *healthChecker) observe(ctx context.Context, now time.Time, replicas []Replica, check Check) (status JobStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, replica := range replicas {
		known := c.replicaLocked(replica)
		known.listed = now
		status.Running++
		switch {
		case known.unhealthy && status.UnhealthyTask == "":
			status.UnhealthyTask = replica.Task
		case known.hung && status.HungTask == "":
			status.HungTask = replica.Task
		case known.healthy:
			status.Healthy++
		}
		if !known.probing && now.Sub(known.probed) >= seconds(check.EveryS) {
			c.probeLocked(ctx, now, replica, known, check)
		}
	}
	return status
}

func (c *healthChecker) replicaLocked(replica Replica) *replicaHealth {
	key := replica.Task + " " + strconv.FormatUint(replica.Attempt, 10)
	known := c.replicas[key]
	if known == nil {
		known = &replicaHealth{}
		c.replicas[key] = known
	}
	return known
}

// probeLocked starts a check of a replica. If maxProbes checks are in flight it does nothing, and the
// next call to observe tries again.
func (c *healthChecker) probeLocked(ctx context.Context, now time.Time, replica Replica, known *replicaHealth, check Check) {
	select {
	case c.inFlight <- struct{}{}:
	default:
		return
	}
	known.probing, known.probed = true, now
	c.probes.Go(func() {
		health := c.prober.Probe(ctx, replica, check)
		<-c.inFlight
		c.mu.Lock()
		defer c.mu.Unlock()
		known.probing = false
		known.record(health, check)
	})
}

// removeStale removes the health of replicas that were not listed within replicaRetention and,
// unless prefix is empty, of all replicas whose task name begins with prefix. A resumed roll-out
// sets prefix so that its replicas are checked from scratch.
func (c *healthChecker) removeStale(now time.Time, prefix string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, known := range c.replicas {
		if now.Sub(known.listed) > replicaRetention || prefix != "" && strings.HasPrefix(key, prefix) {
			delete(c.replicas, key)
		}
	}
}
