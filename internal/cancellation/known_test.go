package cancellation_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/cancellation"
)

// A fixed seed makes the generated inputs reproducible.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "20000"} { // the checks take some seconds
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const limit = 40 * time.Second

// process is a controller process.
type process struct {
	*cancellation.Registry
	leaseHeld bool // its lease is valid
}

// inFlightMessage is a message that was sent and may be delivered.
type inFlightMessage struct {
	from, to int
	message  cancellation.Message
	response bool
}

// storeRead is a read of the state service whose response has not arrived.
type storeRead struct {
	by   *process
	sent time.Time
	uids []string
}

// cluster simulates controllers whose messages may be late, reordered, duplicated or lost.
type cluster struct {
	processes []*process
	recorded  []string             // cancels recorded in the state service
	confirmed map[string]time.Time // time at which a cancel was first confirmed by any controller
	inFlight  []inFlightMessage
	reads     []storeRead
	next      int // number of the next job
}

func newCluster(controllers int) *cluster {
	c := &cluster{processes: make([]*process, controllers), confirmed: map[string]time.Time{}}
	for i := range c.processes {
		c.start(i)
	}
	return c
}

func controllerName(i int) string { return string(rune('a' + i)) }

// start starts a controller process, replacing the previous one.
func (c *cluster) start(i int) {
	p := &process{}
	var peers []string
	for j := range c.processes {
		if j != i {
			peers = append(peers, controllerName(j))
		}
	}
	p.Registry = cancellation.New(cancellation.Options{Peers: peers, Limit: limit, LeaseRemaining: func() time.Duration {
		if p.leaseHeld {
			return time.Second
		}
		return 0
	}})
	c.processes[i] = p
}

func (c *cluster) send(from, to int, response bool) {
	c.inFlight = append(c.inFlight, inFlightMessage{from, to, c.processes[from].MessageFor(controllerName(to)), response})
}

// deliver delivers the k-th message in flight. With keep, it remains in flight as a duplicate.
func (c *cluster) deliver(k int, keep bool) {
	m := c.inFlight[k]
	if !keep {
		c.inFlight = append(c.inFlight[:k], c.inFlight[k+1:]...)
	}
	if err := c.processes[m.to].HandleMessage(controllerName(m.from), &m.message); err != nil {
		panic(err)
	}
	if !m.response {
		c.send(m.to, m.from, true)
	}
}

// deliverLast delivers the newest message and the response to it.
func (c *cluster) deliverLast() {
	c.deliver(len(c.inFlight)-1, false)
	c.deliver(len(c.inFlight)-1, false)
}

// check checks the guarantee of the package: a controller knows all cancels confirmed before its
// KnownUntil.
func (c *cluster) check(fail func(string, ...any)) {
	for i, p := range c.processes {
		known := p.KnownUntil()
		for uid, at := range c.confirmed {
			if at.Before(known) && !p.IsCancelled(uid) {
				fail("%s claims to know all that was confirmed until %v ago, and does not know of %s, confirmed %v ago",
					controllerName(i), time.Since(known), uid, time.Since(at))
			}
		}
	}
}

// clusterStep is a message, fault, read or cancel.
type clusterStep struct {
	Kind, Controller, Peer, Message, Ms int
	Again                               bool
}

func drawClusterStep(rt *rapid.T) clusterStep {
	return clusterStep{
		rapid.SampledFrom([]int{0, 1, 3, 3, 4, 4, 5, 6, 7, 9, 10, 11, 12}).Draw(rt, "what"),
		rapid.IntRange(0, 3).Draw(rt, "who"), rapid.IntRange(0, 2).Draw(rt, "other"),
		rapid.IntRange(0, 30).Draw(rt, "letter"), rapid.IntRange(1, 4000).Draw(rt, "ms"), rapid.Bool().Draw(rt, "again"),
	}
}

