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

// faultKind is a kind of fault, while it lasts. Each second it does something; it
// counts what it brought about.
type faultKind struct {
	name  string
	least int // seconds that it lasts, at least
	most  int
	begin func(m *faultRun)
	each  func(m *faultRun, second int)
	end   func(m *faultRun)
}

// faultRun is a cluster in which several faults overlap.
type faultRun struct {
	*cluster
	leader   string // when the first fault began
	did      *int   // what the fault at hand brought about
	away     []*testkit.Worker
	jobs     []string        // with long tasks
	sizes    map[string]int  // tasks of each job that was accepted
	accepted []string        // all jobs, in the order in which they were accepted
	ended    map[string]bool // tasks that ended by themselves
	users    sync.WaitGroup
	onExit   func(uid string) // called when a task ends by itself; nil: nothing more
	lastOne  string           // whom the copies of reports were last delivered under
}

// ask sends a user's request, and waits for no answer.
func (m *faultRun) ask(method, uid string) {
	at := m.names[m.draw(len(m.names))]
	m.users.Add(1)
	go func() { defer m.users.Done(); m.user(at, method, uid) }()
}

func (m *faultRun) machinesAway(cut func(k *testkit.Worker)) {
	from := m.draw(len(m.workers))
	for i := range 3 {
		k := m.workers[(from+i)%len(m.workers)]
		m.away = append(m.away, k)
		cut(k)
		*m.did++
	}
}

func (m *faultRun) machinesBack() {
	for _, k := range m.away {
		m.healLinks(k.Name, m.names...)
		m.resume(k)
	}
	m.away = nil
}

func (m *faultRun) ms(from, below int) time.Duration {
	return time.Duration(from+m.rnd.IntN(below-from)) * time.Millisecond
}

// askEverywhere has a user ask all controllers for a job at once, several times.
func (m *faultRun) askEverywhere(uid string, times int) {
	for i := range times {
		for _, at := range m.names {
			m.users.Add(1)
			go func() {
				defer m.users.Done()
				time.Sleep(time.Duration(3*i) * time.Millisecond)
				m.user(at, http.MethodGet, uid)
			}()
		}
	}
}

// post submits a job at a controller, and returns the status; 0 if nothing comes back.
func (m *faultRun) post(at string, job *wire.Job, drop ...string) int {
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

// postInvalid submits what can't run or lacks a field: no controller may accept it.
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
	m.users.Add(1)
	go func() {
		defer m.users.Done()
		switch code := m.post(at, job, drop...); code {
		case 0, http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusServiceUnavailable:
		default:
			m.fail("%s answers %d to a job that can't run (%d)", at, code, number%4)
		}
	}()
}

// repeat submits a job again that was accepted: no controller may refuse it for good.
func (m *faultRun) repeat(at, uid string) {
	m.mu.Lock()
	job := m.specs[uid]
	m.mu.Unlock()
	m.users.Add(1)
	go func() {
		defer m.users.Done()
		if code := m.post(at, job); code/100 == 4 && code != http.StatusTooManyRequests {
			m.fail("%s answers %d to the repeated submission of %s", at, code, uid)
		}
	}()
}

// addMachine adds a worker that is up at once, and reports to any controller.
func (m *faultRun) addMachine() {
	m.mu.Lock()
	defer m.mu.Unlock()
	like := m.workers[0]
	fresh := testkit.NewWorker(fmt.Sprintf("q-%d", len(m.workers)), workerLease, like.Run)
	fresh.Exit = like.Exit
	m.join(fresh, m.draw(len(m.names)))
}

