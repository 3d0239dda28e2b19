package controller

import (
	"context"
	"log/slog"
	"maps"
	"time"

	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/peerlinks"
	"github.com/wallrack/wallrack/internal/planner"
	"github.com/wallrack/wallrack/internal/scheduler"
)

// peerQueryTimeout bounds each query of the autoscaler, or of an operator, to another leader.
const peerQueryTimeout = 500 * time.Millisecond

type demandQuery struct {
	BootS float64 `json:"boot"`
}

// demandReply is a leader's input to autoscaling.
type demandReply struct {
	Demand        []planner.Demand     `json:"demand"`
	Loads         []planner.WorkerLoad `json:"loads"`
	FailedWorkers map[string]string    `json:"suspects"` // reason by worker name
	AdmittedWork  float64              `json:"admitted"`
}

// localDemand reports the demand of the shards that this controller leads.
type localDemand struct {
	scheduler    *scheduler.Scheduler
	unresponsive *unresponsiveWorkers
}

func (d *localDemand) register(m *mesh.Mesh) {
	mesh.Handle(m, methodDemand, func(_ context.Context, q *demandQuery) (*demandReply, error) {
		return d.collect(q.BootS), nil //nolint:contextcheck // the probes of unresponsive workers that it starts outlive the query
	})
}

func (d *localDemand) collect(bootS float64) *demandReply {
	demand, loads := d.scheduler.Demand(bootS)
	return &demandReply{Demand: demand, Loads: loads, FailedWorkers: d.unresponsive.failedWorkers(), AdmittedWork: d.scheduler.AdmittedWork()}
}

// clusterDemand combines this process's scheduler with the leaders elsewhere, as the
// autoscaler's view of the cluster. It implements autoscaler.Scheduler. Demand, FailedWorkers
// and AdmittedWork must be called by the same goroutine.
type clusterDemand struct {
	scheduler    *scheduler.Scheduler
	local        *localDemand
	unresponsive *unresponsiveWorkers
	leaders      *peerlinks.Leaders
	peers        *peerlinks.Caller
	removed      *removedWorkers
	lifetime     lifetime
	log          *slog.Logger

	remoteReplies []*demandReply // of the other leaders, as of the last Demand
}

// Ready reports whether this controller leads autoscaling.
func (c *clusterDemand) Ready() bool { return c.scheduler.LeadsAutoscaling() }

// Demand returns the pending work of all leaders and the loads of the workers. bootS is the
// boot time of a machine in seconds. A leader that does not respond in time is left out.
func (c *clusterDemand) Demand(bootS float64) ([]planner.Demand, []planner.WorkerLoad) {
	sum := c.local.collect(bootS)
	c.remoteReplies = c.remoteReplies[:0]
	index := map[string]int{}
	for i, load := range sum.Loads {
		index[load.Name] = i
	}
	for _, peer := range c.leaders.ShardLeaders() {
		reply, err := c.queryPeer(peer, bootS)
		if err != nil {
			c.log.Debug("demand query failed", "peer", peer, "err", err)
			continue
		}
		c.remoteReplies = append(c.remoteReplies, reply)
		sum.Demand = append(sum.Demand, reply.Demand...)
		addLoads(sum.Loads, index, reply.Loads)
	}
	return sum.Demand, sum.Loads
}

func (c *clusterDemand) queryPeer(peer string, bootS float64) (*demandReply, error) {
	ctx, cancel := context.WithTimeout(c.lifetime.ctx, peerQueryTimeout)
	defer cancel()
	return peerlinks.Call[demandQuery, demandReply](ctx, c.peers, peer, methodDemand, &demandQuery{BootS: bootS})
}

// addLoads adds another leader's loads to the workers that this controller knows.
func addLoads(loads []planner.WorkerLoad, index map[string]int, others []planner.WorkerLoad) {
	for _, other := range others {
		i, known := index[other.Name]
		if !known {
			continue
		}
		loads[i].Placements += other.Placements
		loads[i].Used = loads[i].Used.Add(other.Used, 1)
		loads[i].Faulty = loads[i].Faulty || other.Faulty
	}
}

// SetCordoned cordons the named workers in the local scheduler. Leaders elsewhere don't learn
// of it and may still place tasks on them, so that draining takes longer.
func (c *clusterDemand) SetCordoned(names map[string]bool) { c.scheduler.SetCordoned(names) }

// FailedWorkers returns the failed workers that may run tasks of any leader, with the reasons.
func (c *clusterDemand) FailedWorkers() map[string]string {
	failed := c.unresponsive.failedWorkers()
	for _, reply := range c.remoteReplies {
		maps.Copy(failed, reply.FailedWorkers)
	}
	return failed
}

// AdmittedWork returns the sum of the work that all leaders have accepted, in CPU-seconds.
func (c *clusterDemand) AdmittedWork() float64 {
	sum := c.scheduler.AdmittedWork()
	for _, reply := range c.remoteReplies {
		sum += reply.AdmittedWork
	}
	return sum
}

// WorkerDeleted records that a worker's machine was deleted, and notifies all controllers.
func (c *clusterDemand) WorkerDeleted(name string) {
	c.scheduler.WorkerDeleted(name)
	c.removed.add(name)
}
