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

// lostResponse is a transaction that was applied, while its writer heard nothing.
type lostResponse struct {
	writer       *node
	key          string
	version      uint64
	firstReader  string // the first other controller that read the key before the writer did
	readByWriter bool   // the writer has read it itself
}

// keyRead is a read of a key by a controller, in the store or by a watch.
type keyRead struct {
	reader  *node
	key     string
	version uint64
}

// observe takes a read, in the order in which they come.
func (a *lostResponse) observe(r keyRead) {
	switch {
	case r.key != a.key || r.version < a.version:
	case r.reader == a.writer:
		a.readByWriter = true
	case !a.readByWriter && a.firstReader == "":
		a.firstReader = r.reader.name
	}
}

// responseLoss loses the answers of transactions that write a key with a prefix.
type responseLoss struct {
	w               *cluster
	prefix          string
	writer          string        // whose answers are lost; "": anybody's
	remaining       int           // how many more
	singleWriteOnly bool          // only of transactions that write nothing else
	applyAfter      time.Duration // how much later the transactions are applied; 0: at once
	lateResults     []error       // what came of those that were applied later
	lost            []*lostResponse
	reads           []keyRead                      // since it was armed, of keys with the prefix, until all answers are lost
	onLost          func(t wire.Txn)               // is told of each; nil: nobody
	whileWaiting    func(writer *node, key string) // is called while the writer waits for the answer; nil: nothing
	background      sync.WaitGroup
}

