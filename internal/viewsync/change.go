package viewsync

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/wallrack/wallrack/internal/dispatch"
)

// ErrMalformed means that a message does not fit the replica that it should change.
var ErrMalformed = errors.New("malformed change")

// Attributes are the parts of a worker's reports that rarely change.
type Attributes struct {
	Type     string `json:"t"`
	Zone     string `json:"z"`
	Spot     bool   `json:"s,omitempty"`
	Endpoint string `json:"e,omitempty"`
}

// Condition is the state of a worker apart from its tasks.
type Condition struct {
	NoticeS  *float64 `json:"n,omitempty"`
	Draining bool     `json:"d,omitempty"`
	Polled   bool     `json:"a,omitempty"`
}

// TaskKey identifies a reported task.
type TaskKey struct {
	Task    string `json:"t"`
	Attempt uint64 `json:"a"`
}

// Change is the difference between two views of one worker. Omitted fields are unchanged,
// except that both ends advance ages and waits by the time that has passed.
type Change struct {
	Name         string               `json:"n"`
	LagMs        int64                `json:"b,omitempty"` // age of the view when its frame was made
	Replace      bool                 `json:"f,omitempty"` // replaces the whole state of the worker
	Attributes   *Attributes          `json:"i,omitempty"`
	Session      uint64               `json:"e,omitempty"`
	Seq          uint64               `json:"s,omitempty"`
	Token        uint64               `json:"k,omitempty"`
	AgeMs        *int64               `json:"a,omitempty"`
	UnansweredMs *int64               `json:"u,omitempty"`
	Condition    *Condition           `json:"c,omitempty"`
	AllTasks     bool                 `json:"l,omitempty"` // Tasks is the whole list
	Tasks        []dispatch.TaskView  `json:"t,omitempty"` // new or changed
	RemovedTasks []TaskKey            `json:"x,omitempty"` // no longer reported
	Queue        []dispatch.QueueView `json:"q,omitempty"`
	NoQueue      bool                 `json:"o,omitempty"` // the queue is empty now
	Matrix       []float64            `json:"m,omitempty"` // see packMatrix
	NoMatrix     bool                 `json:"y,omitempty"` // the matrix is removed
	Waits        []float64            `json:"w,omitempty"` // new waits of the matrix, whose amounts are unchanged
}

func attributesOf(v *dispatch.WorkerView) Attributes {
	return Attributes{v.Type, v.Zone, v.Spot, v.Endpoint}
}

func conditionOf(v *dispatch.WorkerView) Condition {
	return Condition{v.NoticeS, v.Draining, v.Polled}
}

func (c Condition) same(o Condition) bool {
	return samePointee(c.NoticeS, o.NoticeS) && c.Draining == o.Draining && c.Polled == o.Polled
}

// diff returns the change from old to now, both rounded. old is nil for a worker that is not known
// yet.
func diff(old *state, now state) Change {
	was := state{atMs: now.atMs}
	if old != nil {
		was = old.advancedTo(now.atMs)
	}
	from, to := &was.view, &now.view
	if to.Session == 0 && from.Session != 0 || to.Seq == 0 && from.Seq != 0 || to.Token == 0 && from.Token != 0 {
		return diff(nil, now) // 0 stands for an unchanged number
	}
	c := Change{
		Name: to.Name, Replace: old == nil,
		Session: ifChanged(from.Session, to.Session), Seq: ifChanged(from.Seq, to.Seq), Token: ifChanged(from.Token, to.Token),
		AgeMs: ifAgeChanged(from.AgeS, to.AgeS), UnansweredMs: ifAgeChanged(from.UnansweredS, to.UnansweredS),
	}
	if attributes := attributesOf(to); old == nil || attributes != attributesOf(from) {
		c.Attributes = &attributes
	}
	if condition := conditionOf(to); !condition.same(conditionOf(from)) {
		c.Condition = &condition
	}
	c.diffTasks(from.Tasks, to.Tasks)
	if !slices.Equal(to.Queue, from.Queue) {
		c.Queue, c.NoQueue = to.Queue, len(to.Queue) == 0
	}
	switch {
	case sameMatrix(to.Matrix, from.Matrix):
	case len(to.Matrix) == 0:
		c.NoMatrix = true
	case sameFree(to.Matrix, from.Matrix):
		c.Waits = matrixWaits(to.Matrix)
	default:
		c.Matrix = packMatrix(to.Matrix)
	}
	return c
}

