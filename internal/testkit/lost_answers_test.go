package testkit_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/accounting"
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
	writer string // whose answers are lost; "": anybody's
	left   int    // how many more
	lost   []*lostAnswer
	wrote  func(t wire.Txn)               // is told of each; nil: nobody
	then   func(writer *node, key string) // is called while the writer waits for the answer; nil: nothing
	busy   sync.WaitGroup
}

// watched connects a controller's view of the store to the cluster's troubles that
// concern chosen keys.
func (w *cluster) watched(n *node) {
	n.view.LoseAnswer = func(t wire.Txn, version uint64) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.loseAnswer != nil && w.loseAnswer(n, t, version)
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
// otherwise they would tell it at once what others read.
const writerBehind = 1500 * time.Millisecond

// loseAnswers makes the cluster lose chosen answers, from when they are armed.
func (w *cluster) loseAnswers(prefix string) *answerLoss {
	l := &answerLoss{w: w, prefix: prefix}
	w.loseAnswer = l.lose
	w.seen = l.saw
	w.behind = func(n *node, _ string) time.Duration {
		if l.left > 0 || len(l.lost) > 0 && l.lost[len(l.lost)-1].writer == n && !l.lost[len(l.lost)-1].known {
			if l.writer == "" || l.writer == n.name {
				return writerBehind
			}
		}
		return 0
	}
	return l
}

// arm loses the next so many answers.
func (l *answerLoss) arm(writer string, count int) {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	l.writer, l.left = writer, count
}

func (l *answerLoss) lose(n *node, t wire.Txn, version uint64) bool {
	if l.left == 0 || l.writer != "" && l.writer != n.name {
		return false
	}
	for _, op := range t.Then {
		if key := op.Put + op.Delete; strings.HasPrefix(key, l.prefix) {
			l.left--
			l.lost = append(l.lost, &lostAnswer{writer: n, key: key, version: version})
			if l.wrote != nil {
				l.wrote(t)
			}
			if l.then != nil {
				l.busy.Go(func() { l.then(n, key) })
			}
			return true
		}
	}
	return false
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
	l.busy.Wait()
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
}

// lostAnswerCases has every kind of write that controllers make, but the rental of
// machines (new_machines_test.go), and the release of shards (package membership).
var lostAnswerCases = []lostAnswerCase{
	{"acceptance", "live/j-7", func(t *testing.T, w *cluster, l *answerLoss) {
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
	{"cancel", "live/j-80", func(t *testing.T, w *cluster, l *answerLoss) {
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
	{"changed terms", "live/j-8t", func(t *testing.T, w *cluster, l *answerLoss) {
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
	{"end", "final/j-1", func(t *testing.T, w *cluster, l *answerLoss) {
		at := w.leader()
		l.then = func(*node, string) {
			time.Sleep(100 * time.Millisecond)
			for range 4 {
				for name, stage := range w.askAll("j-1") {
					if stage != wire.StageDone {
						t.Errorf("%s calls the job %s", name, stage)
					}
				}
				if stage, ok := w.user(at, http.MethodPost, "j-1"); ok && stage != wire.StageDone {
					t.Errorf("a cancel at the owner is answered %s", stage)
				}
				if status := w.submitAt(at, "j-1", 12); status != http.StatusOK {
					t.Errorf("a repeated submission is answered %d", status)
				}
				time.Sleep(200 * time.Millisecond)
			}
		}
		l.arm(at, 1)
	}},
	{"end, and the successor's watch is behind", "final/j-7", func(t *testing.T, w *cluster, l *answerLoss) {
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
	{"claim of shards", "c/shard/", func(t *testing.T, w *cluster, l *answerLoss) {
		l.arm("", 1)
		w.crash(w.leader())
		w.owned(t, 15)
	}},
	{"hand-over", "c/shard/", func(t *testing.T, w *cluster, l *answerLoss) {
		from := w.leader()
		l.then = func(*node, string) {
			time.Sleep(300 * time.Millisecond)
			w.askAll("j-80")
		}
		l.arm(from, 1)
		w.moveJobs(w.nodes[from])
		w.owned(t, 4)
		if to := w.leader(); to != w.others(from)[0] {
			t.Errorf("%s owns the jobs, handed over to %s", to, w.others(from)[0])
		}
	}},
	{"taking back after a hand-over", "c/shard/", func(t *testing.T, w *cluster, l *answerLoss) {
		from := w.nodes[w.leader()]
		late := true
		from.view.Late = func() bool { held := late; late = false; return held }
		l.arm(from.name, 1)
		w.moveJobs(from)
		w.owned(t, 6)
		from.view.Deliver()
		w.owned(t, 1)
		if to := w.leader(); to != from.name {
			t.Errorf("%s owns the jobs, taken back by %s", to, from.name)
		}
	}},
	{"counter of terms", "c/term", func(t *testing.T, w *cluster, l *answerLoss) {
		var unused []uint64 // terms whose writers never learnt that they have them
		l.wrote = func(txn wire.Txn) {
			for _, op := range txn.Then {
				var rec struct{ N uint64 }
				if value, ok := op.Value.(json.RawMessage); ok && op.Put == "c/term" && json.Unmarshal(value, &rec) == nil {
					unused = append(unused, rec.N)
				}
			}
		}
		first := w.leader()
		l.arm("", 3)
		w.crash(first)
		time.Sleep(500 * time.Millisecond)
		w.start(first)
		w.owned(t, 20)
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
	{"log, read by a new owner", "log/", func(t *testing.T, w *cluster, l *answerLoss) {
		l.then = func(writer *node, _ string) { w.moveJobs(writer) }
		l.arm("", 2)
		w.live(8)
	}},
	{"log, repeated by its owner", "log/", func(t *testing.T, w *cluster, l *answerLoss) {
		l.then = w.look
		l.arm("", 6)
		w.live(20)
	}},
	{"chunk of tasks, read by a new owner", "task/", func(t *testing.T, w *cluster, l *answerLoss) {
		l.then = func(writer *node, _ string) { w.moveJobs(writer) }
		l.arm("", 2)
		w.live(12)
	}},
	{"chunk of tasks, repeated by its owner", "task/", func(t *testing.T, w *cluster, l *answerLoss) {
		l.then = w.look
		l.arm("", 4)
		w.live(20)
	}},
	{"accounting page", accounting.Key, func(t *testing.T, w *cluster, l *answerLoss) {
		l.then = w.look
		l.arm("", 6)
		w.live(20)
	}},
	{"accounting page, and the jobs move", accounting.Key, func(t *testing.T, w *cluster, l *answerLoss) {
		l.then = func(writer *node, key string) {
			w.look(writer, key)
			w.moveJobs(writer)
		}
		l.arm("", 3)
		w.live(12)
	}},
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

// TestLostAnswerOfAnAppliedWrite loses the answer of a write that was applied, while
// other controllers read what it wrote: its writer says and does nothing that
// contradicts them, and recognises its own first try.
func TestLostAnswerOfAnAppliedWrite(t *testing.T) {
	for i, c := range lostAnswerCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newCluster(t, uint64(1300+i))
				w.bigger(3, 8)
				w.long()
				w.accounts, w.whole, w.keepCuts = true, true, true
				l := w.loseAnswers(c.prefix)
				for _, n := range w.names {
					w.start(n)
					w.nodes[n].view.Lose, w.nodes[n].view.Late = nil, nil
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
				l.happened()
				w.live(6)
				for _, uid := range jobs {
					for name, stage := range w.askAll(uid) {
						if stage != wire.StageDone {
							t.Errorf("%s calls %s %s", name, uid, stage)
						}
					}
				}
				if c.prefix != "live/j-80" && w.onMachines("j-80") != 6 {
					t.Errorf("%d of 6 long tasks are on", w.onMachines("j-80"))
				}
				rows, attempts, twice := w.rows()
				if twice > 0 {
					t.Errorf("%d accounting rows stand twice", twice)
				}
				done := 0
				for _, row := range attempts {
					if strings.HasPrefix(row.UID, "j-3") {
						done++
					}
				}
				for _, uid := range jobs {
					if _, there := rows[uid]; !there {
						t.Errorf("no accounting row of %s", uid)
					}
				}
				if done < 92 {
					t.Errorf("%d accounting rows of 92 tasks", done)
				}
				w.stopAll()
				time.Sleep(15 * time.Second)
			})
		})
	}
}
