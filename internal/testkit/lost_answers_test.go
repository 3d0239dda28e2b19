package testkit_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/owner"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/terms"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// lostAnswer is a transaction that was applied, while its writer heard nothing.
type lostAnswer struct {
	writer  *node
	key     string
	version uint64
	read    string // the first other controller that read the key before the writer did
	known   bool   // the writer has read it itself
}

// answerLoss loses the answers of transactions that write a key with a prefix.
type answerLoss struct {
	w      *cluster
	prefix string
	writer string        // whose answers are lost; "": anybody's
	left   int           // how many more
	alone  bool          // only of transactions that write nothing else
	by     time.Duration // how much later the transactions are applied; 0: at once
	late   []error       // what came of those that were applied later
	lost   []*lostAnswer
	wrote  func(t wire.Txn)               // is told of each; nil: nobody
	then   func(writer *node, key string) // is called while the writer waits for the answer; nil: nothing
	busy   sync.WaitGroup
}

// watched connects a controller's view of the store to the cluster's troubles that
// concern chosen keys.
func (w *cluster) watched(n *node) {
	if w.exact {
		n.view.Lose, n.view.Late = nil, nil
	}
	n.view.LoseAnswer = func(t wire.Txn, version uint64) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.loseAnswer != nil && w.loseAnswer(n, t, version)
	}
	n.view.Delay = func(t wire.Txn) (time.Duration, func(error)) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.delay == nil {
			return 0, nil
		}
		return w.delay(n, t)
	}
	n.view.Seen = func(key string, version uint64) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.seen != nil {
			w.seen(n, key, version)
		}
	}
	n.view.Behind = func(prefix string) time.Duration {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.behind == nil {
			return 0
		}
		return w.behind(n, prefix)
	}
}

// writerBehind is how far the watches of a writer are behind whose answer is lost:
// otherwise they would tell it what others read before it gives the answer up.
const writerBehind = 3 * time.Second

// loseAnswers makes the cluster lose chosen answers, from when they are armed.
func (w *cluster) loseAnswers(l *answerLoss) {
	w.loseAnswer = l.lose
	w.seen = l.saw
	w.behind = func(n *node, _ string) time.Duration {
		open := l.left > 0 || len(l.lost) > 0 && l.lost[len(l.lost)-1].writer == n && !l.lost[len(l.lost)-1].known
		if open && (l.writer == "" || l.writer == n.name) {
			return writerBehind
		}
		return 0
	}
}

// arm loses the next so many answers.
func (l *answerLoss) arm(writer string, count int) {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	l.writer, l.left = writer, count
}

// takes reports whether a transaction is one whose answer shall be lost, by the key that
// it writes.
func (l *answerLoss) takes(n *node, t wire.Txn) (key string, ok bool) {
	if l.left == 0 || l.writer != "" && l.writer != n.name || l.alone && len(t.Then) > 1 {
		return "", false
	}
	i := slices.IndexFunc(t.Then, func(op wire.Op) bool { return strings.HasPrefix(op.Put, l.prefix) })
	if i < 0 {
		return "", false
	}
	l.left--
	if l.then != nil {
		l.busy.Go(func() { l.then(n, t.Then[i].Put) })
	}
	return t.Then[i].Put, true
}

func (l *answerLoss) lose(n *node, t wire.Txn, version uint64) bool {
	key, ok := l.takes(n, t)
	if !ok {
		return false
	}
	l.lost = append(l.lost, &lostAnswer{writer: n, key: key, version: version})
	if l.wrote != nil {
		l.wrote(t)
	}
	return true
}

// delay has a transaction applied later.
func (l *answerLoss) delay(n *node, t wire.Txn) (time.Duration, func(error)) {
	if _, ok := l.takes(n, t); !ok {
		return 0, nil
	}
	return l.by, func(err error) {
		l.w.mu.Lock()
		defer l.w.mu.Unlock()
		l.late = append(l.late, err)
	}
}

