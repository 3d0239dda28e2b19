package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/periodic"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	submitTimeout     = 5 * time.Second
	pollTimeout       = 2 * time.Second
	retryPause        = time.Second
	minPause          = 300 * time.Millisecond // between two requests about a job
	maxPause          = 1500 * time.Millisecond
	closeLookShare    = 0.6
	repeatShare       = 0.1 // of the requests about a job that repeat its submission
	unknownShare      = 0.03
	cancelShare       = 0.3 // of the jobs that their user cancels
	maxCancelDelay    = 12 * time.Second
	maxTasks          = 8
	maxRunTime        = 6 * time.Second
	zonedShare        = 0.2
	maxResponseBytes  = 1 << 20
	maxIdleUsersConns = 64
	endedPollPause    = 5 * time.Second // between two requests about a job that ended before the run
)

// teams are the teams of the users' jobs, with their limits in CPUs.
var teams = map[string]float64{"blue": 40, "red": 24}

// users submit jobs to random controllers, ask all controllers about them, repeat submissions and
// cancel. What they see is recorded.
type users struct {
	addrs    []string // of the controllers, for users
	balancer string   // address of the load balancer; empty: there is none
	zones    []string
	recorder *recorder
	client   *http.Client
	random   *rand.Rand // used by submitJobs only

	followers sync.WaitGroup

	mu       sync.Mutex
	runTimes map[string]time.Duration // of the tasks, by job
	live     map[string]bool          // accepted jobs that are not known to be over
}

func newUsers(seed uint64, addrs, zones []string, recorder *recorder) *users {
	return &users{
		addrs: addrs, zones: zones, recorder: recorder, random: rand.New(rand.NewPCG(seed, 1)),
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleUsersConns}},
		runTimes: map[string]time.Duration{}, live: map[string]bool{},
	}
}

// askAboutEnded asks about jobs that ended before the run, each until its user has had an answer. It
// starts goroutines of u.followers.
func (u *users) askAboutEnded(ctx context.Context, uids []string) {
	for _, uid := range uids {
		u.followers.Go(func() {
			pause := rand.N(endedPollPause)
			for periodic.Sleep(ctx, pause) {
				if event := u.poll(ctx, uid, u.anyNode()); event.succeeded() {
					return
				}
				pause = endedPollPause
			}
		})
	}
}

// submitJobs submits jobs at a rate until the given time of the run. Each job is followed by a
// goroutine of u.followers until ctx ends.
func (u *users) submitJobs(ctx context.Context, perS float64, until time.Duration) {
	pause := time.Duration(float64(time.Second) / perS)
	for n := 0; ctx.Err() == nil && u.recorder.now() < until; n++ {
		job, cancelAfter := u.newJob(n)
		u.recorder.addJob(job)
		u.followers.Go(func() { u.follow(ctx, job, cancelAfter) })
		periodic.Sleep(ctx, pause)
	}
}

// newJob returns a job, and the time after which its user cancels it; 0: never.
func (u *users) newJob(n int) (job *wire.Job, cancelAfter time.Duration) {
	r := u.random
	team := []string{"blue", "red"}[r.IntN(len(teams))]
	job = &wire.Job{
		UID: fmt.Sprintf("j-soak-%05d", n), Class: "soak", Team: team, Kind: wire.KindArray, Priority: "normal", Tasks: 1 + r.IntN(maxTasks),
		CPUs: float64(1 + r.IntN(2)), MemoryGB: 1, Image: "image", EstimateS: 2,
	}
	if r.Float64() < zonedShare {
		job.Zone = &u.zones[r.IntN(len(u.zones))]
	}
	runTime := time.Duration(1 + r.Int64N(int64(maxRunTime)))
	if r.Float64() < cancelShare {
		cancelAfter = time.Duration(1 + r.Int64N(int64(maxCancelDelay)))
	}
	u.mu.Lock()
	u.runTimes[job.UID] = runTime
	u.mu.Unlock()
	return job, cancelAfter
}

func (u *users) runTime(uid string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runTimes[uid]
}

func (u *users) setLive(uid string, live bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if live {
		u.live[uid] = true
		return
	}
	delete(u.live, uid)
}

// follow submits a job until it is accepted, and then asks about it until ctx ends.
func (u *users) follow(ctx context.Context, job *wire.Job, cancelAfter time.Duration) {
	for accepted := false; !accepted; {
		event := u.submit(ctx, job, u.anyNode())
		if event.Status == http.StatusBadRequest || event.Status == http.StatusUnprocessableEntity {
			return
		}
		accepted = event.succeeded()
		if !accepted && !periodic.Sleep(ctx, retryPause) {
			return
		}
	}
	u.setLive(job.UID, true)
	u.lookClosely(ctx, job.UID)
	if cancelAfter > 0 {
		time.AfterFunc(cancelAfter, func() { u.startCancel(ctx, job.UID) })
	}
	for over := false; ; {
		if !periodic.Sleep(ctx, minPause+rand.N(maxPause-minPause)) {
			return
		}
		event := u.ask(ctx, job)
		if !over && (event.Stage == wire.StageDone || event.Stage == wire.StageCancelled) {
			over = true
			u.setLive(job.UID, false)
			u.lookClosely(ctx, job.UID)
		}
	}
}

