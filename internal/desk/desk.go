// Package desk is what Slurm-style clients ask of a controller beyond submitting
// and cancelling: numbers, listings, holds, cancels of single tasks, accounting.
// Jobs come in by the same door as everybody's, so the same rules hold for them.
package desk

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/intake"
	"github.com/wallrack/wallrack/internal/jobid"
	"github.com/wallrack/wallrack/internal/listing"
	"github.com/wallrack/wallrack/internal/owner"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/terms"
	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	answerWithin = 3500 * time.Millisecond
	peerWithin   = time.Second
	pageRows     = 500 // jobs and running tasks of one answer
	pagePages    = 24  // of accounting in one answer
	maxInFlight  = 4
)

// Store is what the desk needs of the state service.
type Store interface {
	Get(ctx context.Context, key string) (wire.Item, error)
	Page(ctx context.Context, prefix, after string, limit int) ([]wire.Item, bool, error)
}

// Jobs is the owner in this process.
type Jobs interface {
	Listing(from listing.Cursor, most int) ([]listing.Info, *listing.Cursor)
	InfoHere(uid string) (listing.Info, bool)
	Hold(ctx context.Context, uid string, held bool) error
	Drop(ctx context.Context, uid string, tasks terms.Ranges) error
}

// Peers are the other controllers.
type Peers interface {
	// Owns reports whether this controller owns shards.
	Owns() bool
	Owners() []string
	AskDesk(ctx context.Context, peer string, r Request) (*Reply, error)
}

// Submitter takes jobs.
type Submitter interface {
	Submit(ctx context.Context, r intake.Request) intake.Reply
}

// Catalog knows the machine types.
type Catalog interface {
	All() []wire.MachineType
}

// Request is what one controller asks of another that owns jobs.
type Request struct {
	Verb  string         `json:"verb"`
	UID   string         `json:"uid,omitempty"`
	From  listing.Cursor `json:"from"`
	Tasks string         `json:"tasks,omitempty"`
}

// Verbs of a Request.
const (
	verbList    = "list"
	verbInfo    = "info"
	verbHold    = "hold"
	verbRelease = "release"
	verbDrop    = "drop"
)

// Reply is its answer; status 0 means that the peer can't tell either.
type Reply struct {
	Status int             `json:"status"`
	Why    string          `json:"why,omitempty"`
	Jobs   []listing.Info  `json:"jobs,omitempty"`
	Next   *listing.Cursor `json:"next,omitempty"`
}

// Desk serves Slurm-style clients.
type Desk struct {
	set     *Settings
	cfg     *config.Platform
	store   Store
	jobs    Jobs
	numbers *jobid.Allocator
	peers   Peers
	intake  Submitter
	catalog Catalog
	log     *slog.Logger
	gate    *gate
	slots   chan struct{}
}

// New returns a desk.
func New(set *Settings, cfg *config.Platform, store Store, jobs Jobs, numbers *jobid.Allocator, peers Peers, in Submitter, catalog Catalog, log *slog.Logger) *Desk {
	return &Desk{set: set, cfg: cfg, store: store, jobs: jobs, numbers: numbers, peers: peers, intake: in, catalog: catalog, log: log,
		gate: newGate(set.PerS), slots: make(chan struct{}, maxInFlight)}
}

// Register adds the desk's paths.
func (d *Desk) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /slurm/site", d.site)
	mux.HandleFunc("POST /slurm/numbers", d.take)
	mux.HandleFunc("GET /slurm/numbers/{n}", d.find)
	mux.HandleFunc("POST /slurm/jobs", d.submit)
	mux.HandleFunc("GET /slurm/jobs", d.gated(d.list))
	mux.HandleFunc("GET /slurm/jobs/{uid}", d.about(verbInfo))
	mux.HandleFunc("POST /slurm/jobs/{uid}/hold", d.about(verbHold))
	mux.HandleFunc("POST /slurm/jobs/{uid}/release", d.about(verbRelease))
	mux.HandleFunc("POST /slurm/jobs/{uid}/drop", d.about(verbDrop))
	mux.HandleFunc("GET /accounting/{day}", d.gated(d.accounts))
}