func (l *answerLoss) saw(n *node, key string, version uint64) {
	for _, a := range l.lost {
		if key != a.key || version < a.version {
			continue
		}
		if n == a.writer {
			a.known = true
		} else if !a.known && a.read == "" {
			a.read = n.name
		}
	}
}

// happened fails the test unless answers were lost, and others had read what was
// written before the writers knew of it.
func (l *answerLoss) happened() {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	read := 0
	for _, a := range l.lost {
		if a.read != "" {
			read++
		}
	}
	if len(l.lost) == 0 || read == 0 {
		l.w.t.Errorf("%d answers of writes of %s were lost, and %d read by others in the meantime", len(l.lost), l.prefix, read)
	}
}

// refused fails the test unless transactions were carried out late, and changed nothing.
func (l *answerLoss) refused() {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	if len(l.late) == 0 {
		l.w.t.Errorf("no write of %s came late", l.prefix)
	}
	for _, err := range l.late {
		var conflict *statestore.Conflict
		if !errors.As(err, &conflict) && !errors.Is(err, statestore.ErrNoLease) {
			l.w.t.Errorf("a late write of %s: %v", l.prefix, err)
		}
	}
}

// submitAt has a user submit a job at a controller.
func (w *cluster) submitAt(name, uid string, tasks int) (status int) {
	body := fmt.Sprintf(`{"uid":%q,"docket":"c","crew":"t","sort":"sweep","urgency":"normal","pieces":%d,"cpus":1,"cards":0,"memoryGb":1,"kit":"i","pullGb":0.1,
		"together":false,"apart":false,"loaners":true,"reckonS":4,"markS":0,"stashS":0}`, uid, tasks)
	rec := httptest.NewRecorder()
	w.nodes[name].mux.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/api/jobs", strings.NewReader(body)))
	if rec.Code == http.StatusBadRequest {
		w.t.Errorf("a submission is refused: %s", rec.Body)
	}
	return rec.Code
}

// askAll has a user ask all controllers for a job, the owner last, and says what they
// answered.
func (w *cluster) askAll(uid string) (stages map[string]string) {
	stages = map[string]string{}
	names := w.names
	if at := w.leader(); at != "" {
		names = append(w.others(at), at)
	}
	for _, name := range names {
		if stage, ok := w.user(name, http.MethodGet, uid); ok {
			stages[name] = stage
		}
	}
	return stages
}

// moveJobs hands all shards over from a controller to the next.
func (w *cluster) moveJobs(from *node) {
	if from.down {
		return
	}
	_ = from.member.HandOver(context.Background(), w.others(from.name)[0]) // it may have none any more
}

// lostAnswerCase is a kind of write whose answer is lost.
type lostAnswerCase struct {
	name   string
	prefix string
	play   func(t *testing.T, w *cluster, l *answerLoss)
	plain  bool // no accounting rows are written, whose page would be recognised too
}

