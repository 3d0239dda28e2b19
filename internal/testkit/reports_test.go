package testkit_test

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// sendReport lets a worker sendReport, and checks the rule that a task is on one
// machine at a time.
func (w *cluster) sendReport(k *testkit.Worker) {
	w.mu.Lock()
	if k.Hangs() {
		w.mu.Unlock()
		return
	}
	rep := k.Report()
	rep.Endpoint = k.Name
	n := w.nodes[w.names[w.dispatcherOf[k]%len(w.names)]]
	sent := time.Now()
	next := !w.losslessReports && w.rnd.IntN(30) == 0 || n.down || !w.linkWorks(k.Name, n.name) // a lost report: the worker tries the next one
	w.mu.Unlock()
	if next {
		w.mu.Lock()
		w.dispatcherOf[k]++
		w.mu.Unlock()
		return
	}
	w.travel()
	if n.ended() { // while the report was on its way
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
	w.travel()
	w.mu.Lock()
	defer w.mu.Unlock()
	if status == http.StatusOK && w.linkWorks(n.name, k.Name) {
		w.recordHeartbeat(k.Name) // one that nobody answers loses its tasks, and may go
	}
	if w.copies = append(w.copies, rep); len(w.copies) > maxReportCopies {
		w.copies = w.copies[maxReportCopies/2:]
	}
	if !w.linkWorks(n.name, k.Name) {
		w.dispatcherOf[k]++
		return
	}
	if !w.losslessReports && w.rnd.IntN(30) == 0 {
		return // the answer is lost
	}
	switch a := body.(type) {
	case wire.ReportResponse:
		w.checks.sent(n, answered)
		k.Answer(sent, rep.Session, a)
	case wire.Redirect:
		w.dispatcherOf[k]++
		for i, x := range w.names {
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

// maxReportCopies is how many reports may be delivered late: those of a minute or so.
const maxReportCopies = 800

// deliverLateReports delivers late copies of reports to a controller, in any order and
// perhaps more than once.
func (w *cluster) deliverLateReports(to *node) {
	w.mu.Lock()
	late := slices.Clone(w.copies)
	w.rnd.Shuffle(len(late), func(i, j int) { late[i], late[j] = late[j], late[i] })
	w.mu.Unlock()
	if to.down {
		return
	}
	for _, rep := range late[:len(late)/2] {
		again := *rep
		again.Tasks = slices.Clone(rep.Tasks)
		to.dispatcher.HandleReport(context.Background(), &again) // whatever is answered reaches nobody
		w.check()
	}
}

// publishViews hands the views of each controller to the leaders elsewhere, and
// lets the leaders settle unresponsive workers by attestation.
func (w *cluster) publishViews() {
	w.mu.Lock()
	nodes := make([]*node, 0, len(w.names))
	for _, name := range w.names {
		if n := w.nodes[name]; !n.down {
			nodes = append(nodes, n)
		}
	}
	w.mu.Unlock()
	for _, n := range nodes {
		n.published.Gather(time.Since(n.started).Milliseconds(), w.others(n.name))
		for _, to := range nodes {
			w.mu.Lock()
			ok := to != n && w.reach(n, to)
			w.mu.Unlock()
			if ok {
				w.besideSlow(func() { n.publishTo(to) })
			}
		}
	}
	unheard := map[string]string{}
	for _, k := range w.workers {
		unheard[k.Name] = k.Name
	}
	for _, n := range nodes {
		if len(n.member.LedShards()) > 0 {
			if !w.unlisted {
				n.onDuty("probe", func(ctx context.Context) { n.dispatcher.PollReports(ctx, unheard, 3*reportEvery) })
			}
			n.onDuty("leases", n.pollExpiringLeases)
		}
	}
	if len(nodes) < len(w.names) {
		return
	}
	for _, n := range nodes {
		n.onDuty("attest", n.attest)
	}
}

// sendReports lets every worker report.
func (w *cluster) sendReports() {
	for _, k := range w.workers {
		if w.linksAreSlow() {
			w.reportSlowly(k)
			continue
		}
		w.sendReport(k)
		w.check()
	}
}
