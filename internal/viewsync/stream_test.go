package viewsync

import (
	"slices"
	"testing"

	"github.com/goccy/go-json"
	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

// drawIndex draws one of n messages or replies in flight.
func drawIndex(t *rapid.T, n int) int {
	if n == 0 {
		t.Skip("nothing is in flight")
	}
	return rapid.IntRange(0, n-1).Draw(t, "which")
}

// removeOrDuplicate removes a delivered message or, at random, keeps it in flight as a duplicate.
func removeOrDuplicate[T any](t *rapid.T, underWay []T, i int) []T {
	if rapid.IntRange(0, 2).Draw(t, "copy") > 0 {
		return slices.Delete(underWay, i, i+1)
	}
	return underWay
}

func (w *model) change(t *rapid.T) {
	name := workerNames.Draw(t, "worker")
	old := dispatch.WorkerView{Type: "m", Session: 1}
	if n, ok := w.current[name]; ok {
		old = w.asOf(n, w.nowMs)
	}
	w.recordVersion(name, drawNextView(t, old), true)
}

func (w *model) remove(t *rapid.T) {
	name := workerNames.Draw(t, "worker")
	if n, ok := w.current[name]; ok {
		w.recordVersion(name, w.versions[n].view, false)
	}
}

func (w *model) deliverMessage(t *rapid.T) {
	i := drawIndex(t, len(w.messages))
	w.handleMessage(i)
	w.messages = removeOrDuplicate(t, w.messages, i)
}

func (w *model) deliverReply(t *rapid.T) {
	i := drawIndex(t, len(w.replies))
	w.handleReply(i)
	w.replies = removeOrDuplicate(t, w.replies, i)
}

func (w *model) loseMessage(t *rapid.T) {
	i := drawIndex(t, len(w.messages))
	w.messages = slices.Delete(w.messages, i, i+1)
}

// roundTrip sends a message and delivers it and its reply.
func (w *model) roundTrip(*rapid.T) {
	w.send()
	if len(w.messages) > 0 {
		w.handleMessage(len(w.messages) - 1)
		w.handleReply(len(w.replies) - 1)
	}
}

func (w *model) restartDispatcher(*rapid.T) {
	w.encoder, w.startMs = NewEncoder("h"), w.nowMs
	clear(w.changed)
}

func (w *model) restartLeader(*rapid.T) {
	w.decoder = NewDecoder()
	clear(w.acked)
}

var workerNames = rapid.SampledFrom([]string{"n-1", "n-2", "n-3"})

// Messages are lost, duplicated and reordered, and either end restarts. The leader's replica of
// each worker's view always equals the dispatcher's view at some time, no earlier than the last
// one acknowledged. Once messages are delivered again, it equals the dispatcher's present view.
func TestReplicaConsistentDuringMessageLossAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &model{
			t: t, versions: make([]version, 1), current: map[string]int{}, changed: map[string]bool{}, acked: map[string]int{}, removed: map[string][]int{},
			encoder: NewEncoder("h"), decoder: NewDecoder(),
		}
		send := func(*rapid.T) { w.send() }
		t.Repeat(map[string]func(*rapid.T){
			"change": w.change, "change again": w.change,
			"send": send, "send again": send,
			"arrive": w.deliverMessage, "arrive again": w.deliverMessage,
			"answer": w.deliverReply, "answer again": w.deliverReply,
			"answered":            w.roundTrip,
			"remove":              w.remove,
			"time":                func(t *rapid.T) { w.nowMs += rapid.Int64Range(1, 7000).Draw(t, "ms") },
			"lose":                w.loseMessage,
			"dispatcher restarts": w.restartDispatcher,
			"leader restarts":     w.restartLeader,
			"":                    func(*rapid.T) { w.check() },
		})
		w.syncUntilIdle()
	})
}

// singleWorkerSource is a dispatcher with one worker.
type singleWorkerSource struct{ view dispatch.WorkerView }

func (singleWorkerSource) HasWorkers() bool                                { return true }
func (o singleWorkerSource) WorkerViews() []dispatch.WorkerView            { return []dispatch.WorkerView{o.view} }
func (singleWorkerSource) ChangedViews() ([]dispatch.WorkerView, []string) { return nil, nil }