// lostAnswerCases has every kind of write that controllers make, but the rental of
// machines (new_machines_test.go), and the release of shards (package membership).
var lostAnswerCases = []lostAnswerCase{
	{name: "acceptance", prefix: "live/j-7", play: func(t *testing.T, w *cluster, l *answerLoss) {
		at := w.others(w.leader())[0]
		l.then = func(*node, string) {
			time.Sleep(100 * time.Millisecond)
			if stages := w.askAll("j-7"); len(stages) < 2 {
				t.Errorf("the job is known to %v", stages)
			}
			if status := w.submitAt(w.leader(), "j-7", 5); status != http.StatusOK {
				t.Errorf("a repeated submission is answered %d", status)
			}
		}
		l.arm(at, 1)
		if status := w.submitAt(at, "j-7", 5); status/100 != 2 {
			t.Errorf("the submission is answered %d", status)
		}
	}},
	{name: "cancel", prefix: "live/j-80", play: func(t *testing.T, w *cluster, l *answerLoss) {
		at := w.leader()
		l.then = func(*node, string) {
			time.Sleep(100 * time.Millisecond)
			for name, stage := range w.askAll("j-80") {
				if stage != wire.StageCancelled {
					t.Errorf("%s calls the job %s", name, stage)
				}
			}
		}
		l.arm(at, 1)
		if stage, ok := w.user(at, http.MethodPost, "j-80"); ok && stage != wire.StageCancelled {
			t.Errorf("the cancel is answered %s", stage) // by a peer, or not at all
		}
		started := w.starts
		w.live(1)
		if stage, ok := w.user(at, http.MethodPost, "j-80"); !ok || stage != wire.StageCancelled {
			t.Errorf("the repeated cancel is answered %s, %v", stage, ok)
		}
		if !w.within(12, func() bool { return w.onMachines("j-80") == 0 }) {
			t.Errorf("%d cancelled tasks are on, %d started", w.onMachines("j-80"), w.starts-started)
		}
	}},
	{name: "changed terms", prefix: "live/j-8t", play: func(t *testing.T, w *cluster, l *answerLoss) {
		at := w.nodes[w.leader()]
		w.submitWith("j-8t", 40, &terms.Terms{Number: 1})
		w.live(1)
		l.then = func(writer *node, key string) {
			_, _ = w.nodes[w.others(writer.name)[0]].view.Get(context.Background(), key) // it is only looked at
		}
		l.arm(at.name, 1)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := at.owner.Hold(ctx, "j-8t", true); err == nil {
			t.Error("held without an answer of the state service")
		}
		version := w.version("live/j-8t")
		if err := at.owner.Hold(context.Background(), "j-8t", true); err != nil || w.version("live/j-8t") != version {
			t.Errorf("the repeated change: %v, written again: %v", err, w.version("live/j-8t") != version)
		}
		w.live(3)
		held := w.onMachines("j-8t")
		w.live(8)
		if n := w.onMachines("j-8t"); n > held {
			t.Errorf("%d tasks of a held job are on, %d before", n, held)
		}
		if err := at.owner.Hold(context.Background(), "j-8t", false); err != nil {
			t.Error(err)
		}
		w.user(at.name, http.MethodPost, "j-8t")
	}},
	{name: "end", prefix: "final/j-7", plain: true, play: func(t *testing.T, w *cluster, l *answerLoss) {
		if !w.within(200, w.ended("j-1", "j-2", "j-3")) { // whose records would share its transaction
			t.Error("the other jobs did not end")
		}
		at := w.leader()
		l.then = func(*node, string) {
			time.Sleep(100 * time.Millisecond)
			for range 4 {
				for name, stage := range w.askAll("j-7") {
					if stage != wire.StageDone {
						t.Errorf("%s calls the job %s", name, stage)
					}
				}
				if stage, ok := w.user(at, http.MethodPost, "j-7"); ok && stage != wire.StageDone {
					t.Errorf("a cancel at the owner is answered %s", stage)
				}
				if status := w.submitAt(at, "j-7", 3); status != http.StatusOK {
					t.Errorf("a repeated submission is answered %d", status)
				}
				time.Sleep(200 * time.Millisecond)
			}
		}
		l.arm(at, 1)
		w.submit("j-7", 3)
		if !w.within(60, w.ended("j-7")) {
			t.Error("the job did not end")
		}
		w.live(4)
		if q := w.nodes[at].owner.Queues(); q["jobs"] != 1 { // the long one
			t.Errorf("the owner has %d jobs", q["jobs"])
		}
	}},
	{name: "end, and the successor's watch is behind", prefix: "final/j-7", play: func(t *testing.T, w *cluster, l *answerLoss) {
		at := w.leader()
		next := w.others(at)[0]
		behind := w.behind
		w.behind = func(n *node, prefix string) time.Duration {
			if prefix == "live/" && n.name == next {
				return 50 * time.Second
			}
			return behind(n, prefix)
		}
		l.then = func(writer *node, _ string) {
			w.user(next, http.MethodGet, "j-7")
			w.moveJobs(writer)
		}
		l.arm(at, 1)
		w.submit("j-7", 3)
		if !w.within(40, func() bool { return w.leader() == next }) {
			t.Errorf("%s leads", w.leader())
			return
		}
		for range 50 {
			w.live(1)
			for name, stage := range w.askAll("j-7") {
				if stage != wire.StageDone {
					t.Errorf("%s calls the job %s", name, stage)
				}
			}
		}
	}},
	{name: "claim of shards", prefix: "c/shard/", play: func(t *testing.T, w *cluster, l *answerLoss) {
		l.arm("", 1)
		w.crash(w.leader())
		w.atMostOneOwner(t, l)
		w.owned(t, 25)
	}},
	{name: "hand-over", prefix: "c/shard/", play: func(t *testing.T, w *cluster, l *answerLoss) {
		from := w.leader()
		l.then = func(*node, string) {
			time.Sleep(300 * time.Millisecond)
			w.askAll("j-80")
		}
		l.arm(from, 1)
		w.atMostOneOwner(t, l)
		w.moveJobs(w.nodes[from])
		w.owned(t, 4)
		if to := w.leader(); to != w.others(from)[0] {
			t.Errorf("%s owns the jobs, handed over to %s", to, w.others(from)[0])
		}
	}},
	{name: "taking back after a hand-over", prefix: "c/shard/", play: func(t *testing.T, w *cluster, l *answerLoss) {
		from := w.nodes[w.leader()]
		given := &answerLoss{w: w, prefix: l.prefix, by: 20 * time.Second}
		given.arm(from.name, 1)
		w.mu.Lock()
		w.delay = given.delay
		w.mu.Unlock()
		w.atMostOneOwner(t, l)
		go func() {
			time.Sleep(time.Second) // the hand-over is out, and without an answer
			l.arm(from.name, 1)
		}()
		w.moveJobs(from)
		w.owned(t, 10)
		w.live(20)
		given.refused()
		if to := w.leader(); to != from.name {
			t.Errorf("%s owns the jobs, taken back by %s", to, from.name)
		}
	}},
	{name: "counter of terms", prefix: "c/term", play: func(t *testing.T, w *cluster, l *answerLoss) {
		var unused []uint64 // terms whose writers never learnt that they have them
		l.wrote = func(txn wire.Txn) {
			for _, op := range txn.Then {
				var rec struct{ N uint64 }
				if value, ok := op.Value.(json.RawMessage); ok && op.Put == "c/term" && json.Unmarshal(value, &rec) == nil {
					unused = append(unused, rec.N)
				}
			}
		}
		w.restartOwner(t, l, 3)
		for _, name := range w.names {
			for _, term := range unused {
				if w.nodes[name].member.Term() == term {
					t.Errorf("%s uses term %d, whose answer was lost", name, term)
				}
			}
		}
		if len(unused) < 2 {
			t.Errorf("terms without an answer: %v", unused)
		}
	}},
	{name: "log, read by a new owner", prefix: "log/", play: func(t *testing.T, w *cluster, l *answerLoss) {
		l.then = func(writer *node, _ string) { w.moveJobs(writer) }
		l.arm("", 2)
		w.live(8)
	}},
	{name: "log, repeated by its owner", prefix: "log/", plain: true, play: func(t *testing.T, w *cluster, l *answerLoss) {
		l.then = w.look
		l.arm("", 6)
		w.live(20)
	}},
	{name: "chunk of tasks, read by a new owner", prefix: "task/", play: func(t *testing.T, w *cluster, l *answerLoss) {
		l.then = func(writer *node, _ string) { w.moveJobs(writer) }
		l.arm("", 2)
		w.live(12)
	}},
	{name: "chunk of tasks, repeated by its owner", prefix: "task/", plain: true, play: func(t *testing.T, w *cluster, l *answerLoss) {
		l.then = w.look
		l.arm("", 4)
		w.live(20)
	}},
	{name: "accounting page", prefix: accounting.Key, play: func(t *testing.T, w *cluster, l *answerLoss) {
		l.then = w.look
		l.arm("", 6)
		w.live(20)
	}},
	{name: "accounting page alone", prefix: accounting.Key, play: rowsAlone},
	{name: "accounting page, and the jobs move", prefix: accounting.Key, play: func(t *testing.T, w *cluster, l *answerLoss) {
		l.then = func(writer *node, key string) {
			w.look(writer, key)
			w.moveJobs(writer)
		}
		l.arm("", 3)
		w.live(12)
	}},
}

