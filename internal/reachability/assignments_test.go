package reachability

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Workers are distributed according to the shares. When one share grows, workers move only to that
// controller.
func TestFewWorkersMoveWhenAShareGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const workers = 4000
		shares := rapid.SliceOfN(rapid.IntRange(0, 500), 2, 6).Draw(t, "shares")
		plan := make([]Assignment, 0, len(shares))
		total := 0.0
		for i, share := range shares {
			plan = append(plan, Assignment{fmt.Sprint("racker-", i), float64(share)})
			total += float64(share)
		}
		plan[0].Share, total = plan[0].Share+1, total+1
		grown := rapid.IntRange(0, len(plan)-1).Draw(t, "grows")
		next := append([]Assignment(nil), plan...)
		next[grown].Share += float64(rapid.IntRange(1, 500).Draw(t, "by"))
		count := map[string]int{}
		for i := range workers {
			name := fmt.Sprintf("n-%06d", i)
			before, after := assignedNode(name, plan), assignedNode(name, next)
			count[before]++
			if before != after && after != next[grown].Node {
				t.Fatalf("%s moves from %s to %s, when the share of %s grows", name, before, after, next[grown].Node)
			}
		}
		for _, s := range plan {
			share := s.Share / total
			sigma := math.Sqrt(workers * share * (1 - share))
			if got := float64(count[s.Node]); math.Abs(got-share*workers) > 5*sigma+1 {
				t.Fatalf("%s has %v of %d workers, its share is %v", s.Node, got, workers, share)
			}
		}
	})
}

// While all workers fit the leader, none are assigned to others. Beyond that, as many as necessary
// are assigned at once. Workers that are counted twice while they move don't change the plan. The
// leader takes all workers back only after they have fit for a while.
func TestWorkersBeyondCapacityAreAssigned(t *testing.T) {
	const capacity, interval = 1700, 8 * time.Second
	now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	var planner AssignmentPlanner
	peer := func(count, capacity int) Peer {
		return Peer{Known: true, OutboundReachable: true, Status: NodeStatus{LeaseHeld: true, WorkerCount: count, WorkerCapacity: capacity}}
	}
	view := func(peers ...Peer) *View {
		v := &View{Self: NodeStatus{Node: "a", PreferredLeader: "a"}}
		for i, q := range peers {
			q.Name = string(rune('b' + i))
			q.Status.Node = q.Name
			v.Peers = append(v.Peers, q)
		}
		return v
	}
	planAfter := func(after time.Duration, v *View, count int) []Assignment {
		now = now.Add(after)
		return planner.Plan(now, v, count, capacity, interval)
	}
	others := func(plan []Assignment) (sum float64) {
		for _, s := range plan[1:] {
			sum += s.Share
		}
		return sum
	}
	if plan := planAfter(0, view(peer(0, 0)), capacity); plan != nil {
		t.Errorf("all workers fit here, but the plan is %v", plan)
	}
	if plan := planAfter(time.Second, view(peer(0, 0)), capacity+1); len(plan) != 1 {
		t.Errorf("before peers have published their capacity the plan is %v", plan)
	}
	plan := planAfter(time.Second, view(peer(0, 1700), peer(0, 850), peer(0, 0)), capacity+300)
	if len(plan) != 3 || math.Abs(others(plan)-385) > 2 || math.Abs(plan[1].Share-2*plan[2].Share) > 2 {
		t.Errorf("385 of 2,000 workers should be assigned to peers, two thirds of them to b, but the plan is %v", plan)
	}
	for range 20 { // they move, and are counted twice for a while
		if again := planAfter(time.Second, view(peer(250, 1700), peer(120, 850), peer(0, 0)), capacity); others(again) != others(plan) {
			t.Fatalf("workers that are moving change the plan: %v", again)
		}
	}
	planAfter(time.Second, view(peer(250, 1700), peer(120, 850), peer(0, 0)), capacity-70)
	if again := planAfter(time.Hour, view(peer(400, 1700), peer(270, 850), peer(0, 0)), capacity); others(again) != others(plan) {
		t.Errorf("a single count changes the plan: %v", again)
	}
	if again := planAfter(planChangeIntervals*interval, view(peer(400, 1700), peer(270, 850), peer(0, 0)), capacity); others(again) < others(plan)+200 {
		t.Errorf("after 370 more workers for planChangeIntervals the plan is %v", again)
	}
	few := view(peer(100, 1700), peer(50, 850), peer(0, 0))
	if planAfter(time.Second, few, 1000) == nil {
		t.Error("the leader takes all workers back at once")
	}
	if planAfter(underloadedDuration-time.Second, few, 1000) == nil {
		t.Error("the leader takes all workers back before underloadedDuration")
	}
	if plan := planAfter(2*time.Second, few, 1000); plan != nil {
		t.Errorf("all workers have fit for underloadedDuration, but the plan is %v", plan)
	}
}

// All controllers send a worker to the same assigned controller, unless that one can't be
// reached. A controller that does not know the plan keeps the workers that report to it.
func TestLeaderForAssignedWorker(t *testing.T) {
	plan := []Assignment{{"a", 10}, {"b", 10}, {"c", 10}}
	assigned := map[string]string{}
	for i := range 60 {
		name := fmt.Sprintf("n-%06d", i)
		assigned[name] = assignedNode(name, plan)
	}
	view := func(self string, fresh ...string) *View {
		v := &View{Self: NodeStatus{Node: self, PreferredLeader: "a", LeaseHeld: true}}
		for _, name := range []string{"a", "b", "c"} {
			p := Peer{Name: name, Status: NodeStatus{Node: name, LeaseHeld: true, PreferredLeader: "a"}}
			for _, f := range fresh {
				p.Known = p.Known || f == name
			}
			if name == "a" {
				p.Status.Assignments = plan
			}
			if name == self {
				v.Self.Assignments = p.Status.Assignments
			} else {
				v.Peers = append(v.Peers, p)
			}
		}
		return v
	}
	for name, node := range assigned {
		for _, c := range []struct {
			view *View
			want string
		}{
			{view("a", "b", "c"), node},
			{view("b", "a", "c"), node},
			{view("c", "a", "b"), node},
			{view("a", "c"), map[bool]string{true: "a", false: node}[node == "b"]},
			{view("c", "a"), map[bool]string{true: "a", false: node}[node == "b"]},
			{view("b", "c"), "b"},
		} {
			if got := c.view.LeaderFor(name); got != c.want {
				t.Errorf("%s, assigned to %s, is sent to %s by %s, not to %s", name, node, got, c.view.Self.Node, c.want)
			}
		}
	}
}
