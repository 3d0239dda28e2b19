package batching

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// Whenever items arrive, and however long round trips take, each item is sent to its peer
// once, and at once while no batch is in flight; there are never more than maxBatchesInFlight
// batches in flight, and no item waits for a slow round trip.
func TestEachItemIsSentOnceAndWaitsForNoSlowRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		roundTrip := time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms of a round trip")) * time.Millisecond
		pauses := rapid.SliceOfN(rapid.IntRange(0, 200), 1, 40).Draw(rt, "ms before each burst")
		burst := rapid.SampledFrom([]int{1, 3, maxBatchItems + 10}).Draw(rt, "items in a burst")
		var failure string
		synctest.Test(t, func(*testing.T) {
			var mu sync.Mutex
			added := make([]time.Time, 0, burst*len(pauses)) // when each item was added
			var got []int
			inFlight, reachedMaximum := 0, false // reachedMaximum: maxBatchesInFlight batches were in flight at some time
			check := func(ok bool, what string) {
				if !ok && failure == "" {
					failure = what
				}
			}
			sender := Sender[int]{Send: func(peer string, items []int) {
				mu.Lock()
				inFlight++
				reachedMaximum = reachedMaximum || inFlight == maxBatchesInFlight
				check(peer == "a" && len(items) > 0 && len(items) <= maxBatchItems && inFlight <= maxBatchesInFlight, "a batch too large, or too many at a time")
				for _, i := range items {
					check(reachedMaximum || burst > maxBatchItems || time.Since(added[i]) <= overlapDelay, "an item waited for a slow round trip")
				}
				got = append(got, items...)
				mu.Unlock()
				time.Sleep(roundTrip)
				mu.Lock()
				inFlight--
				mu.Unlock()
			}}
			for n, ms := range pauses {
				time.Sleep(time.Duration(ms) * time.Millisecond)
				for range burst {
					mu.Lock()
					added = append(added, time.Now())
					mu.Unlock()
					sender.Add("a", len(added)-1)
				}
				synctest.Wait()
				mu.Lock()
				check(n > 0 || len(got) > 0, "the first item was not sent at once")
				mu.Unlock()
			}
			time.Sleep(time.Duration(len(pauses)) * (roundTrip + overlapDelay) * 2)
			mu.Lock()
			defer mu.Unlock()
			slices.Sort(got)
			check(len(got) == len(added) && slices.Equal(slices.Compact(got), got), "items are lost, or were sent twice")
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}