func (c *cluster) apply(step clusterStep) {
	controllers := len(c.processes)
	i := step.Controller % controllers
	other := (i + 1 + step.Peer%(controllers-1)) % controllers
	switch step.Kind {
	case 0, 1, 2: // a ping and its response
		c.send(i, other, false)
		c.deliverLast()
	case 3: // a ping that stays in flight
		c.send(i, other, false)
	case 4:
		if len(c.inFlight) > 0 {
			c.deliver(step.Message%len(c.inFlight), step.Again)
		}
	case 5:
		c.processes[i].leaseHeld = !c.processes[i].leaseHeld
	case 6, 7, 8:
		c.cancel(c.processes[i])
	case 9:
		if step.Message%3 == 0 {
			c.start(i)
		}
	case 10:
		c.read(c.processes[i], step)
	default:
		time.Sleep(time.Duration(step.Ms) * time.Millisecond)
	}
}

// cancel records a cancel in the state service and confirms it if possible.
func (c *cluster) cancel(by *process) {
	uid := fmt.Sprintf("j-%06d", c.next)
	c.next++
	c.recorded = append(c.recorded, uid)
	if by.Confirm(uid) == nil {
		c.confirmed[uid] = time.Now()
	}
}

// read sends a read of the state service. If step.Again is set, the response to one of the reads
// arrives.
func (c *cluster) read(by *process, step clusterStep) {
	c.reads = append(c.reads, storeRead{by, time.Now(), slices.Clone(c.recorded)})
	if k := step.Message % len(c.reads); step.Again {
		r := c.reads[k]
		c.reads = slices.Delete(c.reads, k, k+1)
		r.by.RecordStoreRead(r.sent, r.uids)
	}
}

// Messages are lost, delayed, reordered and duplicated, leases expire and are regained, processes
// restart, the state service is read, and jobs are cancelled. No controller's KnownUntil is ever
// later than the confirmation of a cancel that the controller does not know.
func TestKnownUntilUnderMessageFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		controllers := rapid.IntRange(2, 4).Draw(rt, "controllers")
		steps := rapid.SliceOfN(rapid.Custom(drawClusterStep), 10, 150).Draw(rt, "steps")
		wrong := ""
		fail := func(format string, args ...any) {
			if wrong == "" {
				wrong = fmt.Sprintf(format, args...)
			}
		}
		synctest.Test(t, func(*testing.T) {
			c := newCluster(controllers)
			for _, p := range c.processes {
				p.leaseHeld = true
				p.RecordStoreRead(time.Now(), c.recorded)
			}
			for _, step := range steps {
				c.apply(step)
				c.check(fail)
			}
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

// A process announces that it confirms no cancels, but the message is delayed, and its successor
// confirms one. The late message must not count for the successor.
func TestLateMessageOfEarlierIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		c.processes[0].leaseHeld = true
		ping := func() {
			time.Sleep(100 * time.Millisecond)
			c.send(0, 1, false)
			c.deliverLast()
			c.processes[0].RecordStoreRead(time.Now(), c.recorded)
		}
		ping()
		ping()
		c.send(1, 0, true) // delayed
		c.start(1)
		c.processes[1].leaseHeld = true
		for range 4 {
			ping()
		}
		if err := c.processes[1].Confirm("j-000001"); err != nil {
			t.Fatal(err)
		}
		c.confirmed["j-000001"] = time.Now()
		time.Sleep(100 * time.Millisecond)
		c.deliver(0, false)
		c.check(t.Errorf)
	})
}

// While all controllers reach each other, KnownUntil is at most two rounds old. A process that
// restarts within seconds while no controller can confirm cancels does not affect the others. So
// in an outage of the state service workers can be answered all the time.
func TestKnownUntilStaysRecentDuringStateStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(5)
		time.Sleep(time.Millisecond)
		for i := range c.processes {
			c.processes[i].leaseHeld = true
			c.processes[i].RecordStoreRead(time.Now(), nil)
		}
		round := func() {
			for i := range c.processes {
				for j := range i {
					c.send(i, j, false)
					c.deliver(0, false)
					c.deliver(0, false)
				}
			}
			time.Sleep(time.Second)
		}
		for sec := range 200 {
			round()
			for _, p := range c.processes {
				if p.leaseHeld && p.NeedsStoreRead(3*time.Second) {
					p.RecordStoreRead(time.Now(), nil)
				}
			}
			switch {
			case sec == 10: // the outage begins
				for _, p := range c.processes {
					p.leaseHeld = false
				}
			case sec == 30:
				c.start(3)
			case sec > 3:
				for i, p := range c.processes {
					if old := time.Since(p.KnownUntil()); old > 2100*time.Millisecond && (i != 3 || sec < 30) {
						t.Fatalf("after %d s %s knows all cancels only up to %v ago", sec, controllerName(i), old)
					}
				}
			}
			if err := c.processes[0].Confirm(fmt.Sprintf("j-%06d", sec)); (err == nil) != (sec >= 1 && sec < 10) {
				t.Fatalf("after %d s a cancel is confirmed: %v", sec, err)
			}
		}
	})
}

