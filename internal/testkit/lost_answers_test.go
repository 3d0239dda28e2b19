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

// lostResponse is a transaction that was applied and whose writer received no response.
type lostResponse struct {
	writer       *node
	key          string
	version      uint64
	firstReader  string // the first other controller that read the key, if it did so before the writer
	readByWriter bool   // the writer has read the key
}

// keyRead is a read of a key by a controller, by a request or a watch.
type keyRead struct {
	reader  *node
	key     string
	version uint64
}

// observe records a read. Reads must be passed in the order in which they happened.
func (a *lostResponse) observe(r keyRead) {
	switch {
	case r.key != a.key || r.version < a.version:
	case r.reader == a.writer:
		a.readByWriter = true
	case !a.readByWriter && a.firstReader == "":
		a.firstReader = r.reader.name
	}
}

// responseLoss loses the responses of transactions that write a key with a prefix, or delays the transactions.
type responseLoss struct {
	w               *cluster
	prefix          string
	writer          string        // the controller whose responses are lost; "": any controller
	remaining       int           // number of responses still to be lost
	singleWriteOnly bool          // only responses of transactions that write a single key
	applyAfter      time.Duration // delay of the transactions in delayTransaction; 0: none
	lateResults     []error       // results of the delayed transactions
	lost            []*lostResponse
	reads           []keyRead                      // of keys with the prefix, from the last call of arm until all responses are lost
	onLost          func(t wire.Txn)               // is called for each lost response; may be nil
	whileWaiting    func(writer *node, key string) // is called while the writer waits for the response; may be nil
	background      sync.WaitGroup
}

// connectStoreFaults connects a controller's view of the store to the faults that the test
// sets for chosen keys.
func (w *cluster) connectStoreFaults(n *node) {
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

// writerWatchLag is the lag of the watches of a writer whose response is lost. Without it, the watches
// deliver the write to the writer before its request times out.
const writerWatchLag = 3 * time.Second

// loseResponses makes the cluster lose the responses that l selects; none are lost before l.arm is called.
func (w *cluster) loseResponses(l *responseLoss) {
	w.loseAnswer = l.lose
	w.onStoreRead = l.onRead
	w.watchLagOf = func(n *node, _ string) time.Duration {
		unresolved := l.remaining > 0 || len(l.lost) > 0 && l.lost[len(l.lost)-1].writer == n && !l.lost[len(l.lost)-1].readByWriter
		if unresolved && (l.writer == "" || l.writer == n.name) {
			return writerWatchLag
		}
		return 0
	}
}

// arm makes the next count responses to the writer get lost, or to any controller if writer is "".
func (l *responseLoss) arm(writer string, count int) {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	l.writer, l.remaining, l.reads = writer, count, nil
}

// consume reports whether the response of a transaction is to be lost or the transaction delayed, and
// returns the matching key. For a match it decrements remaining and starts whileWaiting in the background.
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
	for _, r := range l.reads { // others may have read the write before lose is called
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

// checkReadByOthers fails the test unless responses were lost, and another controller read at least one of
// the writes before its writer knew of it.
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
		l.w.t.Errorf("%d responses to writes of %s were lost, and %d of the writes were read by others in the meantime", len(l.lost), l.prefix, read)
	}
}

// submitJ7 submits j-7 to a controller.
func (w *cluster) submitJ7(name string, tasks int) (status int) {
	rec := httptest.NewRecorder()
	w.nodes[name].mux.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/api/jobs", strings.NewReader(submissionBody("j-7", tasks))))
	if rec.Code == http.StatusBadRequest {
		w.t.Errorf("a submission was rejected: %s", rec.Body)
	}
	return rec.Code
}

