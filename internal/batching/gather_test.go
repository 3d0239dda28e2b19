package batching

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestBatches: whatever comes when, and however long round trips take, each item goes to
// its peer once; at once while nothing is under way; never more than so many batches at a time; and none waits for a slow round trip.
func TestBatches(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		trip := time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms of a round trip")) * time.Millisecond
		pauses := rapid.SliceOfN(rapid.IntRange(0, 200), 1, 40).Draw(rt, "ms before each burst")
		burst := rapid.SampledFrom([]int{1, 3, mostItems + 10}).Draw(rt, "items in a burst")
		var wrong string
		synctest.Test(t, func(*testing.T) {
			var mu sync.Mutex
			var added []time.Time
			var got []int
			underWay, full := 0, false // full: as many as may be were under way at some time
			check := func(ok bool, what string) {
				if !ok && wrong == "" {
					wrong = what
				}
			}
			s := Sender[int]{Send: func(peer string, items []int) {
				mu.Lock()
				underWay++
				full = full || underWay == mostUnderWay
				check(peer == "a" && len(items) > 0 && len(items) <= mostItems && underWay <= mostUnderWay, "a batch too large, or too many at a time")
				for _, i := range items {
					check(full || burst > mostItems || time.Since(added[i]) <= overlapAfter, "an item waited for a slow round trip")
				}
				got = append(got, items...)
				mu.Unlock()
				time.Sleep(trip)
				mu.Lock()
				underWay--
				mu.Unlock()
			}}
			for n, ms := range pauses {
				time.Sleep(time.Duration(ms) * time.Millisecond)
				for range burst {
					mu.Lock()
					added = append(added, time.Now())
					mu.Unlock()
					s.Add("a", len(added)-1)
				}
				synctest.Wait()
				mu.Lock()
				check(n > 0 || len(got) > 0, "the first item did not go at once")
				mu.Unlock()
			}
			time.Sleep(time.Duration(len(pauses)) * (trip + overlapAfter) * 2)
			mu.Lock()
			defer mu.Unlock()
			slices.Sort(got)
			check(len(got) == len(added) && slices.Equal(slices.Compact(got), got), "items are lost, or went twice")
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}