// rowsAlone has the accounting rows of stopped tasks written in a transaction of their own.
func rowsAlone(t *testing.T, w *cluster, l *answerLoss) {
	if !w.within(200, w.ended("j-1", "j-2", "j-3")) {
		t.Error("the short jobs did not end")
	}
	w.submit("j-81", 6)
	w.live(8)
	// One of its machines is away: the rows of the others go with no other record.
	away := w.workers[slices.IndexFunc(w.workers, func(k *testkit.Worker) bool {
		return slices.ContainsFunc(k.On(), func(task string) bool { return strings.HasPrefix(task, "j-81/") })
	})]
	w.cutAll(away.Name, w.names...)
	l.then, l.alone = w.look, true
	l.arm("", 1)
	w.user(w.leader(), http.MethodPost, "j-81")
	w.live(5)
	w.meet(away.Name, w.names...)
	w.live(15)
	if _, attempts, _ := w.rows(); len(attempts) < 162 || len(w.store.Keys("final/j-81")) == 0 { // of 156 tasks that are done, 6 that were stopped
		t.Errorf("%d accounting rows of attempts, of the cancelled job: %v", len(attempts), w.store.Keys("final/j-81"))
	}
}

// look has another controller read a key, as an operator's question does.
func (w *cluster) look(writer *node, key string) {
	_, _ = w.nodes[w.others(writer.name)[0]].view.Get(context.Background(), key) // it is only looked at
}

