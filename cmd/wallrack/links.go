package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/cancels"
	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/links"
	"github.com/wallrack/wallrack/internal/machine"
	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/recovery"
	"github.com/wallrack/wallrack/internal/statestore"
)

const (
	pingEvery = time.Second
	storeLost = 3 * time.Second        // the state service unheard for so long counts as lost
	viewFor   = 100 * time.Millisecond // how long a view is used before it is made anew
	namesPart = 0.5                    // of a value's limit in the state service, for the names of machines
	lookEvery = 250 * time.Millisecond
	tryWithin = 500 * time.Millisecond // for machines that are tried
	askWithin = 2 * time.Second        // for a peer that asks a silent machine
	triedFor  = 3 * time.Second        // how long the outcome counts
	atOnce    = 500 * time.Millisecond // between rows that are announced for a reason
)

// pingMessage carries a controller's row, and others' rows to those who lack them.
type pingMessage struct {
	Row     links.Row        `json:"row"`
	Cancels *cancels.Message `json:"cancels,omitempty"`
	Passed  []links.Relayed  `json:"passed,omitempty"`
}

// forwardMessage is a message that a third controller passes on.
type forwardMessage struct {
	To     string          `json:"to"`
	Method string          `json:"method"`
	Body   json.RawMessage `json:"body"`
}

// seenMessage asks whether a machine lives.
type seenMessage struct {
	Machine  string `json:"machine"`
	Endpoint string `json:"endpoint"`
	Deaf     bool   `json:"deaf,omitempty"` // that it is heard is known: does it answer?
}

type seenReply struct {
	Lives bool `json:"lives"` // it was heard lately, or answers
}

// linkState is this controller's view of the links, and what it does about it.
type linkState struct {
	node  *node
	table *links.Table
	born  int64
	ears  func() links.Ears
	view  atomic.Pointer[madeView]

	mu      sync.Mutex
	seq     uint64
	reports int     // see links.Row
	expects float64 // see links.Row
	names   *links.Names
	sample  []string  // see links.Row
	tried   time.Time // when a sample was last tried here
	reaches float64
	urgent  bool // others wait for this row
	silence links.Silence
	told    map[string]toldLink
	kept    int // machines kept although silent, as last logged
}

type madeView struct {
	links.View
	at time.Time
}

func (s *linkState) init(n *node) {
	w := n.cfg.Params.Workers
	var peers []string
	for _, p := range n.cfg.Peers {
		peers = append(peers, p.Node)
	}
	s.node, s.table, s.born = n, links.NewTable(n.cfg.Node, peers), time.Now().UnixMilli()
	s.told = map[string]toldLink{}
	s.silence = links.Silence{Base: config.Seconds(n.op.SilentS), Lease: config.Seconds(w.LeaseS), Report: config.Seconds(w.ReportS), Grace: n.grace()}
}

// grace is how long after the last time up to which it knows of all cancels this
// controller may answer workers: a worker's lease counts from the send of the report
// that was answered last, and what it runs may have been cancelled just after that
// time.
func (n *node) grace() time.Duration {
	w := n.cfg.Params.Workers
	return config.Seconds(max(2, w.CancelS-w.LeaseS*1.002-cancelSlack))
}

// changed makes the next view afresh.
func (s *linkState) changed() { s.view.Store(nil) }

// self is this controller's row.
func (s *linkState) self(now time.Time) links.Row {
	n := s.node
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	r := links.Row{Node: n.cfg.Node, Born: s.born, Seq: s.seq, State: n.store.SinceOK() < storeLost && !n.store.Relayed(),
		Held: n.member.Held() > 0, Owns: len(n.member.Own()) > 0, Chief: n.chief(), Cloud: n.cloud.Reached(),
		Reports: s.reports, Expected: s.expects, Lacks: s.table.Lacks(now),
		Sample: s.sample, Tried: now.Sub(s.tried) < triedFor}
	if r.Tried {
		r.Reaches = s.reaches
	}
	r.Heard = s.names
	return r
}

// now returns the links as they are seen here now.
func (s *linkState) now() *links.View {
	now := time.Now()
	if v := s.view.Load(); v != nil && now.Sub(v.at) < viewFor {
		return &v.View
	}
	v := &madeView{s.table.View(s.self(now), now), now}
	s.view.Store(v)
	return &v.View
}

