package cancellation_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/cancellation"
	"github.com/wallrack/wallrack/internal/wire"
)

// A message either is applied as a whole or returns an error and has no effect: no further job
// counts as cancelled, and KnownUntil is unchanged.
func FuzzHandleMessage(f *testing.F) {
	for _, m := range []cancellation.Message{
		{Incarnation: 3, Stamp: 9, MayConfirm: true, First: 1, Updates: []string{"j-1", "j-2"}},
		{Incarnation: 3, Stamp: 9, Echo: 1, EchoIncarnation: 1, Ack: 1 << 63, More: true},
		{Incarnation: 1 << 63, Stamp: 1 << 62, Updates: []string{"j-1/0", ""}},
	} {
		body, err := json.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add("b", body)
		f.Add("x", body)
	}
	f.Fuzz(func(t *testing.T, from string, body []byte) {
		var m cancellation.Message
		if json.Unmarshal(body, &m) != nil {
			return
		}
		r := cancellation.New(cancellation.Options{Peers: []string{"b"}, Limit: limit, LeaseRemaining: func() time.Duration { return time.Second }})
		r.RecordStoreRead(time.Now(), []string{"j-known"})
		r.MessageFor("b")
		before := r.KnownUntil()
		err := r.HandleMessage(from, &m)
		after := r.KnownUntil()
		switch {
		case err != nil && (err.Error() == "" || r.Count() != 1 || !after.Equal(before)):
			t.Errorf("%v, but %d jobs are known, and KnownUntil advanced by %v", err, r.Count(), after.Sub(before))
		case err == nil && from != "b":
			t.Errorf("a message from %q was accepted", from)
		case after.Before(before) || after.After(time.Now()):
			t.Errorf("KnownUntil advanced by %v", after.Sub(before))
		}
		for _, uid := range m.Updates {
			if r.IsCancelled(uid) && (!wire.ValidJobID(uid) || err != nil && uid != "j-known") {
				t.Errorf("%q counts as cancelled", uid)
			}
		}
		next := r.MessageFor("b") // the next message must agree with what was accepted
		if next.Ack > 0 && (err != nil || next.EchoIncarnation != m.Incarnation) {
			t.Errorf("acknowledges %d of incarnation %d", next.Ack, next.EchoIncarnation)
		}
	})
}
