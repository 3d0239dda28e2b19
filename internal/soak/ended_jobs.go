package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/wire"
)

// endedJobIDs returns the ids of jobs that ended before the run.
func endedJobIDs(count int) []string {
	uids := make([]string, count)
	for i := range uids {
		uids[i] = fmt.Sprintf("j-ended-%05d", i)
	}
	return uids
}

// recordEnded records the ends of jobs in the state service.
func (s *site) recordEnded(uids []string) error {
	for len(uids) > 0 {
		count := min(len(uids), stateTxnOps)
		var txn wire.Txn
		for _, uid := range uids[:count] {
			txn.Then = append(txn.Then, wire.Op{Put: jobrecord.FinalPrefix + uid, Value: jobrecord.FinalRecord{Stage: wire.StageDone}})
		}
		uids = uids[count:]
		body, err := json.Marshal(txn)
		if err != nil {
			return fmt.Errorf("ended jobs: %w", err)
		}
		answer := httptest.NewRecorder()
		s.stateRoutes.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/txn", bytes.NewReader(body)))
		if answer.Code != http.StatusOK {
			return fmt.Errorf("ended jobs: status %d", answer.Code)
		}
	}
	return nil
}

// addEnded records in the history that jobs were accepted, all of whose tasks are done.
func (r *recorder) addEnded(uids []string) {
	for _, uid := range uids {
		r.addJob(&wire.Job{UID: uid})
		r.add(Event{Kind: Submit, Job: uid, Node: throughBalancer, Status: http.StatusCreated, Stage: wire.StageQueued})
	}
}