// connectStoreFaults connects a controller's view of the store to the cluster's faults that
// concern chosen keys.
func (w *cluster) connectStoreFaults(n *node) {
	if w.reliableStore {
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
	n.view.OnRead = func(key string, version uint64) {
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

// writerWatchLag is how far the watches of a writer are behind whose answer is lost:
// otherwise they would tell it what others read before it gives the answer up.
const writerWatchLag = 3 * time.Second

// loseResponses makes the cluster lose chosen answers, from when they are armed.
func (w *cluster) loseResponses(l *responseLoss) {
	w.loseAnswer = l.lose
	w.seen = l.onRead
	w.behind = func(n *node, _ string) time.Duration {
		open := l.remaining > 0 || len(l.lost) > 0 && l.lost[len(l.lost)-1].writer == n && !l.lost[len(l.lost)-1].readByWriter
		if open && (l.writer == "" || l.writer == n.name) {
			return writerWatchLag
		}
		return 0
	}
}

// arm loses the next so many answers.
func (l *responseLoss) arm(writer string, count int) {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	l.writer, l.remaining, l.reads = writer, count, nil
}

// consume reports whether a transaction is one whose answer shall be lost, by the key that
// it writes.
func (l *responseLoss) consume(n *node, t wire.Txn) (key string, ok bool) {
	if l.remaining == 0 || l.writer != "" && l.writer != n.name || l.singleWriteOnly && len(t.Then) > 1 {
		return "", false
	}
	i := slices.IndexFunc(t.Then, func(op wire.Op) bool { return strings.HasPrefix(op.Put, l.prefix) })
	if i < 0 {
		return "", false
	}
	l.remaining--
	if l.whileWaiting != nil {
		l.background.Go(func() { l.whileWaiting(n, t.Then[i].Put) })
	}
	return t.Then[i].Put, true
}

func (l *responseLoss) lose(n *node, t wire.Txn, version uint64) bool {
	key, ok := l.consume(n, t)
	if !ok {
		return false
	}
	lost := &lostResponse{writer: n, key: key, version: version}
	for _, r := range l.reads { // the write was applied, and wakes the watches, before this is called
		lost.observe(r)
	}
	l.lost = append(l.lost, lost)
	if l.onLost != nil {
		l.onLost(t)
	}
	return true
}

func (l *responseLoss) onRead(n *node, key string, version uint64) {
	if !strings.HasPrefix(key, l.prefix) {
		return
	}
	read := keyRead{reader: n, key: key, version: version}
	if l.remaining > 0 {
		l.reads = append(l.reads, read)
	}
	for _, lost := range l.lost {
		lost.observe(read)
	}
}

// checkReadByOthers fails the test unless answers were lost, and others had read what was
// written before the writers knew of it.
func (l *responseLoss) checkReadByOthers() {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	read := 0
	for _, a := range l.lost {
		if a.firstReader != "" {
			read++
		}
	}
	if len(l.lost) == 0 || read == 0 {
		l.w.t.Errorf("%d answers of writes of %s were lost, and %d read by others in the meantime", len(l.lost), l.prefix, read)
	}
}

// submitJ7 has a user submit j-7 at a controller.
func (w *cluster) submitJ7(name string, tasks int) (status int) {
	rec := httptest.NewRecorder()
	w.nodes[name].mux.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/api/jobs", strings.NewReader(submissionBody("j-7", tasks))))
	if rec.Code == http.StatusBadRequest {
		w.t.Errorf("a submission is refused: %s", rec.Body)
	}
	return rec.Code
}

// pollAll has a user ask all controllers for a job, the leader last, and says what they
// answered.
func (w *cluster) pollAll(uid string) (stages map[string]string) {
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

// transferShards hands all shards over from a controller to the next.
func (w *cluster) transferShards(from *node) {
	if from.down {
		return
	}
	_ = from.member.TransferShards(context.Background(), w.others(from.name)[0]) // it may have none any more
}

// readElsewhere has another controller read a key, as an operator's question does.
func (w *cluster) readElsewhere(writer *node, key string) {
	_, _ = w.nodes[w.others(writer.name)[0]].view.Get(context.Background(), key) // it is only looked at
}

// keyVersion is the keyVersion of a key in the store.
func (w *cluster) keyVersion(key string) uint64 {
	it, err := (&testkit.View{Store: w.store}).Get(context.Background(), key)
	if err != nil {
		return 0
	}
	return it.Version
}

// checkSingleOwner fails the test if two controllers own jobs at any time in the next ten
// seconds.
func (w *cluster) checkSingleOwner(t *testing.T, l *responseLoss) {
	l.background.Go(func() {
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

// awaitSingleOwner fails the test unless exactly one controller owns the jobs within so many
// seconds.
func (w *cluster) awaitSingleOwner(t *testing.T, seconds int) {
	if !w.within(seconds, func() bool {
		owners := 0
		for _, name := range w.names {
			if n := w.nodes[name]; !n.down && len(n.member.LedShards()) > 0 {
				owners++
			}
		}
		return owners == 1
	}) {
		for _, name := range w.names {
			t.Errorf("%s owns %v", name, w.nodes[name].member.LedShards())
		}
	}
}

// runLostWriteCase plays a case on a cluster with work: three jobs that end, and a long one.
func runLostWriteCase(t *testing.T, seed uint64, c *lostWriteCase, begin func(w *cluster, l *responseLoss), happened func(l *responseLoss)) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, seed)
		w.resize(3, 8)
		w.long()
		w.accounts, w.losslessReports, w.reliableStore, w.keepCuts = !c.noAccounting, true, true, true
		l := &responseLoss{w: w, prefix: c.prefix}
		begin(w, l)
		w.startInTurn()
		w.submit("j-80", 6) // before the others: accepted with them, it may wait behind their 156 tasks
		w.live(3)
		jobs := []string{"j-1", "j-2", "j-3"}
		for i, uid := range jobs {
			w.submit(uid, 12+40*i)
		}
		w.live(3)
		c.run(t, w, l)
		w.startAll()
		if !w.within(200, w.ended(jobs...)) {
			t.Errorf("only %v ended", w.store.Keys("final/"))
		}
		w.live(6)
		l.background.Wait()
		happened(l)
		w.checkFinalState(t, c, jobs)
		w.stopAll()
		time.Sleep(15 * time.Second)
	})
}

// checkFinalState fails the test unless all is in the end as if no answer had been lost.
func (w *cluster) checkFinalState(t *testing.T, c *lostWriteCase, jobs []string) {
	for _, uid := range jobs {
		for name, stage := range w.pollAll(uid) {
			if stage != wire.StageDone {
				t.Errorf("%s calls %s %s", name, uid, stage)
			}
		}
	}
	if c.name != "cancel" && w.onMachines("j-80") != 6 {
		t.Errorf("%d of 6 long tasks are on", w.onMachines("j-80"))
	}
	if c.noAccounting {
		return
	}
	rows, attempts, twice := w.accountingRows()
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
	for i := range lostResponseCases {
		c := &lostResponseCases[i]
		t.Run(c.name, func(t *testing.T) {
			runLostWriteCase(t, uint64(1300+i), c, (*cluster).loseResponses, (*responseLoss).checkReadByOthers)
		})
	}
}