// faultKinds are the kinds which may overlap, each with any.
var faultKinds = []faultKind{
	{"old reports come again", 5, 25, nil, func(m *faultRun, _ int) {
		for _, n := range m.names {
			if m.draw(3) == 0 {
				m.deliverLateReports(m.nodes[n])
				*m.did++
			}
		}
	}, nil},
	{"machines are away", 3, 18, func(m *faultRun) {
		m.machinesAway(func(k *testkit.Worker) { m.cutAll(k.Name, m.names...) })
	}, nil, (*faultRun).machinesBack},
	{"machines hear nothing", 3, 18, func(m *faultRun) {
		m.machinesAway(func(k *testkit.Worker) { m.unheard(k, m.names...) })
	}, nil, (*faultRun).machinesBack},
	{"machines hang and go on", 2, 14, func(m *faultRun) {
		m.machinesAway(func(k *testkit.Worker) { m.hang(k) })
	}, nil, (*faultRun).machinesBack},
	{"the state service is slow", 8, 30, func(m *faultRun) {
		did := m.did
		m.locked(func() { m.storeLatency = func() time.Duration { *did++; return m.ms(300, 4000) } })
	}, nil, func(m *faultRun) { m.locked(func() { m.storeLatency = nil }) }},
	{"transactions are carried out late", 8, 30, func(m *faultRun) {
		did := m.did
		delay := func() time.Duration {
			if m.rnd.IntN(5) > 0 {
				return 0
			}
			*did++
			return m.ms(2000, 12000)
		}
		m.locked(func() { m.transactionDelay = delay })
	}, nil, func(m *faultRun) { m.locked(func() { m.transactionDelay = nil }) }},
	{"commands are held up", 5, 25, func(m *faultRun) {
		did := m.did
		holds := func() bool {
			if m.rnd.IntN(3) == 0 {
				return false
			}
			*did++
			return true
		}
		m.locked(func() { m.holdsCommand = holds })
	}, func(m *faultRun, _ int) {
		if m.draw(6) == 0 {
			m.release()
		}
	}, func(m *faultRun) { m.locked(func() { m.holdsCommand = nil }) }},
	{"the leader hands over, and back", 4, 20, nil, func(m *faultRun, _ int) {
		if l := m.cluster.leader(); l != "" {
			o := m.others(l)
			if m.nodes[l].member.TransferShards(context.Background(), o[m.draw(len(o))]) == nil {
				*m.did++
			}
		}
	}, nil},
	{"all end, one returns at once", 2, 12, func(m *faultRun) {
		m.stopAll()
		time.Sleep(time.Duration(m.draw(1500)) * time.Millisecond)
		m.start(m.names[m.draw(len(m.names))])
		*m.did++
	}, nil, func(m *faultRun) { m.startAll() }},
	{"the leader is cut from state and peers", 5, 70, func(m *faultRun) {
		m.cutAll(m.leader, append(m.others(m.leader), stateService)...)
		*m.did++
	}, nil, func(m *faultRun) { m.healLinks(m.leader, append(m.others(m.leader), stateService)...) }},
	{"the leader ends", 2, 15, nil, func(m *faultRun, _ int) {
		if l := m.cluster.leader(); l != "" && *m.did == 0 { // at once, or as soon as there is one
			m.crash(l)
			*m.did++
		}
	}, func(m *faultRun) { m.startAll() }},
	{"controllers are back within a second", 4, 15, nil, func(m *faultRun, second int) {
		if second%3 == 1 {
			if m.restart(m.names[m.draw(len(m.names))], time.Duration(m.draw(1000))*time.Millisecond) {
				*m.did++
			}
		}
	}, nil},
	{"jobs are cancelled", 4, 20, nil, func(m *faultRun, _ int) {
		// The last two are left alone.
		m.ask(http.MethodPost, m.jobs[m.draw(len(m.jobs)-2)])
		*m.did++
	}, nil},
	{"the state service is out", 3, 70, func(m *faultRun) {
		m.refuse(m.names...)
		*m.did++
	}, nil, func(m *faultRun) {
		for _, n := range m.names {
			m.healLinks(n, stateService)
		}
	}},
	{"leases end at machines that are back", 12, 16, func(m *faultRun) {
		m.machinesAway(func(k *testkit.Worker) { m.cutAll(k.Name, m.names...) })
	}, func(m *faultRun, _ int) { m.release() }, (*faultRun).machinesBack},
	{"answers of transactions are lost", 8, 30, func(m *faultRun) {
		did := m.did
		loses := func() bool {
			if m.rnd.IntN(3) > 0 {
				return false
			}
			*did++
			return true
		}
		m.locked(func() { m.losesResponse = loses })
	}, nil, func(m *faultRun) { m.locked(func() { m.losesResponse = nil }) }},
	{"copies of reports come under the next leader", 12, 30, func(m *faultRun) { m.lastOne = m.cluster.leader() }, func(m *faultRun, second int) {
		l := m.cluster.leader()
		if second == 3 && l != "" {
			m.crash(l)
			return
		}
		if l == "" || l == m.lastOne {
			return
		}
		m.lastOne = l
		for _, n := range m.names {
			m.deliverLateReports(m.nodes[n])
		}
		*m.did++
	}, func(m *faultRun) { m.startAll() }},
	{"machines reach no controller", 3, 18, func(m *faultRun) {
		m.machinesAway(func(k *testkit.Worker) {
			m.mu.Lock()
			defer m.mu.Unlock()
			for _, n := range m.names {
				m.brokenLinks[[2]string{k.Name, n}] = true
			}
		})
	}, nil, (*faultRun).machinesBack},
	{"users ask everywhere at once", 4, 20, nil, func(m *faultRun, _ int) {
		uid := m.jobs[m.draw(len(m.jobs))]
		m.askEverywhere(uid, 3)
		m.repeat(m.names[m.draw(len(m.names))], uid)
		*m.did++
	}, nil},
	{"users send what can't run", 4, 20, nil, func(m *faultRun, second int) {
		for _, at := range m.names {
			m.postInvalid(at, second)
			*m.did++
		}
	}, nil},
	{"jobs are cancelled as their tasks end", 6, 25, func(m *faultRun) {
		did := m.did
		m.onExit = func(uid string) {
			if m.rnd.IntN(3) > 0 {
				return
			}
			*did++
			at := m.names[m.rnd.IntN(len(m.names))]
			m.users.Add(1)
			go func() {
				defer m.users.Done()
				m.user(at, http.MethodPost, uid)
				m.askEverywhere(uid, 2)
			}()
		}
	}, nil, func(m *faultRun) { m.onExit = nil }},
	{"machines are up at once while the leader ends", 3, 8, func(m *faultRun) {
		m.addMachine()
		m.addMachine()
		*m.did++
	}, func(m *faultRun, second int) {
		if l := m.cluster.leader(); second == 1 && l != "" {
			m.crash(l)
		}
	}, func(m *faultRun) { m.startAll() }},
}