// ifChanged returns now, or 0 if it equals before.
func ifChanged(before, now uint64) uint64 {
	if now == before {
		return 0
	}
	return now
}

// ifAgeChanged returns an age in ms, or nil if it is as expected from the time that has passed.
func ifAgeChanged(beforeS, nowS float64) *int64 {
	if withinTolerance(nowS, beforeS, ageToleranceS) {
		return nil
	}
	ms := milliseconds(nowS)
	return &ms
}

// apply returns the state of a worker after the change. old is nil if the worker is not known yet,
// and is not modified. atMs is the time of the frame. The error is ErrMalformed, wrapped.
func (c *Change) apply(old *state, atMs int64) (state, error) {
	atMs -= c.LagMs
	if c.Replace {
		old = nil
	}
	if err := c.check(old, atMs); err != nil {
		return state{}, err
	}
	now := state{atMs: atMs, view: dispatch.WorkerView{Name: c.Name}}
	if old != nil {
		now = old.advancedTo(atMs)
	}
	view := &now.view
	c.applyReport(view)
	var err error
	if view.Tasks, err = c.applyTasks(view.Tasks); err != nil {
		return state{}, err
	}
	if c.NoQueue || len(c.Queue) > 0 {
		view.Queue = c.Queue
	}
	if err := c.applyMatrix(view); err != nil {
		return state{}, err
	}
	return now, nil
}

// check returns an error if the change does not fit the old state or the time of the new one.
func (c *Change) check(old *state, atMs int64) error {
	switch {
	case c.Name == "" || c.LagMs < 0:
		return fmt.Errorf("%w: no worker name, or negative lag", ErrMalformed)
	case old == nil && (c.Attributes == nil || !c.Replace):
		return fmt.Errorf("%w: %s: change of an unknown worker", ErrMalformed, c.Name)
	case c.AgeMs != nil && *c.AgeMs < 0 || c.UnansweredMs != nil && *c.UnansweredMs < 0:
		return fmt.Errorf("%w: %s: negative age", ErrMalformed, c.Name)
	case old != nil && atMs < old.atMs:
		return fmt.Errorf("%w: %s: older than the known state", ErrMalformed, c.Name)
	}
	return nil
}

// applyReport applies the changes of the worker's report apart from its tasks.
func (c *Change) applyReport(v *dispatch.WorkerView) {
	if attributes := c.Attributes; attributes != nil {
		v.Type, v.Zone, v.Spot, v.Endpoint = attributes.Type, attributes.Zone, attributes.Spot, attributes.Endpoint
	}
	v.Session, v.Seq, v.Token = cmp.Or(c.Session, v.Session), cmp.Or(c.Seq, v.Seq), cmp.Or(c.Token, v.Token)
	if c.AgeMs != nil {
		v.AgeS = float64(*c.AgeMs) / msPerSecond
	}
	if c.UnansweredMs != nil {
		v.UnansweredS = float64(*c.UnansweredMs) / msPerSecond
	}
	if condition := c.Condition; condition != nil {
		v.NoticeS, v.Draining, v.Polled = condition.NoticeS, condition.Draining, condition.Polled
	}
}

// applyMatrix applies the change of the matrix.
func (c *Change) applyMatrix(v *dispatch.WorkerView) error {
	switch {
	case c.NoMatrix:
		v.Matrix = nil
	case len(c.Matrix)%valuesPerRow != 0:
		return fmt.Errorf("%w: %s: matrix of %d values", ErrMalformed, c.Name, len(c.Matrix))
	case len(c.Matrix) > 0:
		v.Matrix = unpackMatrix(c.Matrix)
	case len(c.Waits) == 0:
		return nil // unchanged, and checked before
	case len(c.Waits) != len(v.Matrix):
		return fmt.Errorf("%w: %s: %d waits for %d rows", ErrMalformed, c.Name, len(c.Waits), len(v.Matrix))
	default:
		for i := range v.Matrix {
			v.Matrix[i].WaitS = c.Waits[i] // a copy, see advancedTo
		}
	}
	if !sortedByWait(v.Matrix) {
		return fmt.Errorf("%w: %s: waits not sorted", ErrMalformed, c.Name)
	}
	return nil
}