func (n *node) handleLinks() {
	mesh.Handle(n.mesh, methodPing, func(_ context.Context, m *pingMessage) (*pingMessage, error) {
		now := time.Now()
		n.links.table.Take(m.Row, links.Direct, 0, now)
		n.links.table.TakePassed(m.Passed, now)
		n.tookCancels(m.Row.Node, m.Cancels)
		n.try(m.Row.Sample)
		return n.pingTo(m.Row.Node, time.Now()), nil
	})
	mesh.Handle(n.mesh, methodForward, func(ctx context.Context, m *forwardMessage) (*json.RawMessage, error) {
		if m.Method == methodForward {
			return nil, fmt.Errorf("%s: once is enough", m.Method)
		}
		return mesh.Call[json.RawMessage, json.RawMessage](ctx, n.mesh, m.To, m.Method, &m.Body)
	})
	mesh.Handle(n.mesh, methodSeen, func(ctx context.Context, m *seenMessage) (*seenReply, error) {
		return &seenReply{!m.Deaf && n.holder.Seen(m.Machine).Seconds() < n.op.SilentS || m.Endpoint != "" && n.holder.Ask(ctx, m.Machine, m.Endpoint)}, nil
	})
	mesh.Handle(n.mesh, methodStore, func(ctx context.Context, m *statestore.Passed) (*statestore.Answered, error) {
		return n.store.Pass(ctx, *m)
	})
}

func (n *node) pingTo(peer string, now time.Time) *pingMessage {
	told := n.cancels.Message(peer)
	return &pingMessage{Row: n.links.self(now), Passed: n.links.table.Passed(peer, now), Cancels: &told}
}

// ping keeps the peers' rows fresh: a ping carries this controller's row, its
// answer the peer's.
func (n *node) ping(ctx context.Context) error {
	tick := time.NewTicker(pingEvery)
	defer tick.Stop()
	for {
		for _, s := range n.cfg.Peers {
			if n.links.table.HeardWithin(s.Node, pingEvery*3/4, time.Now()) {
				continue // it has just pinged this controller
			}
			go n.pingPeer(ctx, s.Node)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

func (n *node) pingPeer(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, pingEvery)
	defer cancel()
	rep, err := mesh.Call[pingMessage, pingMessage](ctx, n.mesh, peer, methodPing, n.pingTo(peer, time.Now()))
	n.called(peer, err, true)
	if err == nil {
		now := time.Now()
		n.links.table.Take(rep.Row, links.Direct, 0, now)
		n.links.table.TakePassed(rep.Passed, now)
		n.tookCancels(peer, rep.Cancels)
	}
}

// try finds out whether this controller reaches machines that another one, or this
// one, is in doubt about.
func (n *node) try(sample []string) {
	s := &n.links
	s.mu.Lock()
	if len(sample) == 0 || time.Since(s.tried) < triedFor/2 {
		s.mu.Unlock()
		return
	}
	s.mu.Unlock()
	share := n.holder.Try(n.ctx, sample[:min(len(sample), links.SampleSize)], tryWithin)
	s.mu.Lock()
	s.tried, s.reaches, s.urgent = time.Now(), share, true
	s.mu.Unlock()
	s.changed()
}

// doubt looks whether this owner still reaches the workers when none reports any
// more, and has its peers look too.
func (n *node) doubt(ctx context.Context) {
	s := &n.links
	s.mu.Lock()
	perSecond := s.expects / machine.ArrivalWindow.Seconds()
	was := len(s.sample) > 0
	s.mu.Unlock()
	in := len(n.member.Own()) > 0 && links.Doubts(perSecond, n.holder.Quiet()) && s.ears().Late < lookEvery
	if in == was {
		return
	}
	var sample []string
	if in {
		sample = n.holder.Sample(links.SampleSize)
	}
	s.mu.Lock()
	s.sample, s.urgent = sample, in
	s.mu.Unlock()
	s.changed()
	if !in {
		return
	}
	go n.try(sample)
	for _, p := range n.cfg.Peers {
		go n.pingPeer(ctx, p.Node)
	}
}

// called notes how a call to a peer ended. Only pings, which take no time, tell of
// the link by being late.
func (n *node) called(peer string, err error, ping bool) {
	refused, late := mesh.Unanswered(err)
	if refused || !late || ping {
		n.links.table.Called(peer, !refused && !late, refused)
	}
}

// call sends a message to a peer, by a third if the peer is not reached from here.
func call[Req, Rep any](ctx context.Context, n *node, peer, method string, req *Req) (*Rep, error) {
	way := n.links.now().Way(peer)
	if way == peer {
		rep, err := mesh.Call[Req, Rep](ctx, n.mesh, peer, method, req)
		n.called(peer, err, false)
		return rep, err
	}
	body, err := json.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("%s to %s: %w", method, peer, err)
	}
	raw, err := mesh.Call[forwardMessage, json.RawMessage](ctx, n.mesh, way, methodForward, &forwardMessage{To: peer, Method: method, Body: body})
	if err != nil {
		return nil, fmt.Errorf("%s to %s by %s: %w", method, peer, way, err)
	}
	rep := new(Rep)
	if err := json.Unmarshal(*raw, rep); err != nil {
		return nil, fmt.Errorf("%s to %s by %s: %w", method, peer, way, err)
	}
	return rep, nil
}

// stored takes a row that a controller wrote to the state service.
func (n *node) stored(value json.RawMessage) {
	var r links.Row
	if err := json.Unmarshal(value, &r); err != nil {
		n.log.Debug("unreadable row of links", "err", err)
		return
	}
	n.links.table.Take(r, links.Stored, 0, time.Now())
	if r.Node != n.cfg.Node && len(r.Sample) > 0 {
		go n.try(r.Sample)
	}
}

// Ready reports whether a peer can pass requests to the state service on.
func (n *node) Ready() bool { return len(n.links.now().Served()) > 0 }

// Pass has a peer pass a request to the state service on.
func (n *node) Pass(ctx context.Context, req statestore.Passed) (*statestore.Answered, error) {
	by := n.links.now().Served()
	if len(by) == 0 {
		return nil, fmt.Errorf("%w: no peer reaches it", statestore.ErrUnavailable)
	}
	rep, err := mesh.Call[statestore.Passed, statestore.Answered](ctx, n.mesh, by[0], methodStore, &req)
	n.called(by[0], err, false)
	return rep, err // a connection that breaks after the request was sent looks like a refused one
}

// watchLinks looks at the links once a second: it announces this controller's row to
// those that the mesh does not reach, and hands the jobs over to a controller that
// hears the workers when this one does not any more.
func (n *node) watchLinks(ctx context.Context) error {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	var w links.Watch
	var announced, listened time.Time
	pause := links.AnnouncePause(len(n.cfg.Peers) + 1)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		now := time.Now()
		n.doubt(ctx)
		if time.Since(listened) >= time.Second {
			listened = now
			n.listen()
			n.tellLinks(n.links.now())
		}
		v := n.links.now()
		if n.links.due(now, announced, pause) && v.Self.Held && slices.ContainsFunc(v.Unreached(), n.member.Alive) {
			announced = now
			actx, cancel := context.WithTimeout(ctx, time.Second)
			if err := n.member.Announce(actx, n.links.self(now)); err != nil {
				n.log.Debug("row not announced", "err", err)
			}
			cancel()
		}
		to := w.Look(now, v, n.member.Moves(links.Window))
		if to == "" {
			continue
		}
		n.log.Info("workers are not heard here: handing over", "to", to, "heard", v.Self.Reports, "expected", v.Self.Expected,
			"tried", v.Self.Tried, "reached", v.Self.Reaches)
		if err := n.member.HandOver(ctx, to); err != nil {
			n.log.Info("handing over failed", "err", err)
		}
	}
}