// With more updates than fit into a message, KnownUntil does not advance before all of them have
// arrived.
func TestKnownUntilWaitsForAllUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		for _, p := range c.processes {
			p.leaseHeld = true
		}
		ping := func() {
			time.Sleep(time.Second)
			c.send(1, 0, false)
			c.deliver(0, false)
			c.deliver(0, false)
		}
		for range 3 {
			ping()
			for _, p := range c.processes {
				p.RecordStoreRead(time.Now(), nil)
			}
		}
		for i := range 5000 {
			uid := fmt.Sprintf("j-%06d", i)
			if err := c.processes[0].Confirm(uid); err != nil {
				t.Fatal(err)
			}
			c.confirmed[uid] = time.Now()
		}
		for range 4 {
			ping()
			c.check(t.Errorf)
		}
		if !c.processes[1].IsCancelled("j-004999") || time.Since(c.processes[1].KnownUntil()) > time.Second {
			t.Errorf("KnownUntil is %v ago", time.Since(c.processes[1].KnownUntil()))
		}
	})
}

// A registry's size stays bounded under many cancels in a short time, and messages from unknown
// controllers or with invalid job IDs have no effect.
func TestCancelStormAndInvalidMessagesStayBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := cancellation.New(cancellation.Options{Peers: []string{"b"}, Limit: limit, LeaseRemaining: func() time.Duration { return time.Second }})
		r.RecordStoreRead(time.Now(), nil)
		r.MessageFor("b")
		time.Sleep(11 * time.Second)
		refused := 0
		for i := range 3 * cancellation.MaxJobs {
			if r.Confirm(fmt.Sprintf("j-%06d", i)) != nil {
				refused++
			}
		}
		if refused < cancellation.MaxJobs/2 {
			t.Errorf("%d cancels refused", refused)
		}
		m := r.MessageFor("b")
		if !m.More || len(m.Updates) > 4000 {
			t.Errorf("%d updates in a message, more: %v", len(m.Updates), m.More)
		}
		for _, bad := range []struct {
			from string
			m    cancellation.Message
		}{
			{"x", cancellation.Message{Incarnation: 1, Stamp: 1, Updates: []string{"j-7000000"}}},
			{"b", cancellation.Message{Stamp: 1, Updates: []string{"j-7000000"}}},
			{"b", cancellation.Message{Incarnation: 1, Stamp: -1, Updates: []string{"j-7000000"}}},
			{"b", cancellation.Message{Incarnation: 1, Stamp: 1 << 62, Updates: []string{"j-7000000"}}},
			{"b", cancellation.Message{Incarnation: 1, Stamp: 1, Echo: 1 << 60, Updates: []string{"j-7000000"}}},
			{"b", cancellation.Message{Incarnation: 1, Stamp: 1, Updates: []string{"j-7000000", "j-1/0"}}},
			{"b", cancellation.Message{Incarnation: 1, Stamp: 1, Updates: []string{""}}},
			{"b", cancellation.Message{Incarnation: 1, Stamp: 1, Updates: slices.Repeat([]string{"j-7000000"}, 3000)}},
		} {
			if err := r.HandleMessage(bad.from, &bad.m); err == nil {
				t.Errorf("accepted: %.200v", bad)
			}
		}
		for _, uid := range []string{"j-7000000", "", "j-", "../x", "j-1/0"} {
			if r.IsCancelled(uid) {
				t.Errorf("%q counts as cancelled", uid)
			}
		}
		time.Sleep(15 * time.Minute)
		if err := r.Confirm("j-900000"); err != nil || r.IsCancelled("j-000001") {
			t.Errorf("after 15 minutes: %v, an old cancel is still known: %v", err, r.IsCancelled("j-000001"))
		}
	})
}
