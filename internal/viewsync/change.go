package viewsync

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	// forTolerance is by how many seconds the age of a task's state may be off before it
	// is told anew.
	forTolerance = 0.05
	// waitTolerance is the same for the waits of a matrix.
	waitTolerance = 0.1
	// ageTolerance is the same for the age of a report, and of its answer.
	ageTolerance = 0.02

	perSecond = 1000 // times are told in ms
	perShape  = 1e9  // and amounts rounded: sums of fractions take 17 digits otherwise
)

// ErrMalformed means that a change does not fit what it is to change.
var ErrMalformed = errors.New("malformed change")

// Site is what a machine's reports say that hardly ever changes.
type Site struct {
	Type     string `json:"t"`
	Zone     string `json:"z"`
	Spot     bool   `json:"s,omitempty"`
	Endpoint string `json:"e,omitempty"`
}

// Condition is a machine's state apart from its tasks.
type Condition struct {
	NoticeS  *float64 `json:"n,omitempty"`
	Draining bool     `json:"d,omitempty"`
	Asked    bool     `json:"a,omitempty"`
}

// TaskKey names a listed task.
type TaskKey struct {
	Task    string `json:"t"`
	Attempt uint64 `json:"a"`
}

// Change is what changed in the view of one machine. What is left out is as before; times
// go on by themselves.
type Change struct {
	Name         string               `json:"n"`
	BackMs       int64                `json:"b,omitempty"` // by which the view is older than its frame
	Anew         bool                 `json:"f,omitempty"` // whatever was known of the machine is replaced
	Site         *Site                `json:"i,omitempty"`
	Session      uint64               `json:"e,omitempty"`
	Seq          uint64               `json:"s,omitempty"`
	Token        uint64               `json:"k,omitempty"`
	AgeMs        *int64               `json:"a,omitempty"`
	UnansweredMs *int64               `json:"u,omitempty"`
	Condition    *Condition           `json:"c,omitempty"`
	AllTasks     bool                 `json:"l,omitempty"` // Tasks is the whole list
	Tasks        []dispatch.TaskView  `json:"t,omitempty"` // new or changed
	Unlisted     []TaskKey            `json:"x,omitempty"`
	Queue        []dispatch.QueueView `json:"q,omitempty"`
	NoQueue      bool                 `json:"o,omitempty"` // the queue is empty now
	Matrix       []float64            `json:"m,omitempty"` // see packed
	NoMatrix     bool                 `json:"y,omitempty"` // there is no matrix any more
	Waits        []float64            `json:"w,omitempty"` // of the matrix, whose amounts are as before
}

// inOrder reports whether a matrix's rows stand in the order of their waits: look-ups take
// the first row that fits for the earliest.
func inOrder(m matching.WaitMatrix) bool {
	for i := range m {
		if m[i].Wait < 0 || i > 0 && m[i].Wait < m[i-1].Wait {
			return false
		}
	}
	return true
}

// rowFigures is how many figures a row of a matrix takes: its wait, CPUs, GPUs, memory.
const rowFigures = 4

// packed is a matrix row by row without names, which would take half of a change.
func packed(m matching.WaitMatrix) []float64 {
	figures := make([]float64, 0, rowFigures*len(m))
	for _, row := range m {
		figures = append(figures, row.Wait, row.Free.CPUs, row.Free.GPUs, row.Free.MemoryGB)
	}
	return figures
}

func unpacked(figures []float64) matching.WaitMatrix {
	m := make(matching.WaitMatrix, 0, len(figures)/rowFigures)
	for row := range slices.Chunk(figures, rowFigures) {
		m = append(m, matching.WaitRow{Wait: row[0], Free: matching.Resources{CPUs: row[1], GPUs: row[2], MemoryGB: row[3]}})
	}
	return m
}

// state is a machine's view as of a time on its holder's steady clock.
type state struct {
	atMs int64
	view dispatch.WorkerView
}