// FuzzMalformedMessage checks that a refused message does not modify the replica.
func FuzzMalformedMessage(f *testing.F) {
	known := func() (*Encoder, *Decoder) {
		e, d := NewEncoder("h"), NewDecoder()
		e.stream, d.stream = 5, 3
		v := dispatch.WorkerView{
			Name: "n-1", Type: "m", Session: 1, Seq: 4, Token: 2, Tasks: []dispatch.TaskView{{Task: wire.Task{Task: "j/0", Attempt: 1, State: wire.TaskRunning}}},
			Matrix: matching.WaitMatrix{{Free: matching.Resources{CPUs: 1}}, {WaitS: 3, Free: matching.Resources{CPUs: 2}}},
		}
		e.replaces = d.stream
		_, r, err := d.Apply(e.Next(0, singleWorkerSource{v}))
		if err != nil {
			f.Fatal(err)
		}
		e.HandleReply(0, r)
		return e, d
	}
	e, d := known()
	v := d.states["n-1"].view
	v.Seq, v.Tasks, v.Matrix = 5, nil, matching.WaitMatrix{{Free: matching.Resources{CPUs: 2}}}
	e.Update(100, []dispatch.WorkerView{v}, nil)
	for _, m := range []*Message{e.Next(200, nil), {Stream: d.stream, Seq: d.seq, Workers: 1}} {
		data, err := json.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`{"s":5,"f":{"q":2,"t":1,"c":[{"n":"n-2"}]}}`))
	f.Add([]byte(`{"s":5,"f":{"q":2,"t":1,"c":[{"n":"n-1","s":9},{"n":"n-1"}]}}`))
	f.Add([]byte(`{"s":5,"f":{"q":2,"t":1,"c":[{"n":"n-1","s":9,"w":[1]}]}}`))
	f.Add([]byte(`{"s":5,"f":{"q":2,"t":1,"c":[{"n":"n-1","s":9,"x":[{"t":"j/9","a":1}]}]}}`))
	f.Add([]byte(`{"s":5,"f":{"q":2,"t":1,"c":[{"n":"n-1","s":9,"w":[3,1]}]}}`))
	f.Add([]byte(`{"s":5,"f":{"q":2,"t":1,"c":[{"n":"n-1","m":[0,1,0,1,2]}]}}`))
	f.Add([]byte(`{"s":5,"f":{"q":7,"t":1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var m Message
		if json.Unmarshal(data, &m) != nil {
			return
		}
		_, d := known()
		before, err := json.Marshal(d.states["n-1"].view)
		if err != nil {
			t.Fatal(err)
		}
		changed, reply, err := d.Apply(&m)
		if err == nil && !reply.Refused {
			return
		}
		after, _ := json.Marshal(d.states["n-1"].view)
		if len(changed) > 0 || len(d.states) != 1 || d.seq != 1 || d.stream != 5 || string(before) != string(after) {
			t.Fatalf("refused (%v), but the replica changed: %d/%d %s, before %s", err, d.stream, d.seq, after, before)
		}
		if err != nil && !reply.Refused {
			t.Fatalf("the reply does not say that the message was refused: %v", err)
		}
	})
}

// A worker that is added and removed while a frame is in flight is not sent, and both ends agree
// in the following heartbeats.
func TestWorkerRemovedBeforeItWasSent(t *testing.T) {
	e, d := NewEncoder("h"), NewDecoder()
	e.replaces = d.stream
	m := e.Next(0, singleWorkerSource{dispatch.WorkerView{Name: "n-1", Type: "m"}})
	e.Update(1, []dispatch.WorkerView{{Name: "n-2", Type: "m"}}, nil)
	e.Update(2, nil, []string{"n-2"})
	for at := int64(3); m != nil; at += heartbeatMs {
		_, r, err := d.Apply(m)
		if err != nil || r.Refused {
			t.Fatalf("refused: %+v, %v", m, err)
		}
		e.HandleReply(at, r)
		if m = e.Next(at, singleWorkerSource{}); m != nil && m.Frame != nil {
			t.Fatalf("a frame without changes was sent: %+v", m.Frame)
		}
	}
	if len(d.states) != 1 {
		t.Fatalf("%d workers are known", len(d.states))
	}
}
