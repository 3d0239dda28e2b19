package submission

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/statestore"
)

func TestJobWithoutAnswerIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := slog.New(slog.NewTextHandler(&out, nil))
		var r refusals
		for range 12 { // 55 s
			r.record(log, "j-1", refusalOf(statestore.ErrBusy))
			r.record(log, "j-2", RefusedOther)
			r.answered("j-2")
			time.Sleep(5 * time.Second)
		}
		if n := strings.Count(out.String(), "job without an answer"); n != 1 || !strings.Contains(out.String(), "job=j-1 reason=store_busy refused=5 for_s=20") {
			t.Errorf("%d lines about jobs without an answer:\n%s", n, out.String())
		}
		if n := strings.Count(out.String(), "requests refused"); n > 7 {
			t.Errorf("%d lines in 55 s", n)
		}
		if counts := r.counts(); counts[RefusedStoreBusy] != 12 || counts[RefusedOther] != 12 {
			t.Errorf("counts: %v", counts)
		}
	})
}

func TestTrackedRefusalsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r refusals
		log := slog.New(slog.DiscardHandler)
		for i := range 2 * maxUnanswered {
			r.record(log, fmt.Sprintf("j-%d", i), RefusedStoreBusy)
		}
		r.record(log, "", RefusedTooMany)
		if n := len(r.unanswered); n != maxUnanswered {
			t.Errorf("%d jobs are tracked", n)
		}
		time.Sleep(unansweredTTL + time.Second)
		if r.record(log, "j-new", RefusedStoreBusy); len(r.unanswered) != 1 {
			t.Errorf("%d jobs are tracked after all users have gone", len(r.unanswered))
		}
	})
}

// A request's path names its job, at whatever length its user chose.
func TestRefusedRequestWithInvalidIDIsCountedOnly(t *testing.T) {
	var out bytes.Buffer
	var r refusals
	r.record(slog.New(slog.NewTextHandler(&out, nil)), "j-"+strings.Repeat("x", 10_000), RefusedTooMany)
	if len(r.unanswered) != 0 || r.counts()[RefusedTooMany] != 1 || out.Len() > 200 {
		t.Errorf("%d jobs are tracked, %v counted, %d bytes logged", len(r.unanswered), r.counts(), out.Len())
	}
}