func milliseconds(seconds float64) int64 { return int64(math.Round(seconds * perSecond)) }

func rounded(seconds float64) float64 { return float64(milliseconds(seconds)) / perSecond }

func roundedShape(s matching.Resources) matching.Resources {
	round := func(x float64) float64 { return math.Round(x*perShape) / perShape }
	return matching.Resources{CPUs: round(s.CPUs), GPUs: round(s.GPUs), MemoryGB: round(s.MemoryGB)}
}

// rounding gives a view the precision in which it is told.
func rounding(v dispatch.WorkerView) dispatch.WorkerView {
	v.AgeS, v.UnansweredS = rounded(v.AgeS), rounded(v.UnansweredS)
	v.Tasks = slices.Clone(v.Tasks)
	for i := range v.Tasks {
		v.Tasks[i].ForS = rounded(v.Tasks[i].ForS)
	}
	slices.SortStableFunc(v.Tasks, byKey)
	v.Queue = slices.Clone(v.Queue)
	for i := range v.Queue {
		v.Queue[i].WaitS = rounded(v.Queue[i].WaitS)
	}
	v.Matrix = slices.Clone(v.Matrix)
	for i := range v.Matrix {
		v.Matrix[i] = matching.WaitRow{Wait: rounded(v.Matrix[i].Wait), Free: roundedShape(v.Matrix[i].Free)}
	}
	if !inOrder(v.Matrix) {
		v.Matrix = nil // the owner would refuse the whole frame for it
	}
	return v
}

// advanced lets time pass: ages grow, waits shrink.
func (s state) advanced(toMs int64) state {
	passed := float64(toMs-s.atMs) / perSecond
	v := s.view
	v.AgeS, v.UnansweredS = rounded(v.AgeS+passed), rounded(v.UnansweredS+passed)
	v.Tasks = slices.Clone(v.Tasks)
	for i := range v.Tasks {
		v.Tasks[i].ForS = rounded(v.Tasks[i].ForS + passed)
	}
	v.Matrix = slices.Clone(v.Matrix)
	for i := range v.Matrix {
		if w := v.Matrix[i].Wait; w > 0 {
			v.Matrix[i].Wait = rounded(max(0, w-passed))
		}
	}
	return state{toMs, v}
}

func site(v *dispatch.WorkerView) Site { return Site{v.Type, v.Zone, v.Spot, v.Endpoint} }

func condition(v *dispatch.WorkerView) Condition { return Condition{v.NoticeS, v.Draining, v.Asked} }

func sameValue[T comparable](a, b *T) bool {
	return a == b || a != nil && b != nil && *a == *b
}

func (c Condition) same(o Condition) bool {
	return sameValue(c.NoticeS, o.NoticeS) && c.Draining == o.Draining && c.Asked == o.Asked
}

func key(t *dispatch.TaskView) TaskKey { return TaskKey{t.Task.Task, t.Attempt} }

// byKey orders tasks, whose order in a report means nothing: else one that is new among
// them had all told.
func byKey(a, b dispatch.TaskView) int {
	return cmp.Or(cmp.Compare(a.Task.Task, b.Task.Task), cmp.Compare(a.Attempt, b.Attempt))
}

func sameTask(a, b wire.Task) bool {
	exit := sameValue(a.Exit, b.Exit)
	a.Exit, b.Exit = nil, nil
	return exit && a == b
}

func sameListed(a, b dispatch.TaskView) bool {
	return sameTask(a.Task, b.Task) && a.Unknown == b.Unknown && near(a.ForS, b.ForS, forTolerance)
}

func near(a, b, tolerance float64) bool { return math.Abs(a-b) <= tolerance }

func sameTasks(a, b []dispatch.TaskView) bool {
	return slices.EqualFunc(a, b, func(x, y dispatch.TaskView) bool {
		return sameListed(x, y)
	})
}

