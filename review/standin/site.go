//go:build review

package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// settings are those of a deployment.
type settings struct {
	Nodes                    int
	Zones                    []string // of the controllers, in turn
	Teams                    []team
	ReportS, LeaseS, CancelS float64
	StateRPS, StateWriteRPS  float64
	StateValueKB             float64
	StateTxnOps              int
	CloudRPS, CloudListLagS  float64
	CPU, RAMMB               float64
	Sockets                  int
	Objectives               string // TOML
}

type team struct {
	Name          string
	CPUs, CPUsMax float64
}

// site is a deployment: controllers, stand-ins and what was seen.
type site struct {
	cfg   settings
	rec   *recorder
	dir   string
	nodes []*node
	state *stateService
	cloud *cloud
	run   []string

	leasesEnded atomic.Int64

	mu      sync.Mutex
	jobs    map[string]*jobSpec
	on      map[string]map[string]uint64 // piece -> machine -> try: where it is
	done    map[string]bool              // pieces that completed
	starts  int
	usedBy  map[string]float64
	maxUsed map[string]float64
	zoneOf  map[string]string // of the machines
}

// node is a controller.
type node struct {
	site        *site
	name        string
	serve, mesh string
	config      string
	log         *os.File
	cmd         *exec.Cmd
	ended       chan struct{}
}

var (
	processesMu sync.Mutex
	processes   []*exec.Cmd
	folders     []string
	ending      bool // no process is started any more
)

// endProcesses ends every process that was started.
func endProcesses() {
	processesMu.Lock()
	defer processesMu.Unlock()
	ending = true
	for _, cmd := range processes {
		_ = cmd.Process.Kill()
	}
	if os.Getenv("KEEP") == "" {
		for _, folder := range folders {
			_ = os.RemoveAll(folder)
		}
	}
}

// runCommand reads the command that starts a controller from the deploy file.
func runCommand() ([]string, error) {
	data, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(data)
	if match == nil {
		return nil, fmt.Errorf("deploy/service.toml: no run")
	}
	return strings.Fields(string(match[1])), nil
}

