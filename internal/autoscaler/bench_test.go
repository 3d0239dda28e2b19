package autoscaler

import (
	"fmt"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/planner"
	"github.com/wallrack/wallrack/internal/wire"
)

// BenchmarkPlan measures a plan for services with each zone rule, on workers with room for none or for
// some of the replicas.
func BenchmarkPlan(b *testing.B) {
	const services, workers = 300, 4000
	for rule, job := range map[string]wire.Job{"no rule": {}, "spread": {Spread: true}, "one zone": {OneZone: true}} {
		job.Kind, job.Tasks = wire.KindService, 20
		for _, freeTasks := range []int{0, 1, 3} {
			b.Run(fmt.Sprintf("%s, room for %d", rule, freeTasks), func(b *testing.B) {
				a := newZonedAutoscaler()
				for i := range workers {
					a.addMachine(testZones[i%len(testZones)], true, freeTasks)
				}
				for b.Loop() {
					demand := make([]planner.Demand, 0, services)
					for range services {
						demand = append(demand, zonedDemand(&job, job.Tasks, nil)...)
					}
					a.plan(time.Now(), demand)
				}
			})
		}
	}
}