// ask makes one request about an accepted job to a random controller.
func (u *users) ask(ctx context.Context, job *wire.Job) Event {
	if rand.Float64() < unknownShare {
		u.poll(ctx, "j-unknown-"+job.UID[len("j-"):], u.anyNode())
	}
	if rand.Float64() < repeatShare {
		return u.submit(ctx, job, u.anyNode())
	}
	return u.poll(ctx, job.UID, u.anyNode())
}

// lookClosely asks all controllers about a job at once, for a share of the calls.
func (u *users) lookClosely(ctx context.Context, uid string) {
	if rand.Float64() >= closeLookShare {
		return
	}
	var polls sync.WaitGroup
	for node := range u.addrs {
		polls.Go(func() { u.poll(ctx, uid, node) })
	}
	polls.Wait()
}

// startCancel cancels a job in a goroutine, unless ctx has ended.
func (u *users) startCancel(ctx context.Context, uid string) {
	if ctx.Err() == nil {
		u.followers.Go(func() { u.cancel(ctx, uid) })
	}
}

// cancel repeats a cancel until it is confirmed or the job is done.
func (u *users) cancel(ctx context.Context, uid string) {
	u.recorder.add(Event{Kind: CancelSent, Job: uid})
	for ctx.Err() == nil {
		event := u.request(ctx, Event{Kind: Cancel, Job: uid, Node: u.anyNode()}, submitTimeout, http.MethodPost, "/api/jobs/"+uid+"/cancel", nil)
		if event.succeeded() {
			u.lookClosely(ctx, uid)
			return
		}
		periodic.Sleep(ctx, retryPause)
	}
}

// cancelMany cancels a share of the live jobs at once.
func (u *users) cancelMany(ctx context.Context, share float64) {
	u.mu.Lock()
	uids := make([]string, 0, len(u.live))
	for uid := range u.live {
		uids = append(uids, uid)
	}
	u.mu.Unlock()
	slices.Sort(uids)
	for _, uid := range uids[:int(share*float64(len(uids)))] {
		u.startCancel(ctx, uid)
	}
}

// ready reports whether a controller can take requests.
func (u *users) ready(ctx context.Context, node int) bool {
	status, _, err := u.do(ctx, pollTimeout, http.MethodGet, "http://"+u.addrs[node]+"/up", nil)
	return err == nil && status == http.StatusOK
}

// anyNode returns a random controller, or throughBalancer if there is a load balancer.
func (u *users) anyNode() int {
	if u.balancer != "" {
		return throughBalancer
	}
	return rand.IntN(len(u.addrs))
}

func (u *users) addrOf(node int) string {
	if node == throughBalancer {
		return u.balancer
	}
	return u.addrs[node]
}

func (u *users) submit(ctx context.Context, job *wire.Job, node int) Event {
	body, err := client.EncodeSubmission(job)
	if err != nil {
		panic(err) // a job is always encodable
	}
	return u.request(ctx, Event{Kind: Submit, Job: job.UID, Node: node}, submitTimeout, http.MethodPost, "/api/jobs", body)
}

func (u *users) poll(ctx context.Context, uid string, node int) Event {
	return u.request(ctx, Event{Kind: Poll, Job: uid, Node: node}, pollTimeout, http.MethodGet, "/api/jobs/"+uid, nil)
}

// request makes a request to event.Node, and records it with its response.
func (u *users) request(ctx context.Context, event Event, timeout time.Duration, method, path string, body []byte) Event {
	event.Began = u.recorder.now()
	status, state, err := u.do(ctx, timeout, method, "http://"+u.addrOf(event.Node)+path, body)
	if err == nil {
		event.Status = status
		if event.succeeded() {
			event.Stage = state.Stage
		}
	}
	if errors.Is(err, context.Canceled) {
		return event // the run is over
	}
	return u.recorder.add(event)
}

func (u *users) do(ctx context.Context, timeout time.Duration, method, url string, body []byte) (int, wire.JobState, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var state wire.JobState
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, state, err
	}
	response, err := u.client.Do(request)
	if err != nil {
		return 0, state, err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, state, err
	}
	if response.StatusCode/100 == 2 {
		err = json.Unmarshal(data, &state)
	}
	return response.StatusCode, state, err
}