// due reports whether this controller's row is to be announced: now and then, or at
// once if others wait for it.
func (s *linkState) due(now, last time.Time, pause time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.urgent && now.Sub(last) >= atOnce {
		s.urgent = false
		return true
	}
	return now.Sub(last) >= pause
}

// listen counts what is heard here.
func (n *node) listen() {
	heard, machines := n.holder.Arrivals()
	var names *links.Names
	if now := time.Now(); len(n.links.table.Lacks(now)) > 0 || n.links.table.Lacked(now) {
		names = links.NewNames(n.holder.HeardWithin(config.Seconds(n.cfg.Params.Workers.LeaseS)), int(n.cfg.Params.State.ValueKB*namesPart*1024))
	}
	s := &n.links
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports, s.names = heard, names
	s.expects = float64(machines) / n.cfg.Params.Workers.ReportS * machine.ArrivalWindow.Seconds()
}

// toldLink is how a link was when it last changed, and when.
type toldLink struct {
	how   string
	since time.Time
}

// Names of links, beside those of the peers.
const (
	linkStore   = "state service"
	linkWorkers = "workers"
)

// tellLinks logs each change of a link.
func (n *node) tellLinks(v *links.View) {
	s := &n.links
	s.mu.Lock()
	defer s.mu.Unlock()
	tell := func(link, how string) {
		old, known := s.told[link]
		if known && old.how == how {
			return
		}
		if known {
			n.log.Info("link", "to", link, "is", how, "was", old.how, "for_s", time.Since(old.since).Seconds())
		}
		s.told[link] = toldLink{how, time.Now()}
	}
	for i := range v.Peers {
		tell(v.Peers[i].Name, v.Peers[i].How())
	}
	tell(linkStore, v.StateBy(n.store.Relayed()))
	workers := "heard"
	if v.Self.Deaf() {
		workers = "not heard"
	}
	tell(linkWorkers, workers)
}