func sameFree(a, b matching.WaitMatrix) bool {
	return slices.EqualFunc(a, b, func(x, y matching.WaitRow) bool { return x.Free == y.Free })
}

func sameMatrix(a, b matching.WaitMatrix) bool {
	return slices.EqualFunc(a, b, func(x, y matching.WaitRow) bool {
		return x.Free == y.Free && near(x.Wait, y.Wait, waitTolerance) && (x.Wait > 0) == (y.Wait > 0)
	})
}

// diff returns what changed from old, nil for a machine that is not known yet, to the view
// now, both rounded.
func diff(old *state, now state) Change {
	v := &now.view
	c := Change{Name: v.Name, Anew: old == nil}
	was := state{atMs: now.atMs}
	if old != nil {
		was = old.advanced(now.atMs)
	}
	w := &was.view
	if v.Session == 0 && w.Session != 0 || v.Seq == 0 && w.Seq != 0 || v.Token == 0 && w.Token != 0 {
		return diff(nil, now) // 0 says that nothing changed
	}
	if s := site(v); old == nil || s != site(w) {
		c.Site = &s
	}
	if v.Session != w.Session {
		c.Session = v.Session
	}
	if v.Seq != w.Seq {
		c.Seq = v.Seq
	}
	if v.Token != w.Token {
		c.Token = v.Token
	}
	if !near(v.AgeS, w.AgeS, ageTolerance) {
		ms := milliseconds(v.AgeS)
		c.AgeMs = &ms
	}
	if !near(v.UnansweredS, w.UnansweredS, ageTolerance) {
		ms := milliseconds(v.UnansweredS)
		c.UnansweredMs = &ms
	}
	if is := condition(v); !is.same(condition(w)) {
		c.Condition = &is
	}
	c.tasks(w.Tasks, v.Tasks)
	if !slices.Equal(v.Queue, w.Queue) {
		c.Queue, c.NoQueue = v.Queue, len(v.Queue) == 0
	}
	switch {
	case sameMatrix(v.Matrix, w.Matrix):
	case len(v.Matrix) == 0:
		c.NoMatrix = true
	case sameFree(v.Matrix, w.Matrix):
		for _, row := range v.Matrix {
			c.Waits = append(c.Waits, row.Wait)
		}
	default:
		c.Matrix = packed(v.Matrix)
	}
	return c
}

// tasks notes which listed tasks changed, or all of them if that would not give their list.
func (c *Change) tasks(was, now []dispatch.TaskView) {
	before := make(map[TaskKey]*dispatch.TaskView, len(was))
	for i := range was {
		before[key(&was[i])] = &was[i]
	}
	for i := range now {
		t := &now[i]
		if old := before[key(t)]; old == nil || !sameListed(*old, *t) {
			c.Tasks = append(c.Tasks, *t)
		}
		delete(before, key(t))
	}
	for i := range was {
		if k := key(&was[i]); before[k] != nil {
			c.Unlisted = append(c.Unlisted, k)
			delete(before, k)
		}
	}
	if made, err := c.listed(was); err != nil || !sameTasks(made, now) {
		c.AllTasks, c.Tasks, c.Unlisted = true, now, nil
	}
}

// listed applies the changed tasks to a machine's list.
func (c *Change) listed(was []dispatch.TaskView) ([]dispatch.TaskView, error) {
	if c.AllTasks {
		return c.Tasks, nil
	}
	if len(c.Tasks) == 0 && len(c.Unlisted) == 0 {
		return was, nil
	}
	changed := make(map[TaskKey]*dispatch.TaskView, len(c.Tasks))
	for i := range c.Tasks {
		changed[key(&c.Tasks[i])] = &c.Tasks[i]
	}
	unlisted := make(map[TaskKey]bool, len(c.Unlisted))
	for _, k := range c.Unlisted {
		unlisted[k] = true
	}
	out := make([]dispatch.TaskView, 0, len(was)+len(c.Tasks))
	for _, t := range was {
		k := key(&t)
		if unlisted[k] {
			delete(unlisted, k)
			continue
		}
		if n := changed[k]; n != nil {
			t = *n
			delete(changed, k)
		}
		out = append(out, t)
	}
	if len(unlisted) > 0 {
		return nil, fmt.Errorf("%w: %s: a task that was not listed is listed no more", ErrMalformed, c.Name)
	}
	for i := range c.Tasks {
		if k := key(&c.Tasks[i]); changed[k] != nil {
			out = append(out, c.Tasks[i])
			delete(changed, k)
		}
	}
	slices.SortStableFunc(out, byKey)
	return out, nil
}