func refuse(w http.ResponseWriter, status, backS int, why string) {
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", strconv.Itoa(max(1, backS)))
	}
	httpjson.Write(w, status, wire.Problem{Error: why})
}

// gated keeps requests that cost much to so many a second: work comes first.
func (d *Desk) gated(f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if back, ok := d.gate.enter(time.Now()); !ok {
			usage.Note(usage.RefusedRequests)
			refuse(w, http.StatusTooManyRequests, back, "too many listings; come back in the time given")
			return
		}
		select {
		case d.slots <- struct{}{}:
			defer func() { <-d.slots }()
			f(w, r)
		default:
			usage.Note(usage.RefusedRequests)
			refuse(w, http.StatusTooManyRequests, 1, "too many listings at once")
		}
	}
}

func (d *Desk) site(w http.ResponseWriter, _ *http.Request) {
	s := listing.Site{Cluster: d.set.Cluster, Accounts: d.set.Accounts, Class: d.set.Class, Team: d.set.Team, Zones: d.cfg.Params.Zones, Types: d.catalog.All()}
	for _, t := range d.cfg.Params.Teams {
		s.Teams = append(s.Teams, t.Name)
	}
	for _, o := range d.cfg.Params.Objectives {
		if o.Class != "" && !slices.Contains(s.Classes, o.Class) {
			s.Classes = append(s.Classes, o.Class)
		}
	}
	if s.Class == "" && len(s.Classes) > 0 {
		s.Class = s.Classes[0]
	}
	if s.Class != "" && !slices.Contains(s.Classes, s.Class) {
		s.Classes = append(s.Classes, s.Class)
	}
	if s.Team == "" && len(s.Teams) > 0 {
		s.Team = s.Teams[0]
	}
	httpjson.Write(w, http.StatusOK, s)
}

func (d *Desk) take(w http.ResponseWriter, r *http.Request) {
	var ask struct {
		Count int `json:"count"`
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<10))
	if err != nil || json.Unmarshal(data, &ask) != nil || ask.Count < 1 || ask.Count > wire.MaxTasks {
		refuse(w, http.StatusBadRequest, 0, "count: 1 to 100000 is needed")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerWithin)
	defer cancel()
	n, err := d.numbers.Next(ctx, ask.Count)
	if err != nil {
		d.unsure(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, jobid.Job{First: n, Tasks: ask.Count})
}

func (d *Desk) unsure(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, statestore.ErrNotFound):
		refuse(w, http.StatusNotFound, 0, "no such job")
	case errors.Is(err, owner.ErrInput):
		refuse(w, http.StatusUnprocessableEntity, 0, err.Error())
	default:
		d.log.Debug("unsure", "err", err)
		refuse(w, http.StatusServiceUnavailable, 1, "can't tell now")
	}
}

func (d *Desk) find(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.ParseUint(r.PathValue("n"), 10, 64)
	if err != nil {
		refuse(w, http.StatusNotFound, 0, "no such job")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerWithin)
	defer cancel()
	j, err := d.numbers.Find(ctx, n)
	if err != nil {
		d.unsure(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, j)
}

func (d *Desk) submit(w http.ResponseWriter, r *http.Request) {
	var s listing.Submission
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBody))
	if err != nil || json.Unmarshal(data, &s) != nil || s.Terms == nil {
		refuse(w, http.StatusBadRequest, 0, "job and terms are needed, in no more than 64 KiB")
		return
	}
	verb := intake.VerbSubmit
	if s.Test {
		verb = intake.VerbCheck
	}
	rep := d.intake.Submit(r.Context(), intake.Request{Verb: verb, Body: s.Job, Terms: s.Terms})
	switch {
	case rep.Status/100 == 2:
		httpjson.Write(w, rep.Status, rep.State)
	case rep.Status == 0:
		refuse(w, http.StatusServiceUnavailable, 1, "can't tell now")
	default:
		refuse(w, rep.Status, 1, rep.Reason)
	}
}

