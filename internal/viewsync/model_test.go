package viewsync

import (
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"

	"github.com/goccy/go-json"
	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

// version is the state of a worker as the dispatcher knows it from atMs on. The view's token is the
// number of the version.
type version struct {
	known bool
	atMs  int64
	view  dispatch.WorkerView
}

// model simulates a dispatcher, a leader, and the messages in flight between them.
type model struct {
	t        *rapid.T
	nowMs    int64
	versions []version        // of all workers, by number; the first is unused
	current  map[string]int   // version number of each worker that the dispatcher knows
	changed  map[string]bool  // workers changed since the last Encoder.Update
	startMs  int64            // start of the dispatcher's clock
	acked    map[string]int   // version numbers acknowledged by the present incarnation of the leader
	removed  map[string][]int // version numbers of removals, by worker
	messages [][]byte         // in flight, possibly duplicates
	replies  []Reply          // likewise
	encoder  *Encoder
	decoder  *Decoder
}

func (w *model) clock() int64 { return w.nowMs - w.startMs }

func (w *model) recordVersion(name string, v dispatch.WorkerView, known bool) {
	n := len(w.versions)
	v.Name, v.Token = name, uint64(n)
	w.versions = append(w.versions, version{known, w.nowMs, v})
	w.changed[name] = true
	if known {
		w.current[name] = n
		return
	}
	delete(w.current, name)
	w.removed[name] = append(w.removed[name], n)
}

func (w *model) HasWorkers() bool { return len(w.current) > 0 }

func (w *model) ChangedViews() ([]dispatch.WorkerView, []string) {
	panic("updateEncoder passes changes to the encoder")
}

// WorkerViews returns the views of all workers as of now.
func (w *model) WorkerViews() []dispatch.WorkerView {
	out := make([]dispatch.WorkerView, 0, len(w.current))
	for _, name := range slices.Sorted(maps.Keys(w.current)) {
		out = append(out, w.asOf(w.current[name], w.nowMs))
	}
	return out
}

func (w *model) asOf(n int, ms int64) dispatch.WorkerView {
	v := w.versions[n]
	return state{v.atMs, roundedView(v.view)}.advancedTo(ms).view
}

func (w *model) updateEncoder() {
	var changed []dispatch.WorkerView
	var removed []string
	for _, name := range slices.Sorted(maps.Keys(w.changed)) {
		if n, ok := w.current[name]; ok {
			changed = append(changed, w.asOf(n, w.nowMs))
		} else {
			removed = append(removed, name)
		}
	}
	clear(w.changed)
	w.encoder.Update(w.clock(), changed, removed)
}

func (w *model) send() {
	w.updateEncoder()
	m := w.encoder.Next(w.clock(), w)
	if m == nil {
		return
	}
	data, err := json.Marshal(m)
	if err != nil {
		w.t.Fatal(err)
	}
	w.messages = append(w.messages, data)
}

func (w *model) handleMessage(i int) {
	var m Message
	if err := json.Unmarshal(w.messages[i], &m); err != nil {
		w.t.Fatal(err)
	}
	_, reply, err := w.decoder.Apply(&m)
	if err != nil {
		w.t.Fatalf("refused: %v", err)
	}
	w.replies = append(w.replies, reply)
}

func (w *model) handleReply(i int) {
	stream := w.encoder.stream
	w.encoder.HandleReply(w.clock(), w.replies[i])
	if e := w.encoder; e.stream != stream || !e.started || e.unacked != nil || w.replies[i].Stream != e.stream || w.replies[i].Seq < e.seq || w.decoder.stream != e.stream {
		return
	}
	for name, s := range w.encoder.sent {
		w.acked[name] = max(w.acked[name], int(s.view.Token))
	}
}

// check compares the leader's replica with the dispatcher's versions.
func (w *model) check() {
	for name, s := range w.decoder.states {
		n := int(s.view.Token)
		if n >= len(w.versions) || !w.versions[n].known || w.versions[n].view.Name != name {
			w.t.Fatalf("%s: the dispatcher never had this view: %+v", name, s.view)
		}
		if n < w.acked[name] {
			w.t.Fatalf("%s: version %d, but %d was acknowledged", name, n, w.acked[name])
		}
		want, got := w.versions[n].view, s.view
		want = roundedView(want)
		got.Dispatcher = want.Dispatcher
		// The age of the report tells how much time has passed; all other ages must agree with it.
		elapsedS := got.AgeS - want.AgeS
		want = state{0, want}.advancedTo(milliseconds(elapsedS)).view
		if err := sameViews(got, want); err != nil {
			w.t.Fatalf("%s: differs from version %d: %v\n%+v\n%+v", name, n, err, got, want)
		}
	}
	for name, n := range w.acked {
		last := slices.Max(append(w.removed[name], 0))
		if w.decoder.states[name] == nil && last < n {
			w.t.Fatalf("%s: missing, but version %d was acknowledged and it was not removed since", name, n)
		}
	}
}

func sameViews(a, b dispatch.WorkerView) error {
	const slack = 0.15
	if math.Abs(a.AgeS-b.AgeS) > slack || math.Abs(a.UnansweredS-b.UnansweredS) > slack {
		return fmt.Errorf("ages")
	}
	if !slices.EqualFunc(a.Tasks, b.Tasks, func(x, y dispatch.TaskView) bool {
		return reflect.DeepEqual(x.Task, y.Task) && math.Abs(x.StateAgeS-y.StateAgeS) <= slack
	}) {
		return fmt.Errorf("tasks")
	}
	if !slices.Equal(a.Queue, b.Queue) || !slices.EqualFunc(a.Matrix, b.Matrix, func(x, y matching.WaitRow) bool {
		return x.Free == y.Free && math.Abs(x.WaitS-y.WaitS) <= slack
	}) {
		return fmt.Errorf("queue or matrix")
	}
	if a.Type != b.Type || a.Zone != b.Zone || a.Spot != b.Spot || a.Endpoint != b.Endpoint {
		return fmt.Errorf("site")
	}
	if !reflect.DeepEqual(a.NoticeS, b.NoticeS) || a.Draining != b.Draining || a.Polled != b.Polled {
		return fmt.Errorf("condition")
	}
	if a.Session != b.Session || a.Seq != b.Seq || a.Token != b.Token {
		return fmt.Errorf("report")
	}
	return nil
}

// drawNextView draws the next view of a worker.
func drawNextView(t *rapid.T, v dispatch.WorkerView) dispatch.WorkerView {
	few := rapid.IntRange(0, 3)
	waits := rapid.SliceOfN(rapid.IntRange(0, 20_000), 0, 3)
	if rapid.Bool().Draw(t, "reported") {
		v.Seq++
		v.AgeS, v.UnansweredS = float64(few.Draw(t, "age"))/4, float64(few.Draw(t, "unanswered"))/4
		v.Polled = rapid.Bool().Draw(t, "asked")
	}
	if few.Draw(t, "moved") == 0 {
		v.Session, v.Seq = v.Session+1, 1
		v.Endpoint = fmt.Sprint("e", few.Draw(t, "endpoint"))
	}
	v.Draining = few.Draw(t, "draining") == 0
	v.NoticeS = nil
	if few.Draw(t, "noticed") == 0 {
		s := float64(few.Draw(t, "notice"))
		v.NoticeS = &s
	}
	v.Tasks = slices.Clone(v.Tasks)
	for i := range few.Draw(t, "tasks") {
		task := dispatch.TaskView{Task: wire.Task{Task: fmt.Sprintf("j/%d", few.Draw(t, "task")), Attempt: uint64(i % 2), State: rapid.SampledFrom([]string{wire.TaskRunning, wire.TaskExited}).Draw(t, "state")}}
		if at := slices.IndexFunc(v.Tasks, func(x dispatch.TaskView) bool { return keyOf(&x) == keyOf(&task) }); at >= 0 {
			v.Tasks[at] = task
		} else {
			v.Tasks = append(v.Tasks, task)
		}
	}
	if n := len(v.Tasks); n > 0 && few.Draw(t, "ended") == 0 {
		at := rapid.IntRange(0, n-1).Draw(t, "which")
		v.Tasks = slices.Delete(v.Tasks, at, at+1)
	}
	v.Queue = nil
	for i := range few.Draw(t, "queued") {
		v.Queue = append(v.Queue, dispatch.QueueView{TaskRef: dispatch.TaskRef{Worker: "m", Task: "q", Attempt: uint64(i)}, WaitS: float64(few.Draw(t, "wait"))})
	}
	v.Matrix = nil
	for _, ms := range slices.Sorted(slices.Values(waits.Draw(t, "waits"))) {
		v.Matrix = append(v.Matrix, matching.WaitRow{WaitS: float64(ms) / 1000, Free: matching.Resources{CPUs: float64(few.Draw(t, "free"))}})
	}
	return v
}

// syncUntilIdle delivers all messages until nothing is left to be sent.
func (w *model) syncUntilIdle() {
	w.messages, w.replies = nil, nil
	// A heartbeat is due: without changes, only the leader's reply to one tells the dispatcher that
	// the leader has restarted.
	w.nowMs += heartbeatMs
	for range 20 {
		w.send()
		if len(w.messages) == 0 {
			break
		}
		w.handleMessage(0)
		w.handleReply(0)
		w.check()
		w.messages, w.replies = nil, nil
	}
	if len(w.current) == 0 && !w.encoder.started {
		return // a restarted dispatcher without workers sends nothing
	}
	if len(w.decoder.states) != len(w.current) {
		w.t.Fatalf("the leader knows %d workers of %d", len(w.decoder.states), len(w.current))
	}
	for name, n := range w.current {
		if s := w.decoder.states[name]; s == nil || int(s.view.Token) != n {
			w.t.Fatalf("%s: the leader does not know the present version %d", name, n)
		}
	}
	w.nowMs += heartbeatMs
	w.send()
	if len(w.current) == 0 {
		return
	}
	if len(w.messages) != 1 {
		w.t.Fatal("no heartbeat")
	}
	w.handleMessage(0)
	if w.replies[0].Refused || w.replies[0].Stream != w.encoder.stream {
		w.t.Fatal("a heartbeat was refused although both ends agree")
	}
}