// version is the version of a key in the store.
func (w *cluster) version(key string) uint64 {
	it, err := (&testkit.View{Store: w.store}).Get(context.Background(), key)
	if err != nil {
		return 0
	}
	return it.Version
}

// atMostOneOwner fails the test if two controllers own jobs at any time in the next ten
// seconds.
func (w *cluster) atMostOneOwner(t *testing.T, l *answerLoss) {
	l.busy.Go(func() {
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			w.mu.Lock()
			members := map[string]*membership.Member{}
			for name, n := range w.nodes {
				members[name] = n.member
			}
			w.mu.Unlock()
			owners := map[string][]string{}
			for name, m := range members {
				for s := range m.Own() {
					key := m.ShardKey(s)
					if owners[key] = append(owners[key], name); len(owners[key]) > 1 {
						t.Errorf("%v own %s", owners[key], key)
						return
					}
				}
			}
		}
	})
}

// owned fails the test unless exactly one controller owns the jobs within so many
// seconds.
func (w *cluster) owned(t *testing.T, seconds int) {
	if !w.within(seconds, func() bool {
		owners := 0
		for _, name := range w.names {
			if n := w.nodes[name]; !n.down && len(n.member.Own()) > 0 {
				owners++
			}
		}
		return owners == 1
	}) {
		for _, name := range w.names {
			t.Errorf("%s owns %v", name, w.nodes[name].member.Own())
		}
	}
}

