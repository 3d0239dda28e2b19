package testkit_test

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// report lets a worker report, and checks the rule that a task is on one
// machine at a time.
func (w *cluster) report(k *testkit.Worker) {
	w.mu.Lock()
	if k.IsHung() {
		w.mu.Unlock()
		return
	}
	rep := k.Report()
	rep.Endpoint = k.Name
	n := w.nodes[w.controllerNames[w.dispatcherOf[k]%len(w.controllerNames)]]
	sent := time.Now()
	next := !w.losslessReports && w.messageRand.IntN(30) == 0 || n.down || !w.works(k.Name, n.name) // a lost report: the worker tries the next one
	w.mu.Unlock()
	if next {
		w.mu.Lock()
		w.dispatcherOf[k]++
		w.mu.Unlock()
		return
	}
	w.awaitTransit()
	if n.isDown() { // while the report was on its way
		w.mu.Lock()
		w.dispatcherOf[k]++
		w.mu.Unlock()
		return
	}
	if w.onReport != nil {
		w.onReport(rep)
	}
	status, body := n.dispatcher.HandleReport(context.Background(), rep)
	answered := time.Now()
	w.awaitTransit()
	w.mu.Lock()
	defer w.mu.Unlock()
	if status == http.StatusOK && w.works(n.name, k.Name) {
		w.hear(k.Name) // one that nobody answers loses its tasks, and may go
	}
	if w.reportCopies = append(w.reportCopies, rep); len(w.reportCopies) > keptCopies {
		w.reportCopies = w.reportCopies[keptCopies/2:]
	}
	if !w.works(n.name, k.Name) {
		w.dispatcherOf[k]++
		return
	}
	if !w.losslessReports && w.messageRand.IntN(30) == 0 {
		return // the answer is lost
	}
	switch a := body.(type) {
	case wire.ReportResponse:
		w.checks.setSender(n, answered)
		k.HandleResponse(sent, rep.Session, a)
	case wire.Redirect:
		w.dispatcherOf[k]++
		for i, x := range w.controllerNames {
			if x == a.ReportTo {
				w.dispatcherOf[k] = i
			}
		}
	default:
		if status != http.StatusOK {
			w.dispatcherOf[k]++
		}
	}
}

// keptCopies is how many reports may be delivered late: those of a minute or so.
const keptCopies = 800

// deliverCopies delivers late copies of reports to a controller, in any order and
// perhaps more than once.
func (w *cluster) deliverCopies(to *node) {
	w.mu.Lock()
	late := slices.Clone(w.reportCopies)
	w.messageRand.Shuffle(len(late), func(i, j int) { late[i], late[j] = late[j], late[i] })
	w.mu.Unlock()
	if to.down {
		return
	}
	for _, rep := range late[:len(late)/2] {
		again := *rep
		again.Tasks = slices.Clone(rep.Tasks)
		to.dispatcher.HandleReport(context.Background(), &again) // whatever is answered reaches nobody
		w.checkInvariants()
	}
}

// publish hands the views of each controller to the leaders elsewhere, and
// lets the leaders settle unresponsive workers by attestation.
func (w *cluster) publish() {
	w.mu.Lock()
	nodes := make([]*node, 0, len(w.controllerNames))
	for _, name := range w.controllerNames {
		if n := w.nodes[name]; !n.down {
			nodes = append(nodes, n)
		}
	}
	w.mu.Unlock()
	for _, n := range nodes {
		n.publisher.CollectChanges(time.Since(n.started).Milliseconds(), w.otherControllers(n.name))
		for _, to := range nodes {
			w.mu.Lock()
			ok := to != n && w.reaches(n, to)
			w.mu.Unlock()
			if ok {
				w.goIfLinksSlow(func() { n.publishTo(to) })
			}
		}
	}
	unheard := map[string]string{}
	for _, k := range w.workers {
		unheard[k.Name] = k.Name
	}
	for _, n := range nodes {
		if len(n.member.LedShards()) > 0 {
			if !w.skipInventoryPoll {
				n.runDuty("probe", func(ctx context.Context) { n.dispatcher.PollReports(ctx, unheard, 3*reportEvery) })
			}
			n.runDuty("leases", n.askExpiring)
		}
	}
	if len(nodes) < len(w.controllerNames) {
		return
	}
	for _, n := range nodes {
		n.runDuty("attest", n.attestUnresponsiveWorkers)
	}
}

// reportAll lets every worker report.
func (w *cluster) reportAll() {
	for _, k := range w.workers {
		if w.linksAreSlow() {
			w.reportOverSlowLink(k)
			continue
		}
		w.report(k)
		w.checkInvariants()
	}
}