// pollAll queries the state of a job at all controllers, the leader last, and returns the
// stages by controller.
func (w *cluster) pollAll(uid string) (stages map[string]string) {
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

// transferShards transfers all shards of a controller to the first of the others.
func (w *cluster) transferShards(from *node) {
	if from.down {
		return
	}
	_ = from.member.TransferShards(context.Background(), w.otherControllers(from.name)[0]) // fails if the controller leads no shards any more
}

// readElsewhere makes another controller read a key, as an operator's query does.
func (w *cluster) readElsewhere(writer *node, key string) {
	_, _ = w.nodes[w.otherControllers(writer.name)[0]].view.Get(context.Background(), key) // only the read itself matters
}

// keyVersion returns the version of a key in the store.
func (w *cluster) keyVersion(key string) uint64 {
	it, err := (&testkit.View{Store: w.store}).Get(context.Background(), key)
	if err != nil {
		return 0
	}
	return it.Version
}

// checkSingleOwner fails the test if two controllers lead the same shard at any time in the next ten
// seconds. It returns at once and checks in the background.
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
						t.Errorf("%v lead %s at the same time", owners[key], key)
						return
					}
				}
			}
		}
	})
}

// awaitSingleOwner fails the test unless exactly one controller leads shards within the given number of
// seconds.
func (w *cluster) awaitSingleOwner(t *testing.T, seconds int) {
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
			t.Errorf("%s leads %v", name, w.nodes[name].member.LedShards())
		}
	}
}

// runLostWriteCase runs a case on a cluster with three short jobs and a long one. begin sets the faults,
// and checkFaults checks that they happened.
func runLostWriteCase(t *testing.T, seed uint64, c *lostWriteCase, begin func(w *cluster, l *responseLoss), checkFaults func(l *responseLoss)) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, seed)
		w.resize(3, 8)
		w.setLongTasks()
		w.accountingEnabled, w.losslessReports, w.reliableStore, w.keepBrokenLinks = !c.noAccounting, true, true, true
		l := &responseLoss{w: w, prefix: c.prefix}
		begin(w, l)
		w.startControllersOneByOne()
		w.submit("j-80", 6) // before the others, otherwise its tasks may queue behind their 156 tasks
		w.runFor(3)
		jobs := []string{"j-1", "j-2", "j-3"}
		for i, uid := range jobs {
			w.submit(uid, 12+40*i)
		}
		w.runFor(3)
		c.run(t, w, l)
		w.startStopped()
		if !w.runUntil(200, w.jobsEnded(jobs...)) {
			t.Errorf("only %v ended", w.store.Keys("final/"))
		}
		w.runFor(6)
		l.background.Wait()
		checkFaults(l)
		w.checkFinalState(t, c, jobs)
		w.stopAll()
		time.Sleep(15 * time.Second)
	})
}

// checkFinalState fails the test unless jobs and accounting are in the same state at the end as without the lost responses.
func (w *cluster) checkFinalState(t *testing.T, c *lostWriteCase, jobs []string) {
	for _, uid := range jobs {
		for name, stage := range w.pollAll(uid) {
			if stage != wire.StageDone {
				t.Errorf("%s reports %s as %s", name, uid, stage)
			}
		}
	}
	if c.name != "cancel" && w.unfinishedTasks("j-80") != 6 {
		t.Errorf("%d of 6 long tasks run", w.unfinishedTasks("j-80"))
	}
	if c.noAccounting {
		return
	}
	rows, attempts, duplicates := w.accountingRows()
	if duplicates > 0 {
		t.Errorf("%d duplicate accounting rows", duplicates)
	}
	counted := 0
	for _, row := range attempts {
		if row.UID == "j-3" {
			counted++
		}
	}
	if counted < 92 {
		t.Errorf("%d accounting rows of 92 tasks", counted)
	}
	for _, uid := range jobs {
		if _, exists := rows[uid]; !exists {
			t.Errorf("no accounting row of %s", uid)
		}
	}
}

// The response of an applied write is lost, while other controllers read the written key. The writer's
// responses and actions must not contradict theirs, and it must recognise its own first attempt when it repeats the write.
func TestLostResponseOfAppliedWrite(t *testing.T) {
	for i := range lostResponseCases {
		c := &lostResponseCases[i]
		t.Run(c.name, func(t *testing.T) {
			runLostWriteCase(t, uint64(1300+i), c, (*cluster).loseResponses, (*responseLoss).checkReadByOthers)
		})
	}
}
