package testkit_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/membership"
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

// keyRead is a read of a key by a controller, in the store or by a watch.
type keyRead struct {
	by      *node
	key     string
	version uint64
}

// note takes a read, in the order in which they come.
func (a *lostAnswer) note(r keyRead) {
	switch {
	case r.key != a.key || r.version < a.version:
	case r.by == a.writer:
		a.known = true
	case !a.known && a.read == "":
		a.read = r.by.name
	}
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
	reads  []keyRead                      // since it was armed, of keys with the prefix, until all answers are lost
	wrote  func(t wire.Txn)               // is told of each; nil: nobody
	then   func(writer *node, key string) // is called while the writer waits for the answer; nil: nothing
	busy   sync.WaitGroup
}

// watched connects a controller's view of the store to the cluster's faults that
// concern chosen keys.
func (w *cluster) watched(n *node) {
	if w.reliableStore {
		n.view.LoseResponse, n.view.Hold = nil, nil
	}
	n.view.TimeOutResponse = func(t wire.Txn, version uint64) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.loseAnswer != nil && w.loseAnswer(n, t, version)
	}
	n.view.DelayTxn = func(t wire.Txn) (time.Duration, func(error)) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.delayTransaction == nil {
			return 0, nil
		}
		return w.delayTransaction(n, t)
	}
	n.view.OnRead = func(key string, version uint64) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.onStoreRead != nil {
			w.onStoreRead(n, key, version)
		}
	}
	n.view.PrefixWatchLag = func(prefix string) time.Duration {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.watchLagOf == nil {
			return 0
		}
		return w.watchLagOf(n, prefix)
	}
}

// writerBehind is how far the watches of a writer are behind whose answer is lost:
// otherwise they would tell it what others read before it gives the answer up.
const writerBehind = 3 * time.Second

// loseAnswers makes the cluster lose chosen answers, from when they are armed.
func (w *cluster) loseAnswers(l *answerLoss) {
	w.loseAnswer = l.lose
	w.onStoreRead = l.saw
	w.watchLagOf = func(n *node, _ string) time.Duration {
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
	l.writer, l.left, l.reads = writer, count, nil
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
	lost := &lostAnswer{writer: n, key: key, version: version}
	for _, r := range l.reads { // the write was applied, and wakes the watches, before this is called
		lost.note(r)
	}
	l.lost = append(l.lost, lost)
	if l.wrote != nil {
		l.wrote(t)
	}
	return true
}

func (l *answerLoss) saw(n *node, key string, version uint64) {
	if !strings.HasPrefix(key, l.prefix) {
		return
	}
	read := keyRead{by: n, key: key, version: version}
	if l.left > 0 {
		l.reads = append(l.reads, read)
	}
	for _, lost := range l.lost {
		lost.note(read)
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

// submitAt has a user submit j-7 at a controller.
func (w *cluster) submitAt(name string, tasks int) (status int) {
	rec := httptest.NewRecorder()
	w.nodes[name].mux.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/api/jobs", strings.NewReader(submissionBody("j-7", tasks))))
	if rec.Code == http.StatusBadRequest {
		w.t.Errorf("a submission is refused: %s", rec.Body)
	}
	return rec.Code
}

// askAll has a user ask all controllers for a job, the leader last, and says what they
// answered.
func (w *cluster) askAll(uid string) (stages map[string]string) {
	stages = map[string]string{}
	names := w.controllerNames
	if at := w.leader(); at != "" {
		names = append(w.otherControllers(at), at)
	}
	for _, name := range names {
		if stage, ok := w.userRequest(name, http.MethodGet, uid); ok {
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
	_ = from.member.TransferShards(context.Background(), w.otherControllers(from.name)[0]) // it may have none any more
}

// look has another controller read a key, as an operator's question does.
func (w *cluster) look(writer *node, key string) {
	_, _ = w.nodes[w.otherControllers(writer.name)[0]].view.Get(context.Background(), key) // it is only looked at
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
				for s := range m.LedShards() {
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
	if !w.runUntil(seconds, func() bool {
		owners := 0
		for _, name := range w.controllerNames {
			if n := w.nodes[name]; !n.down && len(n.member.LedShards()) > 0 {
				owners++
			}
		}
		return owners == 1
	}) {
		for _, name := range w.controllerNames {
			t.Errorf("%s owns %v", name, w.nodes[name].member.LedShards())
		}
	}
}

// playCase plays a case on a cluster with work: three jobs that end, and a long one.
func playCase(t *testing.T, seed uint64, c *lostAnswerCase, begin func(w *cluster, l *answerLoss), happened func(l *answerLoss)) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, seed)
		w.bigger(3, 8)
		w.setLongTasks()
		w.accountingEnabled, w.losslessReports, w.reliableStore, w.keepBrokenLinks = !c.plain, true, true, true
		l := &answerLoss{w: w, prefix: c.prefix}
		begin(w, l)
		w.startControllersOneByOne()
		w.submit("j-80", 6) // before the others: accepted with them, it may wait behind their 156 tasks
		w.runFor(3)
		jobs := []string{"j-1", "j-2", "j-3"}
		for i, uid := range jobs {
			w.submit(uid, 12+40*i)
		}
		w.runFor(3)
		c.play(t, w, l)
		w.startStopped()
		if !w.runUntil(200, w.jobsEnded(jobs...)) {
			t.Errorf("only %v ended", w.store.Keys("final/"))
		}
		w.runFor(6)
		l.busy.Wait()
		happened(l)
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
	if c.name != "cancel" && w.unfinishedTasks("j-80") != 6 {
		t.Errorf("%d of 6 long tasks are on", w.unfinishedTasks("j-80"))
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

// TestLostResponseOfAppliedWrite loses the answer of a write that was applied, while
// other controllers read what it wrote: its writer says and does nothing that
// contradicts them, and recognises its own first try.
func TestLostResponseOfAppliedWrite(t *testing.T) {
	for i := range lostAnswerCases {
		c := &lostAnswerCases[i]
		t.Run(c.name, func(t *testing.T) {
			playCase(t, uint64(1300+i), c, (*cluster).loseAnswers, (*answerLoss).happened)
		})
	}
}