// list joins what all owners have, in the order of the jobs' numbers.
func (d *Desk) list(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), answerWithin)
	defer cancel()
	var from listing.Cursor
	q := r.URL.Query()
	from.Number, _ = strconv.ParseUint(q.Get("number"), 10, 64) // from the beginning if it is none
	from.On, _ = strconv.Atoi(q.Get("on"))
	from.Task, _ = strconv.Atoi(q.Get("task"))
	from.On, from.Task = max(0, from.On), max(0, from.Task)
	page := listing.Page{Jobs: []listing.Info{}, NowMs: time.Now().UnixMilli()}
	owners := d.peers.Owners()
	add := func(rep Reply) {
		page.Jobs = append(page.Jobs, rep.Jobs...)
		if rep.Next != nil && (page.Next == nil || rep.Next.Number < page.Next.Number) {
			page.Next = rep.Next
		}
	}
	req := Request{Verb: verbList, From: from}
	if d.peers.Owns() {
		add(d.Serve(ctx, req))
	} else if len(owners) == 0 {
		refuse(w, http.StatusServiceUnavailable, 1, "nobody owns the jobs now")
		return
	}
	for _, p := range owners {
		rep, ok := d.ask(ctx, p, req)
		if !ok {
			refuse(w, http.StatusServiceUnavailable, 1, "an owner of jobs does not answer")
			return
		}
		add(rep)
	}
	if len(owners) > 0 {
		slices.SortStableFunc(page.Jobs, func(a, b listing.Info) int { return int(int64(a.Terms.Number) - int64(b.Terms.Number)) })
		if page.Next != nil {
			// Beyond where the first owner's part ends, others' jobs come again.
			page.Jobs = slices.DeleteFunc(page.Jobs, func(i listing.Info) bool {
				return i.Terms.Number > page.Next.Number || i.Terms.Number == page.Next.Number && page.Next.On+page.Next.Task == 0
			})
		}
	}
	lines(w, "jobs", page.Jobs, map[string]any{"next": page.Next, "now": page.NowMs})
}

func (d *Desk) ask(ctx context.Context, peer string, req Request) (Reply, bool) {
	actx, cancel := context.WithTimeout(ctx, peerWithin)
	defer cancel()
	rep, err := d.peers.AskDesk(actx, peer, req)
	if err != nil {
		d.log.Debug("peer did not answer", "peer", peer, "err", err)
		return Reply{}, false
	}
	return *rep, rep.Status != 0
}

// about serves a request about one job: its owner's to answer.
func (d *Desk) about(verb string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req := Request{Verb: verb, UID: r.PathValue("uid")}
		if !wire.ValidJobID(req.UID) {
			refuse(w, http.StatusNotFound, 0, "no such job")
			return
		}
		if verb == verbDrop {
			var ask struct {
				Tasks string `json:"tasks"`
			}
			data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 16<<10))
			if err != nil || json.Unmarshal(data, &ask) != nil {
				refuse(w, http.StatusBadRequest, 0, "tasks: ranges of numbers are needed")
				return
			}
			if _, err := terms.ParseRanges(ask.Tasks); err != nil {
				refuse(w, http.StatusBadRequest, 0, "tasks: "+err.Error())
				return
			}
			req.Tasks = ask.Tasks
		}
		ctx, cancel := context.WithTimeout(r.Context(), answerWithin)
		defer cancel()
		rep := Reply{}
		for _, p := range d.peers.Owners() {
			if got, ok := d.ask(ctx, p, req); ok {
				rep = got
				break
			}
		}
		if rep.Status == 0 {
			rep = d.Serve(ctx, req)
		}
		if rep.Status == 0 && verb == verbInfo {
			i, err := owner.StoredInfo(ctx, d.store, req.UID)
			if err != nil {
				d.unsure(w, err)
				return
			}
			rep = Reply{Status: http.StatusOK, Jobs: []listing.Info{i}}
		}
		switch {
		case rep.Status == 0:
			refuse(w, http.StatusServiceUnavailable, 1, "can't tell now")
		case rep.Status != http.StatusOK:
			refuse(w, rep.Status, 1, rep.Why)
		case verb == verbInfo && len(rep.Jobs) == 1:
			httpjson.Write(w, http.StatusOK, rep.Jobs[0])
		default:
			httpjson.Write(w, http.StatusOK, struct{}{})
		}
	}
}

