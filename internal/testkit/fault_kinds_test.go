package testkit_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// faultKind is a kind of fault. It is active for a drawn number of seconds, and counts its effects in
// faultRun.effects.
type faultKind struct {
	name        string
	minSeconds  int // shortest duration in seconds
	maxSeconds  int
	begin       func(m *faultRun)
	everySecond func(m *faultRun, second int)
	end         func(m *faultRun)
}

// faultRun is a cluster in which several faults overlap.
type faultRun struct {
	*cluster
	firstLeader      string // leader when the first fault began
	effects          *int   // counts the effects of the current fault
	affectedWorkers  []*testkit.Worker
	longJobs         []string        // jobs with long tasks
	taskCounts       map[string]int  // number of tasks of each accepted job
	accepted         []string        // uids of all jobs in the order of their acceptance
	endedTasks       map[string]bool // tasks that ended by themselves
	pendingRequests  sync.WaitGroup
	onExit           func(uid string) // called when a task ends by itself; may be nil
	lastCopiesLeader string           // leader when copies of heartbeats were last delivered
}

// sendUserRequest sends a user's request to a drawn controller without waiting for the response.
func (m *faultRun) sendUserRequest(method, uid string) {
	at := m.controllerNames[m.planIntN(len(m.controllerNames))]
	m.pendingRequests.Add(1)
	go func() { defer m.pendingRequests.Done(); m.userRequest(at, method, uid) }()
}

func (m *faultRun) disturbWorkers(disturb func(k *testkit.Worker)) {
	first := m.planIntN(len(m.workers))
	for i := range 3 {
		k := m.workers[(first+i)%len(m.workers)]
		m.affectedWorkers = append(m.affectedWorkers, k)
		disturb(k)
		*m.effects++
	}
}

func (m *faultRun) restoreWorkers() {
	for _, k := range m.affectedWorkers {
		m.healLinks(k.Name, m.controllerNames...)
		m.resume(k)
	}
	m.affectedWorkers = nil
}

func (m *faultRun) drawMillis(from, below int) time.Duration {
	return time.Duration(from+m.messageRand.IntN(below-from)) * time.Millisecond
}

// pollAllControllers polls all controllers for a job at once, several times.
func (m *faultRun) pollAllControllers(uid string, times int) {
	for i := range times {
		for _, at := range m.controllerNames {
			m.pendingRequests.Add(1)
			go func() {
				defer m.pendingRequests.Done()
				time.Sleep(time.Duration(3*i) * time.Millisecond)
				m.userRequest(at, http.MethodGet, uid)
			}()
		}
	}
}

// postJob submits a job to a controller and returns the status, or 0 if there was no response.
func (m *faultRun) postJob(at string, job *wire.Job, drop ...string) int {
	m.mu.Lock()
	n := m.nodes[at]
	down := n.down
	m.mu.Unlock()
	if down {
		return 0
	}
	body, err := json.Marshal(job)
	if err == nil && len(drop) > 0 {
		var fields map[string]json.RawMessage
		err = json.Unmarshal(body, &fields)
		for _, field := range drop {
			delete(fields, field)
		}
		if err == nil {
			body, err = json.Marshal(fields)
		}
	}
	if err != nil {
		m.t.Fatal(err)
	}
	rec := httptest.NewRecorder()
	n.mux.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/api/jobs", strings.NewReader(string(body))))
	m.mu.Lock()
	defer m.mu.Unlock()
	if n.down {
		return 0
	}
	return rec.Code
}

// postInvalid submits a job that cannot run or lacks a field: no controller may accept it.
func (m *faultRun) postInvalid(at string, number int) {
	job := arrayJob(fmt.Sprintf("j-%d", 100000+number), 1)
	var drop []string
	switch number % 4 {
	case 0:
		job.CPUs = 1000
	case 1:
		job.Team = "nobody"
	case 2:
		drop = []string{"cpus"}
	case 3:
		drop = []string{"pieces"}
	}
	m.pendingRequests.Add(1)
	go func() {
		defer m.pendingRequests.Done()
		switch code := m.postJob(at, job, drop...); code {
		case 0, http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusServiceUnavailable:
		default:
			m.fail("%s returned status %d for an invalid job (kind %d)", at, code, number%4)
		}
	}()
}

