package viewsync

import (
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"testing"

	"github.com/goccy/go-json"
	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

// version is what a holder knew of a machine from a time on; its number is the view's token.
type version struct {
	known bool
	atMs  int64
	view  dispatch.WorkerView
}

// model is a holder, an owner, and what is under way between them.
type model struct {
	t        *rapid.T
	nowMs    int64
	versions []version        // by number, of all machines; the first is nobody's
	current  map[string]int   // version of each machine that the holder knows
	changed  map[string]bool  // since the encoder was last told
	holders  int              // lives of the holder
	lifeMs   int64            // when the holder's clock began
	acked    map[string]int   // versions that the owner acknowledged, in this life of its
	removed  map[string][]int // versions at which machines went
	messages [][]byte         // under way, any of them perhaps a copy
	replies  []Reply          // the same
	encoder  *Encoder
	decoder  *Decoder
}

func (w *model) clock() int64 { return w.nowMs - w.lifeMs }

func (w *model) note(name string, v dispatch.WorkerView, known bool) int {
	n := len(w.versions)
	v.Name, v.Token = name, uint64(n)
	w.versions = append(w.versions, version{known, w.nowMs, v})
	w.changed[name] = true
	if known {
		w.current[name] = n
		return n
	}
	delete(w.current, name)
	w.removed[name] = append(w.removed[name], n)
	return n
}

func (w *model) HasWorkers() bool { return len(w.current) > 0 }

func (w *model) ChangedViews() ([]dispatch.WorkerView, []string) { panic("gather takes them") }

// WorkerViews are those of all machines, as of now.
func (w *model) WorkerViews() []dispatch.WorkerView {
	var out []dispatch.WorkerView
	for _, name := range slices.Sorted(maps.Keys(w.current)) {
		out = append(out, w.asOf(w.current[name], w.nowMs))
	}
	return out
}

func (w *model) asOf(n int, ms int64) dispatch.WorkerView {
	v := w.versions[n]
	return state{v.atMs, rounding(v.view)}.advanced(ms).view
}

func (w *model) gather() {
	var changed []dispatch.WorkerView
	var gone []string
	for _, name := range slices.Sorted(maps.Keys(w.changed)) {
		if n, ok := w.current[name]; ok {
			changed = append(changed, w.asOf(n, w.nowMs))
		} else {
			gone = append(gone, name)
		}
	}
	clear(w.changed)
	w.encoder.Note(w.clock(), changed, gone)
}

func (w *model) send() {
	w.gather()
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

func (w *model) arrive(i int) {
	var m Message
	if err := json.Unmarshal(w.messages[i], &m); err != nil {
		w.t.Fatal(err)
	}
	_, reply, err := w.decoder.Take(&m)
	if err != nil {
		w.t.Fatalf("refused: %v", err)
	}
	w.replies = append(w.replies, reply)
}

func (w *model) answer(i int) {
	stream := w.encoder.stream
	w.encoder.Took(w.clock(), w.replies[i])
	if e := w.encoder; e.stream != stream || !e.begun || e.flight != nil || w.replies[i].Stream != e.stream || w.replies[i].Seq < e.seq || w.decoder.stream != e.stream {
		return
	}
	for name, s := range w.encoder.told {
		w.acked[name] = max(w.acked[name], int(s.view.Token))
	}
}

// check compares the owner's picture with what the holder knew.
func (w *model) check() {
	for name, s := range w.decoder.states {
		n := int(s.view.Token)
		if n >= len(w.versions) || !w.versions[n].known || w.versions[n].view.Name != name {
			w.t.Fatalf("%s: the holder never knew this: %+v", name, s.view)
		}
		if n < w.acked[name] {
			w.t.Fatalf("%s: version %d, when %d was acknowledged", name, n, w.acked[name])
		}
		want, got := w.versions[n].view, s.view
		want = rounding(want)
		got.Holder = want.Holder
		// How much time has passed since, the ages say: all must say the same.
		passed := got.AgeS - want.AgeS
		want = state{0, want}.advanced(milliseconds(passed)).view
		if err := sameViews(got, want); err != nil {
			w.t.Fatalf("%s: a mix, version %d: %v\n%+v\n%+v", name, n, err, got, want)
		}
	}
	for name, n := range w.acked {
		last := slices.Max(append(w.removed[name], 0))
		if w.decoder.states[name] == nil && last < n {
			w.t.Fatalf("%s: not known any more, when version %d was acknowledged and it never went", name, n)
		}
	}
}

func sameViews(a, b dispatch.WorkerView) error {
	const slack = 0.15
	if math.Abs(a.AgeS-b.AgeS) > slack || math.Abs(a.UnansweredS-b.UnansweredS) > slack {
		return fmt.Errorf("ages")
	}
	if !slices.EqualFunc(a.Tasks, b.Tasks, func(x, y dispatch.TaskView) bool {
		return reflect.DeepEqual(x.Task, y.Task) && math.Abs(x.ForS-y.ForS) <= slack
	}) {
		return fmt.Errorf("tasks")
	}
	if !slices.Equal(a.Queue, b.Queue) || !slices.EqualFunc(a.Matrix, b.Matrix, func(x, y matching.WaitRow) bool {
		return x.Free == y.Free && math.Abs(x.Wait-y.Wait) <= slack
	}) {
		return fmt.Errorf("queue or matrix")
	}
	if a.Type != b.Type || a.Zone != b.Zone || a.Spot != b.Spot || a.Endpoint != b.Endpoint {
		return fmt.Errorf("site")
	}
	if !reflect.DeepEqual(a.NoticeS, b.NoticeS) || a.Draining != b.Draining || a.Asked != b.Asked {
		return fmt.Errorf("condition")
	}
	if a.Session != b.Session || a.Seq != b.Seq || a.Token != b.Token {
		return fmt.Errorf("report")
	}
	return nil
}

// viewAfter draws what a machine's view becomes.
func viewAfter(t *rapid.T, v dispatch.WorkerView) dispatch.WorkerView {
	few := rapid.IntRange(0, 3)
	waits := rapid.SliceOfN(rapid.IntRange(0, 20_000), 0, 3)
	if rapid.Bool().Draw(t, "reported") {
		v.Seq++
		v.AgeS, v.UnansweredS = float64(few.Draw(t, "age"))/4, float64(few.Draw(t, "unanswered"))/4
		v.Asked = rapid.Bool().Draw(t, "asked")
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
		if at := slices.IndexFunc(v.Tasks, func(x dispatch.TaskView) bool { return key(&x) == key(&task) }); at >= 0 {
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
		v.Queue = append(v.Queue, dispatch.QueueView{TaskRef: dispatch.TaskRef{Machine: "m", Task: "q", Attempt: uint64(i)}, WaitS: float64(few.Draw(t, "wait"))})
	}
	v.Matrix = nil
	for _, ms := range slices.Sorted(slices.Values(waits.Draw(t, "waits"))) {
		v.Matrix = append(v.Matrix, matching.WaitRow{Wait: float64(ms) / 1000, Free: matching.Resources{CPUs: float64(few.Draw(t, "free"))}})
	}
	return v
}

// settle lets messages through until nothing is left to be said.
func (w *model) settle() {
	w.messages, w.replies = nil, nil
	w.nowMs += heartbeatMs // else nobody would ask an owner that has just restarted
	for range 20 {
		w.send()
		if len(w.messages) == 0 {
			break
		}
		w.arrive(0)
		w.answer(0)
		w.check()
		w.messages, w.replies = nil, nil
	}
	if len(w.current) == 0 && !w.encoder.begun {
		return // a holder that has restarted, and has no machines, says nothing
	}
	if len(w.decoder.states) != len(w.current) {
		w.t.Fatalf("the owner knows %d machines of %d", len(w.decoder.states), len(w.current))
	}
	for name, n := range w.current {
		if s := w.decoder.states[name]; s == nil || int(s.view.Token) != n {
			w.t.Fatalf("%s is not known as it is, version %d", name, n)
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
	w.arrive(0)
	if w.replies[0].Refused || w.replies[0].Stream != w.encoder.stream {
		w.t.Fatal("a heartbeat of equal ends is refused")
	}
}

// TestPictureIsTheHoldersAtOneTime: whatever messages are lost, repeated or reordered, and
// whichever end restarts, the owner's picture of each machine is the holder's at one time,
// no older than what it acknowledged; once messages come through it is the holder's now.
func TestPictureIsTheHoldersAtOneTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &model{t: t, versions: make([]version, 1), current: map[string]int{}, changed: map[string]bool{}, acked: map[string]int{}, removed: map[string][]int{},
			encoder: NewEncoder("h"), decoder: NewDecoder()}
		names := rapid.SampledFrom([]string{"n-1", "n-2", "n-3"})
		pick := func(t *rapid.T, n int) int {
			if n == 0 {
				t.Skip("nothing is under way")
			}
			return rapid.IntRange(0, n-1).Draw(t, "which")
		}
		changes := func(t *rapid.T) {
			name := names.Draw(t, "machine")
			old := dispatch.WorkerView{Type: "m", Session: 1}
			if n, ok := w.current[name]; ok {
				old = w.asOf(n, w.nowMs)
			}
			w.note(name, viewAfter(t, old), true)
		}
		sends := func(*rapid.T) { w.send() }
		arrives := func(t *rapid.T) {
			i := pick(t, len(w.messages))
			w.arrive(i)
			if rapid.IntRange(0, 2).Draw(t, "copy") > 0 {
				w.messages = slices.Delete(w.messages, i, i+1)
			}
		}
		answers := func(t *rapid.T) {
			i := pick(t, len(w.replies))
			w.answer(i)
			if rapid.IntRange(0, 2).Draw(t, "copy") > 0 {
				w.replies = slices.Delete(w.replies, i, i+1)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": changes, "change again": changes,
			"send": sends, "send again": sends,
			"arrive": arrives, "arrive again": arrives,
			"answer": answers, "answer again": answers,
			"answered": func(t *rapid.T) { // a call without trouble
				w.send()
				if len(w.messages) > 0 {
					w.arrive(len(w.messages) - 1)
					w.answer(len(w.replies) - 1)
				}
			},
			"go": func(t *rapid.T) {
				name := names.Draw(t, "machine")
				if n, ok := w.current[name]; ok {
					w.note(name, w.versions[n].view, false)
				}
			},
			"time": func(t *rapid.T) { w.nowMs += rapid.Int64Range(1, 7000).Draw(t, "ms") },
			"lose": func(t *rapid.T) {
				i := pick(t, len(w.messages))
				w.messages = slices.Delete(w.messages, i, i+1)
			},
			"holder restarts": func(*rapid.T) {
				w.encoder, w.lifeMs = NewEncoder("h"), w.nowMs
				w.holders++
				clear(w.changed)
			},
			"owner restarts": func(*rapid.T) {
				w.decoder = NewDecoder()
				clear(w.acked)
			},
			"": func(*rapid.T) { w.check() },
		})
		w.settle()
	})
}

// oneView is a holder of one machine.
type oneView struct{ view dispatch.WorkerView }

func (oneView) HasWorkers() bool                                { return true }
func (o oneView) WorkerViews() []dispatch.WorkerView            { return []dispatch.WorkerView{o.view} }
func (oneView) ChangedViews() ([]dispatch.WorkerView, []string) { return nil, nil }

// FuzzMalformedMessage: whatever comes, a message that is refused changes nothing.
func FuzzMalformedMessage(f *testing.F) {
	known := func() (*Encoder, *Decoder) {
		e, d := NewEncoder("h"), NewDecoder()
		e.stream, d.stream = 5, 3
		v := dispatch.WorkerView{Name: "n-1", Type: "m", Session: 1, Seq: 4, Token: 2, Tasks: []dispatch.TaskView{{Task: wire.Task{Task: "j/0", Attempt: 1, State: wire.TaskRunning}}},
			Matrix: matching.WaitMatrix{{Free: matching.Resources{CPUs: 1}}, {Wait: 3, Free: matching.Resources{CPUs: 2}}}}
		e.after = d.stream
		_, r, err := d.Take(e.Next(0, oneView{v}))
		if err != nil {
			f.Fatal(err)
		}
		e.Took(0, r)
		return e, d
	}
	e, d := known()
	v := d.states["n-1"].view
	v.Seq, v.Tasks, v.Matrix = 5, nil, matching.WaitMatrix{{Free: matching.Resources{CPUs: 2}}}
	e.Note(100, []dispatch.WorkerView{v}, nil)
	for _, m := range []*Message{e.Next(200, nil), {Stream: d.stream, Seq: d.seq, Machines: 1}} {
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
		changed, reply, err := d.Take(&m)
		if err == nil && !reply.Refused {
			return
		}
		after, _ := json.Marshal(d.states["n-1"].view)
		if len(changed) > 0 || len(d.states) != 1 || d.seq != 1 || d.stream != 5 || string(before) != string(after) {
			t.Fatalf("refused (%v), but the books are %d/%d %s, before %s", err, d.stream, d.seq, after, before)
		}
		if err != nil && !reply.Refused {
			t.Fatalf("the holder is not told that its message was refused: %v", err)
		}
	})
}

// TestGoneBeforeItWasTold: a machine that came and went while a frame was under way is not
// told of, and heartbeats of both ends agree.
func TestGoneBeforeItWasTold(t *testing.T) {
	e, d := NewEncoder("h"), NewDecoder()
	e.after = d.stream
	m := e.Next(0, oneView{dispatch.WorkerView{Name: "n-1", Type: "m"}})
	e.Note(1, []dispatch.WorkerView{{Name: "n-2", Type: "m"}}, nil)
	e.Note(2, nil, []string{"n-2"})
	for at := int64(3); m != nil; at += heartbeatMs {
		_, r, err := d.Take(m)
		if err != nil || r.Refused {
			t.Fatalf("refused: %+v, %v", m, err)
		}
		e.Took(at, r)
		if m = e.Next(at, oneView{}); m != nil && m.Frame != nil {
			t.Fatalf("there was nothing to tell, but: %+v", m.Frame)
		}
	}
	if len(d.states) != 1 {
		t.Fatalf("%d machines are known", len(d.states))
	}
}