// apply returns what a change makes of a machine's state, nil for one that is not known
// yet. The old state stays as it is.
func (c *Change) apply(old *state, atMs int64) (state, error) {
	atMs -= c.BackMs
	if c.Anew {
		old = nil
	}
	switch {
	case c.Name == "" || c.BackMs < 0:
		return state{}, fmt.Errorf("%w: no machine, or of a later time", ErrMalformed)
	case old == nil && (c.Site == nil || !c.Anew):
		return state{}, fmt.Errorf("%w: %s: not known here", ErrMalformed, c.Name)
	case c.AgeMs != nil && *c.AgeMs < 0 || c.UnansweredMs != nil && *c.UnansweredMs < 0:
		return state{}, fmt.Errorf("%w: %s: heard or answered in the future", ErrMalformed, c.Name)
	case old != nil && atMs < old.atMs:
		return state{}, fmt.Errorf("%w: %s: older than what is known", ErrMalformed, c.Name)
	}
	now := state{atMs: atMs, view: dispatch.WorkerView{Name: c.Name}}
	if old != nil {
		now = old.advanced(atMs)
	}
	v := &now.view
	if s := c.Site; s != nil {
		v.Type, v.Zone, v.Spot, v.Endpoint = s.Type, s.Zone, s.Spot, s.Endpoint
	}
	v.Session, v.Seq, v.Token = changed(v.Session, c.Session), changed(v.Seq, c.Seq), changed(v.Token, c.Token)
	if c.AgeMs != nil {
		v.AgeS = float64(*c.AgeMs) / perSecond
	}
	if c.UnansweredMs != nil {
		v.UnansweredS = float64(*c.UnansweredMs) / perSecond
	}
	if is := c.Condition; is != nil {
		v.NoticeS, v.Draining, v.Asked = is.NoticeS, is.Draining, is.Asked
	}
	var err error
	if v.Tasks, err = c.listed(v.Tasks); err != nil {
		return state{}, err
	}
	if c.NoQueue || len(c.Queue) > 0 {
		v.Queue = c.Queue
	}
	if err := c.matrix(v); err != nil {
		return state{}, err
	}
	return now, nil
}

func changed(old, now uint64) uint64 {
	if now == 0 {
		return old
	}
	return now
}

// matrix applies the change to a view's matrix.
func (c *Change) matrix(v *dispatch.WorkerView) error {
	switch {
	case c.NoMatrix:
		v.Matrix = nil
	case len(c.Matrix)%rowFigures != 0:
		return fmt.Errorf("%w: %s: a matrix of %d figures", ErrMalformed, c.Name, len(c.Matrix))
	case len(c.Matrix) > 0:
		v.Matrix = unpacked(c.Matrix)
	case len(c.Waits) == 0:
		return nil // as it was, which was looked at then
	case len(c.Waits) != len(v.Matrix):
		return fmt.Errorf("%w: %s: %d waits of %d", ErrMalformed, c.Name, len(c.Waits), len(v.Matrix))
	default:
		for i := range v.Matrix {
			v.Matrix[i].Wait = c.Waits[i] // a copy, see advanced
		}
	}
	if !inOrder(v.Matrix) {
		return fmt.Errorf("%w: %s: waits not in order", ErrMalformed, c.Name)
	}
	return nil
}