// lateWriteCases has writes that are carried out after newer ones of the same controller,
// or of a successor. Those of hand-overs, releases and cancels that meet the end of a job
// have tests of their own.
var lateWriteCases = []lostAnswerCase{
	{name: "acceptance, after its repetition", prefix: "live/j-7", play: func(t *testing.T, w *cluster, l *answerLoss) {
		l.arm("", 1)
		if status := w.submitAt(w.leader(), "j-7", 5); status/100 != 2 {
			t.Errorf("the submission is answered %d", status)
		}
	}},
	{name: "acceptance, after the job's end", prefix: "live/j-7", play: func(t *testing.T, w *cluster, l *answerLoss) {
		l.by = time.Minute
		l.arm(w.leader(), 1)
		w.submitAt(w.leader(), "j-7", 5)
		if !w.within(50, w.ended("j-7")) {
			t.Error("the job did not end in time")
		}
		w.live(60)
		if len(w.store.Keys("live/j-7")) > 0 {
			t.Error("the job lives again")
		}
	}},
	{name: "cancel, after a hand-over", prefix: "live/j-80", play: func(t *testing.T, w *cluster, l *answerLoss) {
		l.then = func(writer *node, _ string) { w.moveJobs(writer) }
		from := w.leader()
		l.arm(from, 1)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		if s, err := w.nodes[from].owner.Cancel(ctx, "j-80"); err == nil {
			t.Errorf("%+v without an answer", s)
		}
	}},
	{name: "end, after its repetition", prefix: "final/j-1", plain: true, play: func(_ *testing.T, w *cluster, l *answerLoss) {
		l.arm("", 1)
	}},
	{name: "end, after a cancel", prefix: "final/j-7", plain: true, play: func(t *testing.T, w *cluster, l *answerLoss) {
		l.then = func(writer *node, _ string) {
			time.Sleep(100 * time.Millisecond)
			if stage, ok := w.user(writer.name, http.MethodPost, "j-7"); !ok || stage != wire.StageCancelled {
				t.Errorf("the cancel is answered %s, %v", stage, ok)
			}
		}
		if !w.within(200, w.ended("j-1", "j-2", "j-3")) { // whose records would share its transaction
			t.Error("the other jobs did not end")
		}
		l.arm("", 1)
		w.submit("j-7", 3)
		if !w.within(60, w.ended("j-7")) {
			t.Error("the job did not end")
		}
		w.live(10)
		if s, err := owner.Stored(context.Background(), &testkit.View{Store: w.store}, "j-7"); err != nil || s.Stage != wire.StageCancelled {
			t.Errorf("recorded in the end: %+v, %v", s, err)
		}
	}},
	{name: "claim of shards, after its repetition", prefix: "c/shard/", play: func(t *testing.T, w *cluster, l *answerLoss) {
		l.arm("", 1)
		w.crash(w.leader())
		w.atMostOneOwner(t, l)
		w.owned(t, 25)
	}},
	{name: "counter of terms", prefix: "c/term", play: func(t *testing.T, w *cluster, l *answerLoss) {
		w.restartOwner(t, l, 2)
	}},
	{name: "accounting page alone, after newer ones", prefix: accounting.Key, play: rowsAlone},
	{name: "log, at a new owner that has just read it", prefix: "log/", plain: true, play: moveMeanwhile},
	{name: "chunk of tasks, at a new owner that has just read it", prefix: "task/", plain: true, play: moveMeanwhile},
	{name: "accounting page, at a new owner that has just read it", prefix: accounting.Key, play: moveMeanwhile},
	{name: "log, at a new owner", prefix: "log/", plain: true, play: moveWhileLate},
	{name: "chunk of tasks, at a new owner", prefix: "task/", plain: true, play: moveWhileLate},
	{name: "accounting page, at a new owner", prefix: accounting.Key, play: moveWhileLate},
}

// restartOwner has the owner back within half a second, while so many answers are lost.
func (w *cluster) restartOwner(t *testing.T, l *answerLoss, lost int) {
	l.arm("", lost)
	w.restart(w.leader(), 500*time.Millisecond)
	w.owned(t, 25)
}