// lost names the machines that this owner gives up, and why.
func (n *node) lost() map[string]string {
	s := &n.links
	out := n.owner.Stuck()
	known, silent := n.owner.Silent(s.silence.From())
	v := n.links.now()
	s.mu.Lock()
	verdict := s.silence.Judge(time.Now(), v, s.ears(), known, silent)
	if (verdict.Kept > 0) != (s.kept > 0) {
		n.log.Info("silent machines are kept", "machines", verdict.Kept, "known", known, "why", verdict.Why)
	}
	s.kept = verdict.Kept
	s.mu.Unlock()
	for name, why := range verdict.Back {
		out[name] = why
	}
	for name, m := range verdict.Ask {
		go func() {
			ok := n.lives(m)
			if ok && m.Deaf {
				n.owner.Answered(name)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.silence.Asked(name, ok, time.Now())
		}()
	}
	return out
}

// lives asks a machine, and has all peers ask it, whether it lives.
func (n *node) lives(m links.Machine) bool {
	name, endpoint := m.Name, m.Endpoint
	answers := make(chan bool, 1+len(n.cfg.Peers))
	go func() { answers <- endpoint != "" && n.holder.Ask(n.ctx, name, endpoint) }()
	for _, p := range n.cfg.Peers {
		go func() {
			ctx, cancel := context.WithTimeout(n.ctx, askWithin)
			defer cancel()
			rep, err := call[seenMessage, seenReply](ctx, n, p.Node, methodSeen, &seenMessage{name, endpoint, m.Deaf})
			answers <- err == nil && rep.Lives
		}()
	}
	for range 1 + len(n.cfg.Peers) {
		if <-answers {
			return true
		}
	}
	return false
}

// chief is the owner of most shards, as far as this controller knows.
func (n *node) chief() string {
	if owners := n.member.Owners(); len(owners) > 0 {
		return owners[0]
	}
	return ""
}

// Foreman names the controller that should hold workers.
func (n *node) Foreman() string { return n.links.now().Foreman() }

// Entitled reports whether this controller may answer workers: it knows of all
// cancels that were confirmed up to a moment ago, by whomever.
func (n *node) Entitled() bool {
	return n.member.Term() != 0 && time.Since(n.cancels.Known()) < n.grace()
}

// Alone reports whether this controller can start nothing and knows of nobody who can.
func (n *node) Alone() bool { return n.links.now().Alone() && len(n.member.Own()) == 0 }

// Owners names the other controllers that own shards.
func (n *node) Owners() []string {
	var out []string
	add := func(name string) {
		if name != "" && name != n.cfg.Node && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	if n.member.Held() > 0 {
		for _, o := range n.member.Owners() {
			add(o)
		}
		return out
	}
	v := n.links.now()
	for i := range v.Peers {
		if p := &v.Peers[i]; p.Fresh() && p.Row.Held {
			add(p.Row.Chief)
		}
	}
	return out
}

// Served names the other controllers that reach the state service.
func (n *node) Served() []string { return n.links.now().Served() }

// Up fails only when this controller can't serve and a peer can.
func (n *node) Up() bool {
	up := n.member.Term() != 0 && n.links.now().Up()
	if up {
		n.times.Mark(recovery.Up)
	}
	return up
}

// serveLinks shows operators this controller's view of the links.
func (n *node) serveLinks(w http.ResponseWriter, _ *http.Request) {
	shown := n.links.now().Show(n.store.Relayed())
	shown.Cancelled, shown.Answers = n.cancels.Jobs(), n.Entitled()
	if known := n.cancels.Known(); !known.IsZero() {
		shown.CancelsAgeS = time.Since(known).Seconds()
	}
	s := &n.links
	s.mu.Lock()
	shown.Kept = s.kept
	for link, t := range s.told {
		shown.Links = append(shown.Links, links.ShownLink{To: link, Is: t.how, SinceS: time.Since(t.since).Seconds()})
	}
	s.mu.Unlock()
	slices.SortFunc(shown.Links, func(a, b links.ShownLink) int { return strings.Compare(a.To, b.To) })
	httpjson.Write(w, http.StatusOK, shown)
}