// resubmit repeats the submission of an accepted job: no controller may refuse it for good.
func (m *faultRun) resubmit(at, uid string) {
	m.mu.Lock()
	job := m.submittedJobs[uid]
	m.mu.Unlock()
	m.pendingRequests.Add(1)
	go func() {
		defer m.pendingRequests.Done()
		if code := m.postJob(at, job); code/100 == 4 && code != http.StatusTooManyRequests {
			m.fail("%s returned status %d for the repeated submission of %s", at, code, uid)
		}
	}()
}

// addWorker adds a worker that is up at once and sends its heartbeats to a drawn controller.
func (m *faultRun) addWorker() {
	m.mu.Lock()
	defer m.mu.Unlock()
	template := m.workers[0]
	worker := testkit.NewWorker(fmt.Sprintf("q-%d", len(m.workers)), workerLease, template.RunTime)
	worker.ExitCode = template.ExitCode
	m.registerWorker(worker, m.planIntN(len(m.controllerNames)))
}

// faultKinds lists the kinds of faults. Any of them may overlap.
var faultKinds = []faultKind{
	{"old heartbeats are delivered again", 5, 25, nil, func(m *faultRun, _ int) {
		for _, n := range m.controllerNames {
			if m.planIntN(3) == 0 {
				m.deliverLateReports(m.nodes[n])
				*m.effects++
			}
		}
	}, nil},
	{"workers are cut off", 3, 18, func(m *faultRun) {
		m.disturbWorkers(func(k *testkit.Worker) { m.breakLinks(k.Name, m.controllerNames...) })
	}, nil, (*faultRun).restoreWorkers},
	{"workers receive nothing", 3, 18, func(m *faultRun) {
		m.disturbWorkers(func(k *testkit.Worker) { m.breakLinksTo(k, m.controllerNames...) })
	}, nil, (*faultRun).restoreWorkers},
	{"workers hang and resume", 2, 14, func(m *faultRun) {
		m.disturbWorkers(func(k *testkit.Worker) { m.hang(k) })
	}, nil, (*faultRun).restoreWorkers},
	{"the state service is slow", 8, 30, func(m *faultRun) {
		did := m.effects
		m.withLock(func() { m.storeLatency = func() time.Duration { *did++; return m.drawMillis(300, 4000) } })
	}, nil, func(m *faultRun) { m.withLock(func() { m.storeLatency = nil }) }},
	{"transactions are applied late", 8, 30, func(m *faultRun) {
		did := m.effects
		delay := func() time.Duration {
			if m.messageRand.IntN(5) > 0 {
				return 0
			}
			*did++
			return m.drawMillis(2000, 12000)
		}
		m.withLock(func() { m.transactionDelay = delay })
	}, nil, func(m *faultRun) { m.withLock(func() { m.transactionDelay = nil }) }},
	{"commands are delayed", 5, 25, func(m *faultRun) {
		did := m.effects
		holds := func() bool {
			if m.messageRand.IntN(3) == 0 {
				return false
			}
			*did++
			return true
		}
		m.withLock(func() { m.holdsCommand = holds })
	}, func(m *faultRun, _ int) {
		if m.planIntN(6) == 0 {
			m.deliverHeldCommands()
		}
	}, func(m *faultRun) { m.withLock(func() { m.holdsCommand = nil }) }},
	{"the leader transfers its shards every second", 4, 20, nil, func(m *faultRun, _ int) {
		if l := m.leader(); l != "" {
			o := m.otherControllers(l)
			if m.nodes[l].member.TransferShards(context.Background(), o[m.planIntN(len(o))]) == nil {
				*m.effects++
			}
		}
	}, nil},
	{"all controllers crash, one restarts at once", 2, 12, func(m *faultRun) {
		m.stopAll()
		time.Sleep(time.Duration(m.planIntN(1500)) * time.Millisecond)
		m.start(m.controllerNames[m.planIntN(len(m.controllerNames))])
		*m.effects++
	}, nil, func(m *faultRun) { m.startStopped() }},
	{"the leader is cut off from the state service and peers", 5, 70, func(m *faultRun) {
		m.breakLinks(m.firstLeader, append(m.otherControllers(m.firstLeader), stateService)...)
		*m.effects++
	}, nil, func(m *faultRun) {
		m.healLinks(m.firstLeader, append(m.otherControllers(m.firstLeader), stateService)...)
	}},
	{"the leader crashes", 2, 15, nil, func(m *faultRun, _ int) {
		if l := m.leader(); l != "" && *m.effects == 0 { // at once, or as soon as there is a leader
			m.crash(l)
			*m.effects++
		}
	}, func(m *faultRun) { m.startStopped() }},
	{"controllers restart within a second", 4, 15, nil, func(m *faultRun, second int) {
		if second%3 == 1 {
			if m.restart(m.controllerNames[m.planIntN(len(m.controllerNames))], time.Duration(m.planIntN(1000))*time.Millisecond) {
				*m.effects++
			}
		}
	}, nil},
	{"jobs are cancelled", 4, 20, nil, func(m *faultRun, _ int) {
		// The last two jobs are never cancelled.
		m.sendUserRequest(http.MethodPost, m.longJobs[m.planIntN(len(m.longJobs)-2)])
		*m.effects++
	}, nil},
	{"the state service refuses all controllers", 3, 70, func(m *faultRun) {
		m.cutFromStateService(m.controllerNames...)
		*m.effects++
	}, nil, func(m *faultRun) {
		for _, n := range m.controllerNames {
			m.healLinks(n, stateService)
		}
	}},
	{"worker leases expire and late commands arrive", 12, 16, func(m *faultRun) {
		m.disturbWorkers(func(k *testkit.Worker) { m.breakLinks(k.Name, m.controllerNames...) })
	}, func(m *faultRun, _ int) { m.deliverHeldCommands() }, (*faultRun).restoreWorkers},
	{"responses to transactions are lost", 8, 30, func(m *faultRun) {
		did := m.effects
		loses := func() bool {
			if m.messageRand.IntN(3) > 0 {
				return false
			}
			*did++
			return true
		}
		m.withLock(func() { m.losesResponse = loses })
	}, nil, func(m *faultRun) { m.withLock(func() { m.losesResponse = nil }) }},
	{"old heartbeats arrive under the next leader", 12, 30, func(m *faultRun) { m.lastCopiesLeader = m.leader() }, func(m *faultRun, second int) {
		l := m.leader()
		if second == 3 && l != "" {
			m.crash(l)
			return
		}
		if l == "" || l == m.lastCopiesLeader {
			return
		}
		m.lastCopiesLeader = l
		for _, n := range m.controllerNames {
			m.deliverLateReports(m.nodes[n])
		}
		*m.effects++
	}, func(m *faultRun) { m.startStopped() }},
	{"workers reach no controller", 3, 18, func(m *faultRun) {
		m.disturbWorkers(func(k *testkit.Worker) {
			m.mu.Lock()
			defer m.mu.Unlock()
			for _, n := range m.controllerNames {
				m.brokenLinks[[2]string{k.Name, n}] = true
			}
		})
	}, nil, (*faultRun).restoreWorkers},
	{"users poll all controllers at once", 4, 20, nil, func(m *faultRun, _ int) {
		uid := m.longJobs[m.planIntN(len(m.longJobs))]
		m.pollAllControllers(uid, 3)
		m.resubmit(m.controllerNames[m.planIntN(len(m.controllerNames))], uid)
		*m.effects++
	}, nil},
	{"users submit invalid jobs", 4, 20, nil, func(m *faultRun, second int) {
		for _, at := range m.controllerNames {
			m.postInvalid(at, second)
			*m.effects++
		}
	}, nil},
	{"jobs are cancelled as their tasks end", 6, 25, func(m *faultRun) {
		did := m.effects
		m.onExit = func(uid string) {
			if m.messageRand.IntN(3) > 0 {
				return
			}
			*did++
			at := m.controllerNames[m.messageRand.IntN(len(m.controllerNames))]
			m.pendingRequests.Add(1)
			go func() {
				defer m.pendingRequests.Done()
				m.userRequest(at, http.MethodPost, uid)
				m.pollAllControllers(uid, 2)
			}()
		}
	}, nil, func(m *faultRun) { m.onExit = nil }},
	{"workers are added while the leader crashes", 3, 8, func(m *faultRun) {
		m.addWorker()
		m.addWorker()
		*m.effects++
	}, func(m *faultRun, second int) {
		if l := m.leader(); second == 1 && l != "" {
			m.crash(l)
		}
	}, func(m *faultRun) { m.startStopped() }},
}
