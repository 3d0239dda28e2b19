package autoscaler

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/goccy/go-json"
	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/wire"
)

// listingCloud is a cloud with one machine, whose lists show an earlier time.
type listingCloud struct {
	age     time.Duration // of the lists
	created time.Duration // time since the start of the test at which the machine is created
	deleted time.Duration
	now     time.Duration
}

func (c *listingCloud) RoundTrip(*http.Request) (*http.Response, error) {
	var page wire.MachineList
	if shows := c.now - c.age; shows >= c.created && shows < c.deleted {
		page.Machines = []wire.ListedMachine{{Name: "n-1", Type: "small", Zone: "z", Stage: wire.MachineRunning, AgeS: 1}}
	}
	w := httptest.NewRecorder()
	data, err := json.Marshal(page)
	if err != nil {
		return nil, err
	}
	_, _ = w.Write(data)
	return w.Result(), nil
}

// A machine counts as vanished only after it is deleted, whatever the age of each list and of
// the machine's last heartbeat. A later list without lag always shows that it vanished.
func TestMachineVanishesOnlyOnceDeleted(t *testing.T) {
	const lag, step = 6 * time.Second, time.Second
	rapid.Check(t, func(t *rapid.T) {
		a := testAutoscaler()
		a.cfg.Params.Cloud.ListLagS = lag.Seconds()
		a.dispatcher = &fakeDispatcher{}
		cloud := &listingCloud{
			created: time.Duration(rapid.IntRange(0, 20).Draw(t, "created")) * step,
			deleted: time.Duration(rapid.IntRange(21, 60).Draw(t, "gone")) * step,
		}
		heartbeat := min(cloud.created+time.Duration(rapid.IntRange(0, 9).Draw(t, "heard"))*step, cloud.deleted-step)
		a.cloud = NewCloudOver(cloud, "cloud", 1000)
		oldest := rapid.Bool().Draw(t, "oldest lists")
		start := time.Now().Add(-time.Hour)
		for cloud.now = 0; cloud.now < 120*step; cloud.now += step {
			if rapid.IntRange(0, 3).Draw(t, "list") == 0 {
				cloud.age = min(cloud.now, time.Duration(rapid.IntRange(0, int(2*lag/step)).Draw(t, "age"))*step)
				if oldest {
					cloud.age = 2 * lag
				}
				a.refreshAt(context.Background(), start.Add(cloud.now))
			}
			if cloud.now < heartbeat {
				continue
			}
			vanished := a.vanished("n-1", start.Add(heartbeat))
			if vanished && cloud.now < cloud.deleted {
				t.Fatalf("machine counts as vanished %v before it is deleted", cloud.deleted-cloud.now)
			}
		}
		cloud.age = 0
		a.refreshAt(context.Background(), start.Add(cloud.now))
		if !a.vanished("n-1", start.Add(heartbeat)) {
			t.Fatal("deleted machine does not count as vanished")
		}
	})
}
