package testkit_test

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// sendReport has a worker send a report to its dispatcher and handle the response. If the report
// is lost or redirected, the worker uses another dispatcher for its next one.
func (w *cluster) sendReport(k *testkit.Worker) {
	w.mu.Lock()
	if k.IsHung() {
		w.mu.Unlock()
		return
	}
	rep := k.Report()
	rep.Endpoint = k.Name
	n := w.nodes[w.controllerNames[w.dispatcherOf[k]%len(w.controllerNames)]]
	sent := time.Now()
	lost := !w.losslessReports && w.messageRand.IntN(30) == 0 || n.down || !w.linkWorks(k.Name, n.name)
	w.mu.Unlock()
	if lost {
		w.mu.Lock()
		w.dispatcherOf[k]++
		w.mu.Unlock()
		return
	}
	w.awaitTransit()
	if n.isDown() { // the controller crashed while the report was on its way
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
	if status == http.StatusOK && w.linkWorks(n.name, k.Name) {
		w.recordHeartbeat(k.Name) // a worker that receives no responses loses its lease and may be deleted
	}
	if w.reportCopies = append(w.reportCopies, rep); len(w.reportCopies) > maxReportCopies {
		w.reportCopies = w.reportCopies[maxReportCopies/2:]
	}
	if !w.linkWorks(n.name, k.Name) {
		w.dispatcherOf[k]++
		return
	}
	if !w.losslessReports && w.messageRand.IntN(30) == 0 {
		return // the response is lost
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

// maxReportCopies limits the reports that are kept for late delivery, to those of about a minute.
const maxReportCopies = 800

// deliverLateReports delivers copies of earlier reports to a controller in random order, possibly
// more than once.
func (w *cluster) deliverLateReports(to *node) {
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
		to.dispatcher.HandleReport(context.Background(), &again) // the response is dropped
		w.checkInvariants()
	}
}

// publishViews has each controller send its workers' views to the leaders among its peers. Leaders
// then poll unheard workers and workers with expiring leases, and, if all controllers are running,
// settle unresponsive workers by attestation.
func (w *cluster) publishViews() {
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
			n.runDuty("leases", n.pollExpiringLeases)
		}
	}
	if len(nodes) < len(w.controllerNames) {
		return
	}
	for _, n := range nodes {
		n.runDuty("attest", n.attestUnresponsiveWorkers)
	}
}

// sendReports has every worker send a report.
func (w *cluster) sendReports() {
	for _, k := range w.workers {
		if w.linksAreSlow() {
			w.reportOverSlowLink(k)
			continue
		}
		w.sendReport(k)
		w.checkInvariants()
	}
}
