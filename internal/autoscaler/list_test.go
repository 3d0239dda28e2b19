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

// listingCloud is a cloud of one machine. Its lists show an earlier time.
type listingCloud struct {
	age     time.Duration // of the lists
	created time.Duration // from which on, and until when, the machine exists
	gone    time.Duration
	now     time.Duration
}

func (c *listingCloud) RoundTrip(r *http.Request) (*http.Response, error) {
	var page wire.MachineList
	if shows := c.now - c.age; shows >= c.created && shows < c.gone {
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

// A machine is called vanished only when it is gone, and within some lists after that,
// whatever age each list has, and however long the machine has not been heard.
func TestVanishedMachinesAreGone(t *testing.T) {
	const lag, step = 6 * time.Second, time.Second
	rapid.Check(t, func(t *rapid.T) {
		f := testAutoscaler()
		f.cfg.Params.Cloud.ListLagS = lag.Seconds()
		f.dispatcher = &drains{}
		cloud := &listingCloud{
			created: time.Duration(rapid.IntRange(0, 20).Draw(t, "created")) * step,
			gone:    time.Duration(rapid.IntRange(21, 60).Draw(t, "gone")) * step,
		}
		heard := min(cloud.created+time.Duration(rapid.IntRange(0, 9).Draw(t, "heard"))*step, cloud.gone-step)
		f.cloud = NewCloudOver(cloud, "cloud", 1000)
		oldest := rapid.Bool().Draw(t, "oldest lists")
		start := time.Now().Add(-time.Hour)
		for cloud.now = 0; cloud.now < 120*step; cloud.now += step {
			if rapid.IntRange(0, 3).Draw(t, "list") == 0 {
				cloud.age = min(cloud.now, time.Duration(rapid.IntRange(0, int(2*lag/step)).Draw(t, "age"))*step)
				if oldest {
					cloud.age = 2 * lag
				}
				f.refreshAt(context.Background(), start.Add(cloud.now))
			}
			if cloud.now < heard {
				continue
			}
			vanished := f.vanished("n-1", start.Add(heard))
			if vanished && cloud.now < cloud.gone {
				t.Fatalf("%v before it is gone, the machine has vanished", cloud.gone-cloud.now)
			}
		}
		cloud.age = 0
		f.refreshAt(context.Background(), start.Add(cloud.now))
		if !f.vanished("n-1", start.Add(heard)) {
			t.Fatal("a machine that is gone has not vanished")
		}
	})
}
