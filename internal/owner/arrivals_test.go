package owner_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// At a takeover the jobs that a predecessor accepted within the last 40 s count as arriving
// work, older ones don't, and the second takeover counts none twice.
func TestTakeoverCountsRecentJobsAsArrivals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 0)
		accepted := func(uid string, cpus int, age time.Duration) wire.Item {
			return wire.Item{Key: "live/" + uid, Version: 1, Value: json.RawMessage(fmt.Sprintf(
				`{"at":%d,"job":{"uid":%q,"docket":"c","crew":"t","sort":"sweep","pieces":10,"cpus":%d,"reckonS":20}}`,
				time.Now().Add(-age).UnixMilli(), uid, cpus))}
		}
		recent, old := accepted("j-1", 2, 10*time.Second), accepted("j-2", 16, time.Minute)
		takeOver := func(records ...wire.Item) float64 {
			f.owner.Unload()
			f.items = map[string][]wire.Item{"live/": records}
			if err := f.owner.Load(t.Context()); err != nil {
				t.Fatal(err)
			}
			return f.owner.ArrivalRate("c")
		}
		if rate := takeOver(old); rate != 0 {
			t.Errorf("%v CPUs arrive by a job accepted a minute ago", rate)
		}
		// 10 tasks of 2 CPUs and 20 s, over 40 s.
		for range 2 {
			if rate := takeOver(recent, old); rate != 10 {
				t.Errorf("%v CPUs arrive, not 10", rate)
			}
		}
	})
}