// newSite prepares a site; its controllers are not started yet.
func newSite(cfg settings, rec *recorder, types []machineType, room int) (*site, error) {
	run, err := runCommand()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-site-")
	if err != nil {
		return nil, err
	}
	processesMu.Lock()
	folders = append(folders, dir)
	processesMu.Unlock()
	s := &site{
		cfg: cfg, rec: rec, dir: dir, run: run, jobs: map[string]*jobSpec{}, on: map[string]map[string]uint64{}, done: map[string]bool{},
		usedBy: map[string]float64{}, maxUsed: map[string]float64{}, zoneOf: map[string]string{},
	}
	s.state = newStateService(cfg, rec)
	s.cloud = newCloud(cfg, rec, s, types, room)
	stateAddr, cloudAddr := s.state.listen(), s.cloud.listen()
	for i := range cfg.Nodes {
		serve, mesh := lowPort(), lowPort()
		defer serve.Close()
		defer mesh.Close()
		s.nodes = append(s.nodes, &node{site: s, name: fmt.Sprintf("racker-%d", i), serve: serve.Addr().String(), mesh: mesh.Addr().String()})
	}
	for i, n := range s.nodes {
		n.config = filepath.Join(dir, n.name+".toml")
		if n.log, err = os.Create(filepath.Join(dir, n.name+".log")); err != nil {
			return nil, err
		}
		if err := os.WriteFile(n.config, []byte(s.toml(i, stateAddr, cloudAddr)), 0o644); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// toml returns the settings file of a controller.
func (s *site) toml(i int, state, cloud string) string {
	cfg := &s.cfg
	zone := func(i int) string { return cfg.Zones[i%len(cfg.Zones)] }
	var b strings.Builder
	fmt.Fprintf(&b, "node_name = %q\ndomain = %q\nserve_on = %q\nmesh_addr = %q\n\n", s.nodes[i].name, zone(i), s.nodes[i].serve, s.nodes[i].mesh)
	for j, peer := range s.nodes {
		if j != i {
			fmt.Fprintf(&b, "[[siblings]]\nnode_name = %q\ndomain = %q\naddress = %q\n\n", peer.name, zone(j), peer.mesh)
		}
	}
	fmt.Fprintf(&b, "[endpoints]\ncloud = %q\nstate = %q\n\n[params]\nnodes = %d\nzones = [", cloud, state, cfg.Nodes)
	for j, z := range cfg.Zones {
		if j > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%q", z)
	}
	b.WriteString("]\nclock_error_ms = 1000.0\n\n")
	for _, t := range cfg.Teams {
		fmt.Fprintf(&b, "[[params.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n\n", t.Name, t.CPUs, t.CPUsMax)
	}
	b.WriteString(cfg.Objectives)
	fmt.Fprintf(&b, "[params.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 45.0\ngang_peer_s = 5.0\ncancel_s = %.1f\n\n", cfg.ReportS, cfg.LeaseS, cfg.CancelS)
	fmt.Fprintf(&b, "[params.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n\n", cfg.StateRPS, cfg.StateWriteRPS, cfg.StateValueKB, cfg.StateTxnOps)
	fmt.Fprintf(&b, "[params.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n\n[params.limits]\ncpu = %v\nram_mb = %.1f\nsockets = %d\n", cfg.CloudRPS, cfg.CloudListLagS, cfg.CPU, cfg.RAMMB, cfg.Sockets)
	return b.String()
}

// start starts a controller as the deploy file says.
func (n *node) start() error {
	args := append(append([]string{}, n.site.run[1:]...), n.config)
	cmd := exec.Command(n.site.run[0], args...)
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	cmd.Stderr = n.log
	processesMu.Lock()
	defer processesMu.Unlock()
	if ending {
		return errors.New("the case ends")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	processes = append(processes, cmd)
	n.cmd, n.ended = cmd, make(chan struct{})
	n.site.rec.note("controller started", "node", n.name, "pid", cmd.Process.Pid)
	go func(ended chan struct{}) {
		err := cmd.Wait()
		n.site.rec.note("controller ended", "node", n.name, "pid", cmd.Process.Pid, "how", err)
		close(ended)
	}(n.ended)
	return nil
}

func logLevel() string {
	if level := os.Getenv("REVIEW_LOG"); level != "" {
		return level
	}
	return "info"
}

// kill ends a controller with no warning.
func (n *node) kill() {
	n.site.rec.note("controller is killed", "node", n.name)
	_ = n.cmd.Process.Kill()
	<-n.ended
}

// startAll starts all controllers and waits until they are ready and a job can be accepted.
func (s *site) startAll(timeout time.Duration) error {
	for _, n := range s.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(timeout)
	for _, n := range s.nodes {
		for status, _, _ := get(n, "/up"); status != 200; status, _, _ = get(n, "/up") {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not up", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// breakRule records a broken rule.
func (s *site) breakRule(rule, what string) {
	s.rec.note("RULE BROKEN", "rule", rule, "what", what)
}

// started records that a task starts on a machine.
func (s *site) started(w *worker, p *piece) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	if s.starts <= 3000 {
		s.rec.note("start", "task", p.Piece, "try", p.Try, "machine", w.name)
	}
	for other, try := range s.on[p.Piece] {
		s.breakRule("ran_twice", fmt.Sprintf("%s try %d starts on %s while try %d is on %s", p.Piece, p.Try, w.name, try, other))
	}
	if s.on[p.Piece] == nil {
		s.on[p.Piece] = map[string]uint64{}
	}
	s.on[p.Piece][w.name] = p.Try
	job := p.job
	if !job.cancelHeard.IsZero() && time.Since(job.cancelHeard).Seconds() > s.cfg.CancelS {
		s.breakRule("ran_cancelled", p.Piece+" starts")
	}
	s.usedBy[job.Crew] += job.CPUs
	s.maxUsed[job.Crew] = max(s.maxUsed[job.Crew], s.usedBy[job.Crew])
	for _, t := range s.cfg.Teams {
		if t.Name == job.Crew && t.CPUsMax > 0 && s.usedBy[job.Crew] > t.CPUsMax+1e-3 {
			s.breakRule("quota", fmt.Sprintf("%s uses %.3f of %.3f CPUs", t.Name, s.usedBy[job.Crew], t.CPUsMax))
		}
	}
	if job.Yard != nil && *job.Yard != w.yard || w.loaners && !job.Loaners || !s.zonesFit(job, w.yard) {
		s.breakRule("wrong_place", p.Piece+" on "+w.name)
	}
}

// zonesFit reports whether a job's tasks that are on machines, one of which has just started in a
// zone, are where the job allows them together.
func (s *site) zonesFit(job *jobSpec, zone string) bool {
	in := map[string]int{}
	for piece, machines := range s.on {
		if uid, _, _ := strings.Cut(piece, "/"); uid == job.UID {
			for name := range machines {
				in[s.zoneOf[name]]++
			}
		}
	}
	return !(job.Together && len(in) > 1 || job.Apart && in[zone] > (job.Pieces+1)/2)
}

// left records that a task is no longer on a machine.
func (s *site) left(w *worker, p *piece, why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.starts <= 3000 {
		s.rec.note("gone", "task", p.Piece, "try", p.Try, "machine", w.name, "why", why)
	}
	delete(s.on[p.Piece], w.name)
	s.usedBy[p.job.Crew] -= p.job.CPUs
	if job := p.job; !job.cancelHeard.IsZero() && time.Since(job.cancelHeard).Seconds() > s.cfg.CancelS+0.2 {
		s.breakRule("ran_cancelled", fmt.Sprintf("%s was on %s until %.1f s after its user heard of the cancel", p.Piece, w.name, time.Since(job.cancelHeard).Seconds()))
	}
}

func (s *site) completed(piece string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done[piece] = true
}

func (s *site) isDone(piece string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done[piece]
}

// doneOf returns how many tasks of a job have completed.
func (s *site) doneOf(uid string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for piece := range s.done {
		if strings.HasPrefix(piece, uid+"/") {
			n++
		}
	}
	return n
}

// runningOf returns how many tasks of a job are on machines.
func (s *site) runningOf(uid string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for piece, machines := range s.on {
		if strings.HasPrefix(piece, uid+"/") {
			n += len(machines)
		}
	}
	return n
}

func (s *site) job(uid string) *jobSpec {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[uid]
}