// moveWhileLate hands the jobs over while a write of their owner is under way.
func moveWhileLate(_ *testing.T, w *cluster, l *answerLoss) {
	l.then = func(writer *node, _ string) { w.moveJobs(writer) }
	l.arm("", 1)
	w.live(15)
}

// moveMeanwhile is moveWhileLate with a write that comes before the new owner has written
// anything itself.
func moveMeanwhile(t *testing.T, w *cluster, l *answerLoss) {
	l.by = 300 * time.Millisecond
	moveWhileLate(t, w, l)
}

// playCase plays a case on a cluster with work: three jobs that end, and a long one.
func playCase(t *testing.T, seed uint64, c *lostAnswerCase, begin func(w *cluster, l *answerLoss), met func(l *answerLoss)) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, seed)
		w.bigger(3, 8)
		w.long()
		w.accounts, w.whole, w.exact, w.keepCuts = !c.plain, true, true, true
		l := &answerLoss{w: w, prefix: c.prefix}
		begin(w, l)
		for _, n := range w.names {
			w.start(n)
			time.Sleep(100 * time.Millisecond)
		}
		w.live(3)
		w.submit("j-80", 6)
		jobs := []string{"j-1", "j-2", "j-3"}
		for i, uid := range jobs {
			w.submit(uid, 12+40*i)
		}
		w.live(3)
		c.play(t, w, l)
		w.startAll()
		if !w.within(200, w.ended(jobs...)) {
			t.Errorf("only %v ended", w.store.Keys("final/"))
		}
		w.live(6)
		l.busy.Wait()
		met(l)
		w.asBefore(t, c, jobs)
		w.stopAll()
		time.Sleep(15 * time.Second)
	})
}

// asBefore fails the test unless all is in the end as if no answer had been lost.
func (w *cluster) asBefore(t *testing.T, c *lostAnswerCase, jobs []string) {
	for _, uid := range jobs {
		for name, stage := range w.askAll(uid) {
			if stage != wire.StageDone {
				t.Errorf("%s calls %s %s", name, uid, stage)
			}
		}
	}
	if c.name != "cancel" && w.onMachines("j-80") != 6 {
		t.Errorf("%d of 6 long tasks are on", w.onMachines("j-80"))
	}
	if c.plain {
		return
	}
	rows, attempts, twice := w.rows()
	if twice > 0 {
		t.Errorf("%d accounting rows stand twice", twice)
	}
	useful := 0
	for _, row := range attempts {
		if row.UID == "j-3" {
			useful++
		}
	}
	if useful < 92 {
		t.Errorf("%d accounting rows of 92 tasks", useful)
	}
	for _, uid := range jobs {
		if _, there := rows[uid]; !there {
			t.Errorf("no accounting row of %s", uid)
		}
	}
}

// TestLostAnswerOfAnAppliedWrite loses the answer of a write that was applied, while
// other controllers read what it wrote: its writer says and does nothing that
// contradicts them, and recognises its own first try.
func TestLostAnswerOfAnAppliedWrite(t *testing.T) {
	for i := range lostAnswerCases {
		c := &lostAnswerCases[i]
		t.Run(c.name, func(t *testing.T) {
			playCase(t, uint64(1300+i), c, (*cluster).loseAnswers, (*answerLoss).happened)
		})
	}
}

// TestWriteAppliedLateIsRefused has a write applied six seconds late, when its writer has
// repeated it or somebody else does its work: it changes nothing any more.
func TestWriteAppliedLateIsRefused(t *testing.T) {
	for i := range lateWriteCases {
		c := &lateWriteCases[i]
		t.Run(c.name, func(t *testing.T) {
			playCase(t, uint64(1350+i), c, func(w *cluster, l *answerLoss) {
				l.by, w.delay = 6*time.Second, l.delay
			}, (*answerLoss).refused)
		})
	}
}