// Serve answers with this controller's own means.
func (d *Desk) Serve(ctx context.Context, r Request) Reply {
	var err error
	switch r.Verb {
	case verbList:
		jobs, next := d.jobs.Listing(r.From, pageRows)
		return Reply{Status: http.StatusOK, Jobs: jobs, Next: next}
	case verbInfo:
		i, ok := d.jobs.InfoHere(r.UID)
		if !ok {
			return Reply{}
		}
		return Reply{Status: http.StatusOK, Jobs: []listing.Info{i}}
	case verbHold, verbRelease:
		err = d.jobs.Hold(ctx, r.UID, r.Verb == verbHold)
	case verbDrop:
		var tasks terms.Ranges
		if tasks, err = terms.ParseRanges(r.Tasks); err == nil {
			err = d.jobs.Drop(ctx, r.UID, tasks)
		}
	default:
		return Reply{Status: http.StatusBadRequest, Why: "unknown verb"}
	}
	switch {
	case err == nil:
		return Reply{Status: http.StatusOK}
	case errors.Is(err, owner.ErrInput):
		return Reply{Status: http.StatusUnprocessableEntity, Why: err.Error()}
	case errors.Is(err, statestore.ErrNotFound):
		return Reply{Status: http.StatusNotFound, Why: "no such job is waiting or running"}
	}
	d.log.Debug("unsure", "err", err)
	return Reply{}
}

// accounts hands on a part of a day's pages as they are: unpacking them is the
// client's work.
func (d *Desk) accounts(w http.ResponseWriter, r *http.Request) {
	prefix, err := accounting.DayPrefix(r.PathValue("day"))
	if err != nil {
		refuse(w, http.StatusBadRequest, 0, err.Error())
		return
	}
	after := r.URL.Query().Get("after")
	if after != "" {
		after = prefix + after
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerWithin)
	defer cancel()
	items, more, err := d.store.Page(ctx, prefix, after, pagePages)
	if err != nil {
		d.unsure(w, err)
		return
	}
	out := listing.Rows{Pages: []string{}}
	for _, it := range items {
		var text string
		if err := json.Unmarshal(it.Value, &text); err != nil {
			d.log.Error("unreadable accounting page", "key", it.Key, "err", err)
			continue
		}
		out.Pages = append(out.Pages, text)
		if more {
			out.Next = it.Key[len(prefix):]
		}
	}
	lines(w, "pages", out.Pages, map[string]any{"next": out.Next})
}

// lines answers with an object whose long list has a line for each of its items:
// no line of an answer may be over 64 KiB.
func lines[T any](w http.ResponseWriter, name string, items []T, rest map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	out := append([]byte(nil), `{"`+name+"\":["...)
	for i := range items {
		if i > 0 {
			out = append(out, ',')
		}
		data, _ := json.Marshal(items[i]) // messages of this package can be encoded
		out = append(append(out, '\n'), data...)
	}
	out = append(out, "\n]"...)
	for k, v := range rest {
		data, _ := json.Marshal(v)
		out = append(append(out, `,"`+k+`":`...), data...)
	}
	_, _ = w.Write(append(out, "}\n"...)) // a client that left asks again
}
